package request

const (
	// budgetCap bounds the retries that a class may save up.
	budgetCap = 10
	// budgetStart lets a class retry before its first successes.
	budgetStart = 2
)

// budgets bound the retries of each class to a share of its successes.
type budgets struct {
	share  float64
	tokens map[string]float64
}

func newBudgets(share float64) budgets {
	return budgets{share: share, tokens: map[string]float64{}}
}

func (b *budgets) balance(class string) float64 {
	t, ok := b.tokens[class]
	if !ok && b.share > 0 {
		return budgetStart
	}
	return t
}

// earn records one success.
func (b *budgets) earn(class string) {
	b.tokens[class] = min(budgetCap, b.balance(class)+b.share)
}

// spend takes the cost of one retry and reports whether there was enough.
func (b *budgets) spend(class string) bool {
	t := b.balance(class)
	if t < 1 {
		return false
	}
	b.tokens[class] = t - 1
	return true
}
