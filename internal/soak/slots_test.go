package soak

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"crocusnotch/internal/flow"
)

const (
	// scarceSlots, queueLength and the work are those of the upstreams in
	// docs/scarce-capacity.md: 2 slots, a queue of a few requests, the rest is shed.
	scarceSlots = 2
	queueLength = 4
	minWork     = 20 * time.Millisecond
	maxWork     = 50 * time.Millisecond

	// Lengths of responses in bytes, by which callers distinguish them.
	lengthServed = 20
	lengthShed   = 10 // the request did not run
)

// upstreamFlow is a flow that an upstream accepted.
type upstreamFlow struct {
	accepted uint32 // sequence number of the acceptance
	starts   int    // of the agent, when the flow was accepted
	used     bool   // a packet of the caller acknowledged the acceptance
	seq      uint32 // last request
	response int    // length of its response, 0 while it waits or is served
}

// queued is a request that waits for a slot of an upstream.
type queued struct {
	key  flow.Key
	held *upstreamFlow
	seq  uint32
}

// serve handles a request on an open flow. A retransmission never runs again. The caller
// holds the lock.
func (a *agent) serve(k flow.Key, held *upstreamFlow, seq uint32) {
	held.used = true
	switch {
	case seq < held.seq: // an old retransmission
		a.respond(k, seq, lengthServed)
		return
	case seq == held.seq:
		if held.response != 0 {
			a.respond(k, seq, held.response)
		}
		return
	}
	held.seq, held.response = seq, 0
	request := queued{key: k, held: held, seq: seq}
	switch {
	case a.service != scarceService:
		a.f.ledger.ran(k, a.id())
		held.response = lengthServed
		a.respond(k, seq, lengthServed)
	case a.busy < scarceSlots:
		a.run(request)
	case len(a.queue) < queueLength:
		a.queue = append(a.queue, request)
	default:
		held.response = lengthShed
		a.respond(k, seq, lengthShed)
	}
}

// run serves a request in a free slot. The caller holds the lock.
func (a *agent) run(q queued) {
	a.busy++
	a.f.ledger.ran(q.key, a.id())
	incarnation := a.incarnation
	time.AfterFunc(minWork+rand.N(maxWork-minWork), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.incarnation != incarnation || a.silent {
			return
		}
		a.busy--
		if q.held.seq == q.seq {
			q.held.response = lengthServed
		}
		a.respond(q.key, q.seq, lengthServed)
		if len(a.queue) > 0 {
			next := a.queue[0]
			a.queue = a.queue[1:]
			a.run(next)
		}
	})
}

func (a *agent) respond(k flow.Key, seq uint32, length int) {
	a.send(makePacket(k.Route(), k.Caller(), flagAck, seq, length))
}

// ledger records which requests ran where, and checks that none ran that must not.
type ledger struct {
	t        *testing.T
	mu       sync.Mutex
	servedBy map[flow.Key]string // incarnation of the upstream that ran requests of the flow
	notRun   map[flow.Key]bool   // the caller was told that the flow's request did not run
	urgent   map[flow.Key]int    // urgent request of the flow
	runs     map[int]int         // of urgent requests
}

func newLedger(t *testing.T) *ledger {
	return &ledger{
		t: t, servedBy: map[flow.Key]string{}, notRun: map[flow.Key]bool{},
		urgent: map[flow.Key]int{}, runs: map[int]int{},
	}
}

// addUrgent records which urgent request a flow is opened for; a retry has the number of
// the first try.
func (l *ledger) addUrgent(k flow.Key, request int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.urgent[k] = request
}

// ran records that an upstream starts to serve a request.
func (l *ledger) ran(k flow.Key, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notRun[k] {
		l.t.Errorf("flow %s: a request ran at %s after its caller was told that it had not", k, upstream)
	}
	if first := l.servedBy[k]; first != "" && first != upstream {
		l.t.Errorf("flow %s was served by two upstreams, %s and %s", k, first, upstream)
	}
	l.servedBy[k] = upstream
	if request, ok := l.urgent[k]; ok {
		l.runs[request]++
		if l.runs[request] > 1 {
			l.t.Errorf("flow %s: urgent request %d ran twice, now at %s", k, request, upstream)
		}
	}
}

// refused records that the flow was reset before it opened, or its request was shed.
func (l *ledger) refused(k flow.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun[k] = true
	if at := l.servedBy[k]; at != "" {
		l.t.Errorf("flow %s: a request ran at %s although its caller was told that it had not", k, at)
	}
}
