package experiment

import (
	"context"
	"slices"
	"time"
)

const (
	sampleInterval = 500 * time.Millisecond
	// imbalanceWindow is the period over which busy slots are averaged before
	// upstreams are compared.
	imbalanceWindow = 5 * time.Second
	samplesInWindow = int(imbalanceWindow / sampleInterval)
)

// sample is the load of one upstream over one interval.
type sample struct {
	at          time.Duration // since the start of the run
	utilization float64       // mean busy slots divided by slots
	inService   bool
}

// series holds the samples of one upstream.
type series struct {
	name     string
	service  string
	busy     time.Duration // integral of busy slots at the last tick
	last     time.Time     // time of the last tick
	samples  []sample
	hasFirst bool // busy and last are set; the first tick yields no sample
}

// sampleLoad samples the load of every upstream until ctx ends.
func (r *run) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.sampleUpstreams(time.Now())
		}
	}
}

func (r *run) sampleUpstreams(now time.Time) {
	tb := r.testbed
	tb.mu.Lock()
	upstreams := slices.Clone(tb.upstreams)
	tb.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range upstreams {
		s := r.series[u.name]
		if s == nil {
			s = &series{name: u.name, service: u.service.Name}
			r.series[u.name] = s
			r.seriesInOrder = append(r.seriesInOrder, s)
		}
		_, busy := u.server.Busy()
		if s.hasFirst {
			utilization := float64(busy-s.busy) / float64(now.Sub(s.last)) / float64(u.service.Slots)
			s.samples = append(s.samples, sample{at: now.Sub(r.start), utilization: utilization, inService: tb.inService(u)})
		}
		s.busy, s.last, s.hasFirst = busy, now, true
	}
}

// inService reports whether an upstream is expected to carry its full share of
// the load: it is warm and not draining, and its agent runs and accepts flows,
// which it does not while its zone is out of service.
func (tb *Testbed) inService(u *upstreamInstance) bool {
	tb.mu.Lock()
	a := u.agent
	tb.mu.Unlock()
	if u.draining.Load() || !a.alive() || u.server.InColdStart() {
		return false
	}
	healthy, _ := a.agent.Health()
	return healthy
}

// imbalance returns, per service, the ratio of the maximum to the mean of the
// upstreams' utilization, averaged over windows, and the same ratio over the
// whole run.
func (r *run) imbalance() (windowed, wholeRun map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	windowed, wholeRun = map[string]float64{}, map[string]float64{}
	for i := range r.testbed.scenario.Services {
		name := r.testbed.scenario.Services[i].Name
		windowed[name] = r.windowedImbalance(name)
		wholeRun[name] = r.wholeRunImbalance(name)
	}
	return windowed, wholeRun
}

func (r *run) windowedImbalance(service string) float64 {
	var sum float64
	count := 0
	for from := time.Duration(0); from < r.elapsed; from += imbalanceWindow {
		var utilizations []float64
		for _, s := range r.seriesInOrder {
			if utilization, ok := s.mean(from, from+imbalanceWindow); ok && s.service == service {
				utilizations = append(utilizations, utilization)
			}
		}
		if v, ok := maxOverMean(utilizations); ok {
			sum += v
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// mean returns the mean utilization in [from, to), and false unless the upstream
// was in service throughout.
func (s *series) mean(from, to time.Duration) (float64, bool) {
	var sum float64
	count := 0
	for _, v := range s.samples {
		if v.at < from || v.at >= to {
			continue
		}
		if !v.inService {
			return 0, false
		}
		sum += v.utilization
		count++
	}
	if count < samplesInWindow-1 {
		return 0, false
	}
	return sum / float64(count), true
}

// wholeRunImbalance compares the upstreams' mean utilization over the time that
// each was in service.
func (r *run) wholeRunImbalance(service string) float64 {
	var utilizations []float64
	for _, s := range r.seriesInOrder {
		var sum float64
		count := 0
		for _, v := range s.samples {
			if v.inService && v.at >= 0 {
				sum += v.utilization
				count++
			}
		}
		if s.service == service && count >= samplesInWindow {
			utilizations = append(utilizations, sum/float64(count))
		}
	}
	v, _ := maxOverMean(utilizations)
	return v
}

func maxOverMean(v []float64) (float64, bool) {
	if len(v) < 2 {
		return 0, false
	}
	var sum float64
	for _, x := range v {
		sum += x
	}
	if sum == 0 {
		return 0, false
	}
	return slices.Max(v) * float64(len(v)) / sum, true
}
