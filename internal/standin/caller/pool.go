// Package caller is a stand-in for the customers' callers: HTTP/3 clients
// that hold many flows, keep the callers' contract on retries, and check that
// every answer is whole and their own.
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
	reopenPause  = 200 * time.Millisecond
	openInterval = time.Millisecond
)

// Refusal is one attempt that was answered not-run.
type Refusal struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Path    string `json:"path"`
	Reason  string `json:"reason"`
}

// Options describe the callers of one service.
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
	// OnNotRun is told of each attempt that was answered not-run; may be nil.
	OnNotRun func(Refusal)
	Seed     uint64
}

// Pool holds flows to one service and sends requests over them.
type Pool struct {
	o      Options
	dialer *dialer
	slots  []atomic.Pointer[flow]
	open   atomic.Int64
	wg     sync.WaitGroup // retired flows and requests

	mu  sync.Mutex
	rnd *rand.Rand
}

// New opens the callers' sockets.
func New(o Options) (*Pool, error) {
	d, err := newDialer(o.TLS, o.Address, o.Flows)
	if err != nil {
		return nil, err
	}
	return &Pool{
		o: o, dialer: d,
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
		g.Go(func() error { p.hold(ctx, slot); return nil })
		select {
		case <-ctx.Done():
		case <-time.After(openInterval):
		}
	}
	err := g.Wait()
	p.wg.Wait()
	return err
}

// hold keeps one slot filled with a flow.
func (p *Pool) hold(ctx context.Context, slot int) {
	var current *session
	for ctx.Err() == nil {
		next, err := p.openSession(ctx, slot)
		if err != nil {
			pause(ctx, reopenPause)
			continue
		}
		p.slots[slot].Store(next.flow)
		if current != nil {
			p.moved(current)
		}
		current = p.watch(ctx, next)
	}
	if f := p.slots[slot].Swap(nil); f != nil {
		f.retire()
	}
	if current != nil {
		current.end()
	}
}

// moved lets go of a flow that was replaced.
func (p *Pool) moved(old *session) {
	p.o.Counters.add(func(t *Totals) { t.FlowsReplaced++ })
	old.end()
}

// watch returns when the flow must be replaced: the session itself after
// GOAWAY, nil when it has ended.
func (p *Pool) watch(ctx context.Context, s *session) *session {
	select {
	case <-ctx.Done():
		s.end()
		return nil
	case <-s.flow.goAway:
		return s
	case <-s.flow.conn.Context().Done():
		return nil
	}
}

// observe counts the end of a flow.
func (p *Pool) observe(ctx context.Context, f *flow) {
	<-f.conn.Context().Done()
	p.open.Add(-1)
	if ctx.Err() != nil {
		return
	}
	if err := f.broken(); err != nil {
		p.o.Counters.flowBroken(err)
	}
}

// pick returns a random flow, acquired; nil when none is open.
func (p *Pool) pick() *flow {
	const tries = 8
	for range tries {
		f := p.slots[p.draw(len(p.slots))].Load()
		if f != nil && f.acquire() {
			return f
		}
	}
	return nil
}

func (p *Pool) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.IntN(n)
}

func (p *Pool) drawFloat() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.Float64()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
