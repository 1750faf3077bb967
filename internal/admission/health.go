package admission

import "time"

const (
	// baselineWeight is the weight of one sample in the long-term mean.
	baselineWeight = 0.02
	// recentWeight is the weight of one sample in the short-term averages.
	recentWeight = 0.2
	// overloadLatencyRatio is the short-term latency over the long-term mean
	// above which the upstream counts as overloaded.
	overloadLatencyRatio = 3.5
	// maxLatencyRatio limits how much one long run adds to the averages.
	maxLatencyRatio = 6
	// stuckRunRatio is the duration of a run over its kind's mean above which
	// it counts as stuck.
	stuckRunRatio = 8
	// overloadFailureShare is the short-term share of failures above which the
	// upstream counts as overloaded.
	overloadFailureShare = 0.6
	// minSamples is the number of runs of a kind before its latency is used as
	// a signal.
	minSamples = 10
	// tailDeviations is how many mean absolute deviations above the mean a long
	// run is.
	tailDeviations = 4
)

// serviceTimes are the statistics of the service times of one kind of request.
type serviceTimes struct {
	samples   int
	mean      float64 // seconds
	deviation float64 // mean absolute deviation, seconds
}

// observe adds one service time and returns its ratio to the previous mean, or
// 1 until there are minSamples.
func (k *serviceTimes) observe(seconds float64) float64 {
	k.samples++
	if k.samples == 1 {
		k.mean = seconds
		k.deviation = seconds / 2
		return 1
	}
	ratio := seconds / max(k.mean, 1e-9)
	// A single long run must not distort the mean.
	bounded := min(seconds, maxLatencyRatio*k.mean)
	weight := max(baselineWeight, 1/float64(k.samples))
	difference := bounded - k.mean
	k.mean += weight * difference
	k.deviation += weight * (max(difference, -difference) - k.deviation)
	if k.samples < minSamples {
		return 1
	}
	return ratio
}

// health detects overload of the upstream from the runs of this agent alone.
type health struct {
	kinds        map[string]*serviceTimes
	all          serviceTimes
	latencyRatio float64 // short-term average of latency over the long-term mean
	failureShare float64 // short-term average share of failures
}

func newHealth() health {
	return health{kinds: map[string]*serviceTimes{}, latencyRatio: 1}
}

func (h *health) timesOf(kind string) *serviceTimes {
	k := h.kinds[kind]
	if k == nil {
		k = &serviceTimes{}
		h.kinds[kind] = k
	}
	return k
}

// observe adds one run and reports whether the upstream is overloaded.
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
	h.failureShare += recentWeight * (failure - h.failureShare)
	if result != ResultError {
		seconds := took.Seconds()
		h.all.observe(seconds)
		ratio := h.timesOf(kind).observe(seconds)
		h.latencyRatio += recentWeight * (min(ratio, maxLatencyRatio) - h.latencyRatio)
	}
	return h.failureShare > overloadFailureShare || h.latencyRatio > overloadLatencyRatio
}

// resetRecent clears the short-term averages after the limit was lowered.
func (h *health) resetRecent() {
	h.latencyRatio = 1
	h.failureShare = 0
}

// isStuck reports whether a run of this kind has taken so long that the
// upstream may be overloaded.
func (h *health) isStuck(kind string, running time.Duration) bool {
	k := h.kinds[kind]
	return k != nil && k.samples >= minSamples && running.Seconds() > stuckRunRatio*k.mean
}

// mean returns the mean service time over all kinds, 0 if unknown.
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

// kindMean returns the mean service time of the kind, 0 when unknown.
func (h *health) kindMean(kind string) time.Duration {
	k := h.kinds[kind]
	if k == nil {
		return 0
	}
	return seconds(k.mean)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
