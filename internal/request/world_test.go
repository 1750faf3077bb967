package request

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

const (
	worldAgents    = 4
	worldSlots     = 4
	worldRetention = 2 * time.Second
)

var (
	worldTargets = config.Targets{
		FreshShare: 0.25, FreshSteps: 3, FreshIntervalMillis: 50,
		QueuePerSlot: 1, RetryShare: 0.5, RetentionMillis: int(worldRetention.Milliseconds()),
	}
	worldLedger = LedgerLimits{Entries: 12, Bytes: 64 << 10}
	worldBulk   = config.Class{Name: "bulk", Bulk: true, DeadlineMillis: 300}
	worldOnce   = config.Class{Name: "once", RunAtMostOnce: true, DeadlineMillis: 300}
)

// world is several agents, the network between them, their upstreams and
// callers. It checks the promises at each step.
type world struct {
	t       *rapid.T
	now     time.Time
	agents  []*agent
	net     []message
	callers []*caller
	nextID  ID
	pending map[ID]*agent // requests without an outcome
}

// agent is one agent process and its upstream.
type agent struct {
	engine      *Engine
	addr        netip.AddrPort
	incarnation uint64
	paused      bool
	delayed     []func() // events that wait for the end of the pause
	requests    map[ID]*arrival
	runs        []ID            // at the upstream now
	relays      map[ID]AgentRef // relays whose end was not reported
	asks        map[ID]Query    // questions whose answer was not reported
	coldSince   time.Time       // when the agent was last told, zero when never
	coldSilent  bool            // the upstream bears little and has not shed yet
	state       admission.State
}

// arrival is one request at one agent.
type arrival struct {
	Request
	caller *caller      // nil for relays and idempotent requests
	answer func(Result) // relays: carries the answer to the relaying agent
}

// caller owns one non-idempotent key.
type caller struct {
	key          string
	attempt      int
	owner        *AgentRef
	ownerAttempt int   // the attempt that owner answered
	notRunTo     int   // attempts up to this one were declared not run
	runs         []int // attempts that ran
}

// message is one message on its way.
type message struct {
	name    string
	local   bool // neither lost nor doubled
	deliver func()
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: origin, pending: map[ID]*agent{}}
	for i := range worldAgents {
		a := &agent{addr: ref(byte(i+1), 0).Addr}
		w.agents = append(w.agents, a)
		w.boot(a)
	}
	return w
}

// boot starts an agent without memory.
func (w *world) boot(a *agent) {
	a.incarnation++
	a.engine = New(Options{
		Self: AgentRef{Addr: a.addr, Incarnation: a.incarnation}, Start: w.now, Targets: worldTargets,
		Ledger: worldLedger, Random: rand.New(rand.NewPCG(1, a.incarnation)),
	})
	a.requests = map[ID]*arrival{}
	a.relays = map[ID]AgentRef{}
	a.asks = map[ID]Query{}
	a.runs, a.delayed, a.paused, a.state = nil, nil, false, admission.StateNone
	w.announce(a, admission.StateWarm)
}

// event hands an event to the agent, or keeps it while the agent is paused.
func (w *world) event(a *agent, f func() []Action) {
	engine := a.engine
	step := func() {
		if a.engine == engine {
			w.perform(a, f())
		}
	}
	if a.paused {
		a.delayed = append(a.delayed, step)
		return
	}
	step()
}

func (w *world) announce(a *agent, s admission.State) {
	w.event(a, func() []Action {
		if a.state == admission.StateNone || s == admission.StateCold && a.state != s {
			a.coldSince = w.now
		}
		a.state = s
		return a.engine.Announce(w.now, admission.Announcement{Slots: worldSlots, Connections: 10, State: s})
	})
}

// arrive gives a request to an agent.
func (w *world) arrive(a *agent, r *arrival) {
	w.nextID++
	r.ID = w.nextID
	w.pending[r.ID] = a
	w.event(a, func() []Action {
		a.requests[r.ID] = r
		return a.engine.Submit(w.now, r.Request)
	})
}

