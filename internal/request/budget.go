package request

const (
	// maxRetryTokens limits how many unused retries a class accumulates.
	maxRetryTokens = 10
	// initialRetryTokens allows a class to retry before its first successes.
	initialRetryTokens = 2
)

// retryBudgets limit the retries of each class to a share of its successes.
type retryBudgets struct {
	share  float64
	tokens map[string]float64
}

func newRetryBudgets(share float64) retryBudgets {
	return retryBudgets{share: share, tokens: map[string]float64{}}
}

func (b *retryBudgets) balance(class string) float64 {
	t, ok := b.tokens[class]
	if !ok && b.share > 0 {
		return initialRetryTokens
	}
	return t
}

// deposit credits the class for one success.
func (b *retryBudgets) deposit(class string) {
	b.tokens[class] = min(maxRetryTokens, b.balance(class)+b.share)
}

// withdraw takes one token for a retry and reports whether one was available.
func (b *retryBudgets) withdraw(class string) bool {
	t := b.balance(class)
	if t < 1 {
		return false
	}
	b.tokens[class] = t - 1
	return true
}
