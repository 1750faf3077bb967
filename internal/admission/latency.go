package admission

import "time"

const (
	// baselineWeight is the weight of one sample in the long-term mean.
	baselineWeight = 0.02
	// recentWeight is the weight of one sample in the short-term means.
	recentWeight = 0.2
	// slowRatio is the short-term latency over the long-term mean at which
	// the upstream counts as overloaded.
	slowRatio = 3.5
	// ratioBound bounds what one long run adds to the short-term latency.
	ratioBound = 6
	// overdueRatio is the time of a run over its mean from which it counts as
	// stuck.
	overdueRatio = 8
	// failingShare is the short-term share of failures at which the upstream
	// counts as overloaded.
	failingShare = 0.6
	// judgedSamples is the number of runs of a kind after which its latency
	// is judged.
	judgedSamples = 10
	// tailDeviations is how many mean deviations above the mean a long run
	// is.
	tailDeviations = 4
)

// kindTimes are the service times of one kind of work.
type kindTimes struct {
	samples   int
	mean      float64 // seconds
	deviation float64 // mean absolute deviation, seconds
}

// observe adds one service time and returns it relative to the mean before, 1
// while the mean is not known well.
func (k *kindTimes) observe(seconds float64) float64 {
	k.samples++
	if k.samples == 1 {
		k.mean = seconds
		k.deviation = seconds / 2
		return 1
	}
	ratio := seconds / max(k.mean, 1e-9)
	// A single long run must not raise what counts as normal.
	bounded := min(seconds, ratioBound*k.mean)
	weight := max(baselineWeight, 1/float64(k.samples))
	difference := bounded - k.mean
	k.mean += weight * difference
	k.deviation += weight * (max(difference, -difference) - k.deviation)
	if k.samples < judgedSamples {
		return 1
	}
	return ratio
}

// health judges the upstream from the runs of this agent alone.
type health struct {
	kinds   map[string]*kindTimes
	all     kindTimes
	slow    float64 // short-term mean of latency over the long-term mean
	failing float64 // short-term share of failures
}

func newHealth() health {
	return health{kinds: map[string]*kindTimes{}, slow: 1}
}

func (h *health) times(kind string) *kindTimes {
	k := h.kinds[kind]
	if k == nil {
		k = &kindTimes{}
		h.kinds[kind] = k
	}
	return k
}

// observe takes in one run and reports whether the upstream is overloaded.
func (h *health) observe(kind string, took time.Duration, result Result) bool {
	if result == ResultShed {
		return true
	}
	if result == ResultCancelled {
		return false
	}
	failure := 0.0
	if result != ResultOK {
		failure = 1
	}
	h.failing += recentWeight * (failure - h.failing)
	if result != ResultError {
		seconds := took.Seconds()
		h.all.observe(seconds)
		ratio := h.times(kind).observe(seconds)
		h.slow += recentWeight * (min(ratio, ratioBound) - h.slow)
	}
	return h.failing > failingShare || h.slow > slowRatio
}

// forgive forgets the short-term signals, after the limit went down.
func (h *health) forgive() {
	h.slow = 1
	h.failing = 0
}

// overdue reports whether a run of this kind has taken so long that the
// upstream may be overloaded.
func (h *health) overdue(kind string, running time.Duration) bool {
	k := h.kinds[kind]
	return k != nil && k.samples >= judgedSamples && running.Seconds() > overdueRatio*k.mean
}

// mean returns the expected service time over all kinds, 0 when unknown.
func (h *health) mean() time.Duration { return seconds(h.all.mean) }

// tail returns the service time that few runs of the kind exceed, 0 when
// unknown.
func (h *health) tail(kind string) time.Duration {
	k := h.kinds[kind]
	if k == nil {
		return 0
	}
	return seconds(k.mean + tailDeviations*k.deviation)
}

// typical returns the mean service time of the kind, 0 when unknown.
func (h *health) typical(kind string) time.Duration {
	k := h.kinds[kind]
	if k == nil {
		return 0
	}
	return seconds(k.mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
