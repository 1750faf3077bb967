// Package caller simulates the customers' callers: HTTP/3 clients that hold many
// flows, follow the callers' contract on retries, and check that every response
// is complete and belongs to its request.
package caller

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	reopenDelay  = 200 * time.Millisecond
	openInterval = time.Millisecond
)

// Refusal is one attempt whose response reported not-run.
type Refusal struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Path    string `json:"path"`
	Reason  string `json:"reason"`
}

// Options configure the callers of one service.
type Options struct {
	Service string
	Address netip.AddrPort // the service address at the fabric
	TLS     *tls.Config
	Flows   int
	// StreamShare is the share of flows that hold a long stream.
	StreamShare float64
	// StreamPath is the path of long streams.
	StreamPath string
	Counters   *Counters
	// OnNotRun, when not nil, is called for each attempt reported as not-run.
	OnNotRun func(Refusal)
	Seed     uint64
}

// Pool holds flows to one service and sends requests over them.
type Pool struct {
	opts   Options
	dialer *dialer
	slots  []atomic.Pointer[flow] // each holds one flow, nil while none is open
	open   atomic.Int64
	wg     sync.WaitGroup // flows that have not ended and long streams

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a pool with its sockets open and no flow yet.
func New(o Options) (*Pool, error) {
	d, err := newDialer(o.TLS, o.Address, o.Flows)
	if err != nil {
		return nil, err
	}
	return &Pool{
		opts: o, dialer: d,
		slots: make([]atomic.Pointer[flow], o.Flows),
		rnd:   rand.New(rand.NewPCG(o.Seed, 0)),
	}, nil
}

// OpenFlows returns the number of established flows.
func (p *Pool) OpenFlows() int { return int(p.open.Load()) }

// Run opens all flows and keeps them open until ctx ends; then they are
// closed.
func (p *Pool) Run(ctx context.Context) error {
	defer p.dialer.close()
	var g errgroup.Group
	for slot := range p.slots {
		g.Go(func() error { p.keepOpen(ctx, slot); return nil })
		select {
		case <-ctx.Done():
		case <-time.After(openInterval):
		}
	}
	err := g.Wait()
	p.wg.Wait()
	return err
}

// keepOpen opens a flow for the slot and replaces it whenever it ends or the
// server sends GOAWAY.
func (p *Pool) keepOpen(ctx context.Context, slot int) {
	var current *session
	for ctx.Err() == nil {
		next, err := p.openSession(ctx, slot)
		if err != nil {
			sleep(ctx, reopenDelay)
			continue
		}
		p.slots[slot].Store(next.flow)
		if current != nil {
			p.closeReplaced(current)
		}
		current = p.awaitEnd(ctx, next)
	}
	if f := p.slots[slot].Swap(nil); f != nil {
		f.retire()
	}
	if current != nil {
		current.close()
	}
}

// closeReplaced closes a flow whose replacement is open.
func (p *Pool) closeReplaced(old *session) {
	p.opts.Counters.update(func(t *Totals) { t.FlowsReplaced++ })
	old.close()
}

// awaitEnd blocks until the flow must be replaced. It returns the session after
// GOAWAY, when the flow is still open, and nil when the flow has ended.
func (p *Pool) awaitEnd(ctx context.Context, s *session) *session {
	select {
	case <-ctx.Done():
		s.close()
		return nil
	case <-s.flow.goAway:
		return s
	case <-s.flow.conn.Context().Done():
		return nil
	}
}

// recordEnd waits for the flow to end. It counts the flow as broken if the pool
// neither closed it nor was stopped by ctx.
func (p *Pool) recordEnd(ctx context.Context, f *flow) {
	<-f.conn.Context().Done()
	p.open.Add(-1)
	if ctx.Err() != nil {
		return
	}
	if err := f.closeError(); err != nil {
		p.opts.Counters.flowBroken(err)
	}
}

// acquireRandom acquires a random flow; it returns nil when it finds none open.
func (p *Pool) acquireRandom() *flow {
	const maxTries = 8
	for range maxTries {
		f := p.slots[p.randomInt(len(p.slots))].Load()
		if f != nil && f.acquire() {
			return f
		}
	}
	return nil
}

func (p *Pool) randomInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.IntN(n)
}

func (p *Pool) randomFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.Float64()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
