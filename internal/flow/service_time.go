package flow

import (
	"slices"
	"time"
)

const (
	// serviceTimeWindow is the number of latest samples that the mean covers: about a
	// second of an upstream with two slots.
	serviceTimeWindow = 64
	// serviceTimePrior is assumed before the first request, with the weight of
	// serviceTimePriorWeight samples.
	serviceTimePrior       = 30 * time.Millisecond
	serviceTimePriorWeight = 4
	// serviceTimeOutlier is the multiple of the median at which a sample is capped: in
	// some services 3 % of the requests take 7 times as long as the others.
	serviceTimeOutlier = 4
	// minServiceTime is the shortest mean, the unit in which load reports carry it.
	minServiceTime = 100 * time.Microsecond
)

// ServiceTimes estimates how long a request takes at an upstream once it has a slot.
// The zero value has no samples.
type ServiceTimes struct {
	samples []time.Duration // the latest ones; before the window is full, the prior comes first
	next    int             // index of the oldest sample of a full window
	count   int             // samples since the upstream's start
	mean    time.Duration   // of samples, 0 without any
}

// Add records the time from a request's first packet to the first packet of its
// response. The request must have had a slot at once, or it would include the time
// that the request waited for one.
func (s *ServiceTimes) Add(d time.Duration) {
	if s.count == 0 {
		s.samples = slices.Repeat([]time.Duration{serviceTimePrior}, serviceTimePriorWeight)
	}
	s.count++
	if len(s.samples) < serviceTimeWindow {
		s.samples = append(s.samples, d)
	} else {
		s.samples[s.next] = d
		s.next = (s.next + 1) % serviceTimeWindow
	}
	s.mean = robustMean(s.samples)
}

// Reset discards all samples, because the upstream started anew.
func (s *ServiceTimes) Reset() { *s = ServiceTimes{} }

// Mean returns the robust mean of the latest samples, at least minServiceTime. Without
// samples it is the prior.
func (s *ServiceTimes) Mean() time.Duration {
	if s.count == 0 {
		return serviceTimePrior
	}
	return s.mean
}

// Measured returns the mean once the samples outweigh the prior, and 0 before.
func (s *ServiceTimes) Measured() time.Duration {
	if s.count <= serviceTimePriorWeight {
		return 0
	}
	return s.mean
}

// robustMean returns the mean of the samples, each capped at serviceTimeOutlier times
// their median.
func robustMean(samples []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	limit := serviceTimeOutlier * sorted[len(sorted)/2]
	sum := time.Duration(0)
	for _, d := range sorted {
		sum += min(d, limit)
	}
	return max(sum/time.Duration(len(sorted)), minServiceTime)
}
