package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/standin/caller"
)

const (
	// maxInFlight bounds the requests in flight of one service.
	maxInFlight = 4000
	// retryGrace is how long a caller retries beyond the deadline of the class.
	retryGrace  = time.Second
	openTimeout = 30 * time.Second
)

// openCallers opens the flows of all services.
func (r *run) openCallers(ctx context.Context, g *errgroup.Group) error {
	tb := r.testbed
	for i := range tb.scenario.Services {
		s := &tb.scenario.Services[i]
		flows := max(1, int(float64(s.Flows*len(s.Speeds))*tb.scale))
		pool, err := caller.New(caller.Options{
			Service: s.Name, Address: tb.layout.service(i), TLS: tb.certs.ClientTLS(),
			Flows: flows, StreamShare: s.StreamShare, StreamPath: sessionPath,
			Counters: tb.callers, OnNotRun: tb.refusals.add, Seed: tb.scenario.Seed + uint64(i),
		})
		if err != nil {
			return err
		}
		tb.pools = append(tb.pools, pool)
		r.targetFlows += flows
		g.Go(func() error { return pool.Run(ctx) })
	}
	return nil
}

// awaitFlows waits until all flows are open, for at most openTimeout.
func (r *run) awaitFlows(ctx context.Context) {
	deadline := time.Now().Add(openTimeout)
	for time.Now().Before(deadline) && r.openFlows() < r.targetFlows {
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return
		}
	}
}

func (r *run) openFlows() int {
	open := 0
	for _, p := range r.testbed.pools {
		open += p.OpenFlows()
	}
	return open
}

// offerLoad sends requests to one service until ctx ends, as Poisson arrivals at
// a mean rate of the load factor times the service's capacity.
func (r *run) offerLoad(ctx context.Context, s *Service, pool *caller.Pool, rnd *rand.Rand) {
	semaphore := make(chan struct{}, maxInFlight)
	next := time.Now()
	for ctx.Err() == nil {
		rate := r.loadFactor() * s.capacity()
		next = next.Add(seconds(rnd.ExpFloat64() / rate))
		if !sleepUntil(ctx, next) {
			return
		}
		kind := s.pickKind(rnd.Float64())
		select {
		case semaphore <- struct{}{}:
			r.inFlight.Go(func() {
				defer func() { <-semaphore }()
				pool.Do(r.requestCtx, kind)
			})
		default:
			r.notSent.Add(1)
		}
	}
}

// pickKind returns the request kind of a class, which it picks by the shares of the
// classes; u is uniform in [0, 1).
func (s *Service) pickKind(u float64) caller.RequestKind {
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
		Timeout: millis(float64(c.DeadlineMillis)) + retryGrace,
	}
}

// overload measures the phases in which the offered load exceeds the capacity.
type overload struct {
	phaseStart time.Time // zero outside such a phase
	ranBefore  uint64    // requests that had run at the start of the phase
	ranTotal   uint64    // requests that ran in the ended phases
	seconds    float64
}

// setLoad changes the load factor. A factor above 1 starts an overload phase.
func (r *run) setLoad(factor float64) {
	ran := r.testbed.callers.Totals().Outcomes["ran"]
	r.factor.Store(&factor)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overload.endPhase(time.Now(), ran)
	if factor > 1 {
		r.overload.phaseStart, r.overload.ranBefore = time.Now(), ran
	}
}

func (o *overload) endPhase(now time.Time, ran uint64) {
	if o.phaseStart.IsZero() {
		return
	}
	o.ranTotal += ran - o.ranBefore
	o.seconds += now.Sub(o.phaseStart).Seconds()
	o.phaseStart = time.Time{}
}

// goodput returns the requests that ran during overload phases as a share of the
// upstreams' capacity in that time; nil when there was no such phase.
func (o *overload) goodput(s *Scenario) *float64 {
	if o.seconds == 0 {
		return nil
	}
	var capacity float64
	for i := range s.Services {
		capacity += s.Services[i].capacity()
	}
	share := float64(o.ranTotal) / o.seconds / capacity
	return &share
}