func (w *world) perform(a *agent, actions []Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case SendOwner:
			w.tellOwner(a, a.requests[x.ID])
		case RunUpstream:
			w.run(a, x.ID)
		case RelayTo:
			w.relay(a, x)
		case QueryOwner:
			w.ask(a, x)
		case Reply:
			w.reply(a, x.ID, Result{Outcome: x.Outcome, Reason: x.Reason, Response: answerFor(a.requests[x.ID])})
		case ReplayResponse:
			w.expect(x.Response == nil || string(x.Response.Body) == x.Key, "replay of another key's answer")
			w.reply(a, x.ID, Result{Outcome: OutcomeRan, Response: x.Response})
		case CancelUpstream, CancelRelay:
		}
	}
	w.checkBounds(a)
}

func answerFor(r *arrival) *Response { return &Response{Status: 200, Body: []byte(r.Key)} }

// tellOwner sends the informational answer, which the caller may get late.
func (w *world) tellOwner(a *agent, r *arrival) {
	c, owner := r.caller, a.engine.Self()
	w.send("owner", func() {
		if r.Attempt >= c.ownerAttempt {
			c.owner, c.ownerAttempt = &owner, r.Attempt
		}
	})
}

// later sends an event of the agent's own machine, which is neither lost nor
// doubled unless the agent crashes.
func (w *world) later(a *agent, name string, f func() []Action) {
	engine := a.engine
	w.net = append(w.net, message{name: name, local: true, deliver: func() {
		if a.engine == engine {
			w.event(a, f)
		}
	}})
}

// run starts a request at the upstream, which may refuse it.
func (w *world) run(a *agent, id ID) {
	w.expect(len(a.runs) < worldSlots, "more runs than slots")
	limit := w.bearable(a)
	if a.coldSilent && len(a.runs) >= w.freshLimit(0) {
		w.later(a, "shed", func() []Action {
			a.coldSilent = false
			a.coldSince = w.now
			return a.engine.UpstreamDone(w.now, id, Result{Outcome: OutcomeNotRun, Reason: ReasonShed})
		})
		return
	}
	w.expect(len(a.runs) < limit, "cold limit exceeded: %d runs, %d bearable", len(a.runs)+1, limit)
	a.runs = append(a.runs, id)
	w.recordRun(a.requests[id])
}

// bearable is what the upstream bears as far as the agent was told.
func (w *world) bearable(a *agent) int {
	elapsed := w.now.Sub(a.coldSince).Milliseconds()
	return w.freshLimit(int(elapsed) / worldTargets.FreshIntervalMillis)
}

func (w *world) freshLimit(step int) int {
	share := worldTargets.FreshShare + (1-worldTargets.FreshShare)*float64(step)/float64(worldTargets.FreshSteps)
	return min(worldSlots, max(1, int(worldSlots*share+1e-9)))
}

func (w *world) recordRun(r *arrival) {
	if r.caller == nil {
		return
	}
	c := r.caller
	c.runs = append(c.runs, r.Attempt)
	w.expect(len(c.runs) == 1, "key %s ran twice: attempts %v", c.key, c.runs)
	w.expect(r.Attempt > c.notRunTo, "key %s ran at attempt %d after not-run up to %d", c.key, r.Attempt, c.notRunTo)
}

// reply ends a request at an agent.
func (w *world) reply(a *agent, id ID, result Result) {
	w.expect(w.pending[id] == a, "second outcome for request %d", id)
	delete(w.pending, id)
	r := a.requests[id]
	if r.answer != nil {
		r.answer(result)
		return
	}
	if r.caller == nil {
		return
	}
	c := r.caller
	if result.Outcome == OutcomeNotRun {
		c.notRunTo = max(c.notRunTo, r.Attempt)
		for _, attempt := range c.runs {
			w.expect(attempt > r.Attempt, "not-run for attempt %d of key %s, which ran", r.Attempt, c.key)
		}
	}
	if result.Outcome == OutcomeRan {
		w.expect(len(c.runs) == 1, "ran for key %s, which did not run", c.key)
	}
}

func (w *world) checkBounds(a *agent) {
	load := a.engine.Load()
	w.expect(load.Queued <= worldTargets.QueuePerSlot*worldSlots, "queue bound")
	w.expect(load.Busy <= worldSlots, "slots")
	counts := a.engine.Counts()
	w.expect(counts.Entries <= worldLedger.Entries, "ledger entries")
	w.expect(counts.Bytes <= worldLedger.Bytes, "ledger bytes")
}

func (w *world) expect(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf("%s", fmt.Sprintf(format, args...))
	}
}
