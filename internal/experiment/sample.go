package experiment

import (
	"context"
	"slices"
	"time"
)

const (
	sampleInterval = 500 * time.Millisecond
	// imbalanceWindow is the time over which busy slots are averaged before
	// upstreams are compared.
	imbalanceWindow = 5 * time.Second
	samplesInWindow = int(imbalanceWindow / sampleInterval)
)

// sample is the load of one upstream over one interval.
type sample struct {
	at        time.Duration // since the start of the run
	use       float64       // mean busy slots over slots
	inService bool
}

// series are the samples of one upstream.
type series struct {
	name     string
	service  string
	busy     time.Duration // integral at the last sample
	last     time.Time
	samples  []sample
	complete bool // the first interval only sets busy and last
}

// sampler records the load of every upstream until ctx ends.
func (r *run) sampler(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.sampleAll(time.Now())
		}
	}
}

func (r *run) sampleAll(now time.Time) {
	w := r.world
	w.mu.Lock()
	upstreams := slices.Clone(w.upstreams)
	w.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range upstreams {
		s := r.series[u.name]
		if s == nil {
			s = &series{name: u.name, service: u.service.Name}
			r.series[u.name] = s
			r.order = append(r.order, s)
		}
		_, busy := u.up.Busy()
		if s.complete {
			use := float64(busy-s.busy) / float64(now.Sub(s.last)) / float64(u.service.Slots)
			s.samples = append(s.samples, sample{at: now.Sub(r.start), use: use, inService: w.inService(u)})
		}
		s.busy, s.last, s.complete = busy, now, true
	}
}

// inService reports whether an upstream is expected to carry its full share:
// it does not leave, is warm, has its agent, and its zone is in.
func (w *Testbed) inService(u *upstreamInstance) bool {
	w.mu.Lock()
	a := u.agent
	w.mu.Unlock()
	if u.leaving.Load() || !a.alive() || u.up.InColdStart() {
		return false
	}
	healthy, _ := a.agent.Health()
	return healthy
}

// imbalance returns, per service, the maximum over the mean of the busy slots
// relative to capacity, averaged over windows, and the same over the whole
// run.
func (r *run) imbalance() (windowed, whole map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	windowed, whole = map[string]float64{}, map[string]float64{}
	for i := range r.world.scenario.Services {
		name := r.world.scenario.Services[i].Name
		windowed[name] = r.windowedImbalance(name)
		whole[name] = r.wholeImbalance(name)
	}
	return windowed, whole
}

func (r *run) windowedImbalance(service string) float64 {
	var sum float64
	count := 0
	for from := time.Duration(0); from < r.elapsed; from += imbalanceWindow {
		var uses []float64
		for _, s := range r.order {
			if use, ok := s.mean(from, from+imbalanceWindow); ok && s.service == service {
				uses = append(uses, use)
			}
		}
		if v, ok := maxOverMean(uses); ok {
			sum += v
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// mean returns the mean use in [from, to) if the upstream was in service all
// that time.
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
		sum += v.use
		count++
	}
	if count < samplesInWindow-1 {
		return 0, false
	}
	return sum / float64(count), true
}

// wholeImbalance compares the upstreams' mean use over the time that each was
// in service.
func (r *run) wholeImbalance(service string) float64 {
	var uses []float64
	for _, s := range r.order {
		var sum float64
		count := 0
		for _, v := range s.samples {
			if v.inService && v.at >= 0 {
				sum += v.use
				count++
			}
		}
		if s.service == service && count >= samplesInWindow {
			uses = append(uses, sum/float64(count))
		}
	}
	v, _ := maxOverMean(uses)
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
