package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/standin/caller"
)

const (
	// maxInFlight bounds the unanswered requests of one service.
	maxInFlight = 4000
	// patience is how long a caller retries beyond its class's deadline.
	patience  = time.Second
	openLimit = 30 * time.Second
)

// openCallers opens the flows of all services.
func (r *run) openCallers(ctx context.Context, g *errgroup.Group) error {
	w := r.world
	for i := range w.scenario.Services {
		s := &w.scenario.Services[i]
		flows := max(1, int(float64(s.Flows*len(s.Speeds))*w.scale))
		pool, err := caller.New(caller.Options{
			Service: s.Name, Address: w.layout.service(i), TLS: w.certs.ClientTLS(),
			Flows: flows, StreamShare: s.StreamShare, StreamPath: sessionPath,
			Counters: w.callers, OnNotRun: w.refused.add, Seed: w.scenario.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		w.pools = append(w.pools, pool)
		r.flows += flows
		g.Go(func() error { return pool.Run(ctx) })
	}
	return nil
}

// awaitFlows waits until most flows are open, for a bounded time.
func (r *run) awaitFlows(ctx context.Context) {
	deadline := time.Now().Add(openLimit)
	for time.Now().Before(deadline) && r.openFlows() < r.flows {
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return
		}
	}
}

func (r *run) openFlows() int {
	open := 0
	for _, p := range r.world.pools {
		open += p.OpenFlows()
	}
	return open
}

// offer sends requests to one service until ctx ends, at random times whose
// mean rate is the load factor times the service's capacity.
func (r *run) offer(ctx context.Context, s *Service, pool *caller.Pool, rnd *rand.Rand) {
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	for ctx.Err() == nil {
		rate := r.load() * s.capacity()
		next = next.Add(seconds(rnd.ExpFloat64() / rate))
		if !sleepUntil(ctx, next) {
			return
		}
		kind := s.draw(rnd.Float64())
		select {
		case slots <- struct{}{}:
			r.wg.Go(func() {
				defer func() { <-slots }()
				pool.Do(r.requests, kind)
			})
		default:
			r.notSent.Add(1)
		}
	}
}

// draw picks a class by its share; u is uniform in [0, 1).
func (s *Service) draw(u float64) caller.RequestKind {
	c := &s.Classes[len(s.Classes)-1]
	for i := range s.Classes {
		if u < s.Classes[i].Share {
			c = &s.Classes[i]
			break
		}
		u -= s.Classes[i].Share
	}
	return caller.RequestKind{
		Path: c.path(), Idempotent: !c.RunAtMostOnce, Size: c.Bytes, Work: c.Work,
		Timeout: millis(float64(c.DeadlineMillis)) + patience,
	}
}

// overload measures the phases in which more than the capacity is offered.
type overload struct {
	since   time.Time // zero outside of such a phase
	ran     uint64    // at the start of the phase
	total   uint64    // requests that ran in all phases
	seconds float64
}

// setLoad changes the load factor.
func (r *run) setLoad(factor float64) {
	ran := r.world.callers.Totals().Outcomes["ran"]
	r.factor.Store(&factor)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overload.end(time.Now(), ran)
	if factor > 1 {
		r.overload.since, r.overload.ran = time.Now(), ran
	}
}

func (o *overload) end(now time.Time, ran uint64) {
	if o.since.IsZero() {
		return
	}
	o.total += ran - o.ran
	o.seconds += now.Sub(o.since).Seconds()
	o.since = time.Time{}
}

// goodput is the requests that ran while overloaded, as a share of what the
// upstreams could run in that time.
func (o *overload) goodput(s *Scenario) *float64 {
	if o.seconds == 0 {
		return nil
	}
	var capacity float64
	for i := range s.Services {
		capacity += s.Services[i].capacity()
	}
	share := float64(o.total) / o.seconds / capacity
	return &share
}
