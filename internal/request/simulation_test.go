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
	simAgents    = 4
	simSlots     = 4
	simRetention = 2 * time.Second
)

var (
	simTargets = config.Targets{
		FreshShare: 0.25, FreshSteps: 3, FreshIntervalMillis: 50,
		QueuePerSlot: 1, RetryShare: 0.5, RetentionMillis: int(simRetention.Milliseconds()),
	}
	simLedgerLimits = LedgerLimits{Entries: 12, Bytes: 64 << 10}
	simBulkClass    = config.Class{Name: "bulk", Bulk: true, DeadlineMillis: 300}
	simOnceClass    = config.Class{Name: "once", RunAtMostOnce: true, DeadlineMillis: 300}
)

// simulation models several agents, the network between them, their upstreams
// and callers. It checks the invariants at each step: a key runs at most once,
// never after it was reported as not run, and all limits hold.
type simulation struct {
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
	engine          *Engine
	addr            netip.AddrPort
	incarnation     uint64
	paused          bool
	pausedEvents    []func() // events deferred until the pause ends
	requests        map[ID]*agentRequest
	runs            []ID            // running at the upstream
	relays          map[ID]AgentRef // relays that have not ended at the sender
	queries         map[ID]Query    // queries that have not ended at the sender
	coldStartAt     time.Time       // start of the last cold start that the agent was informed of
	unannouncedCold bool            // the upstream is cold without an announcement and has not shed yet
	state           admission.State
}

// agentRequest is one request at one agent.
type agentRequest struct {
	Request
	caller  *caller      // nil for idempotent requests
	respond func(Result) // relays: sends the result to the relaying agent
}

// caller owns one non-idempotent key.
type caller struct {
	key          string
	attempt      int
	owner        *AgentRef
	ownerAttempt int   // the attempt for which owner was received
	notRunUpTo   int   // attempts up to this one were reported as not run
	runs         []int // attempts that ran
}

// message is one message in flight.
type message struct {
	name    string
	local   bool // neither lost nor duplicated
	deliver func()
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: testStart, pending: map[ID]*agent{}}
	for i := range simAgents {
		a := &agent{addr: agentRef(byte(i+1), 0).Addr}
		w.agents = append(w.agents, a)
		w.boot(a)
	}
	return w
}

// boot starts an agent with empty state.
func (w *simulation) boot(a *agent) {
	a.incarnation++
	a.engine = New(Options{
		Self: AgentRef{Addr: a.addr, Incarnation: a.incarnation}, Start: w.now, Targets: simTargets,
		Ledger: simLedgerLimits, Random: rand.New(rand.NewPCG(1, a.incarnation)),
	})
	a.requests = map[ID]*agentRequest{}
	a.relays = map[ID]AgentRef{}
	a.queries = map[ID]Query{}
	a.runs, a.pausedEvents, a.paused, a.state = nil, nil, false, admission.StateNone
	w.announce(a, admission.StateWarm)
}

// event applies an event to the agent, or defers it while the agent is paused.
func (w *simulation) event(a *agent, f func() []Action) {
	engine := a.engine
	step := func() {
		if a.engine == engine {
			w.perform(a, f())
		}
	}
	if a.paused {
		a.pausedEvents = append(a.pausedEvents, step)
		return
	}
	step()
}

func (w *simulation) announce(a *agent, state admission.State) {
	w.event(a, func() []Action {
		if a.state == admission.StateNone || state == admission.StateCold && a.state != state {
			a.coldStartAt = w.now
		}
		a.state = state
		return a.engine.Announce(w.now, admission.Announcement{Slots: simSlots, Connections: 10, State: state})
	})
}

// submit submits a request to an agent.
func (w *simulation) submit(a *agent, r *agentRequest) {
	w.nextID++
	r.ID = w.nextID
	w.pending[r.ID] = a
	w.event(a, func() []Action {
		a.requests[r.ID] = r
		return a.engine.Submit(w.now, r.Request)
	})
}

func (w *simulation) perform(a *agent, actions []Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case SendOwner:
			w.sendOwner(a, a.requests[x.ID])
		case RunUpstream:
			w.run(a, x.ID)
		case RelayTo:
			w.relay(a, x)
		case QueryOwner:
			w.query(a, x)
		case Reply:
			w.reply(a, x.ID, Result{Outcome: x.Outcome, Reason: x.Reason, Response: responseFor(a.requests[x.ID])})
		case ReplayResponse:
			w.expect(x.Response == nil || string(x.Response.Body) == x.Key, "replay of another key's response")
			w.reply(a, x.ID, Result{Outcome: OutcomeRan, Response: x.Response})
		case CancelUpstream, CancelRelay:
		}
	}
	w.checkBounds(a)
}

func responseFor(r *agentRequest) *Response { return &Response{Status: 200, Body: []byte(r.Key)} }

// sendOwner sends the informational response, which the caller may receive late.
func (w *simulation) sendOwner(a *agent, r *agentRequest) {
	c, owner := r.caller, a.engine.Self()
	w.send("owner", func() {
		if r.Attempt >= c.ownerAttempt {
			c.owner, c.ownerAttempt = &owner, r.Attempt
		}
	})
}

// sendLocal sends an event within the agent's machine. It is neither lost nor
// duplicated unless the agent crashes.
func (w *simulation) sendLocal(a *agent, name string, f func() []Action) {
	engine := a.engine
	w.net = append(w.net, message{name: name, local: true, deliver: func() {
		if a.engine == engine {
			w.event(a, f)
		}
	}})
}

// run starts a request at the upstream, which may refuse it.
func (w *simulation) run(a *agent, id ID) {
	w.expect(len(a.runs) < simSlots, "more runs than slots")
	limit := w.coldStartLimit(a)
	if a.unannouncedCold && len(a.runs) >= w.limitAtStep(0) {
		w.sendLocal(a, "shed", func() []Action {
			a.unannouncedCold = false
			a.coldStartAt = w.now
			return a.engine.UpstreamDone(w.now, id, Result{Outcome: OutcomeNotRun, Reason: ReasonShed})
		})
		return
	}
	w.expect(len(a.runs) < limit, "cold-start limit exceeded: %d runs, limit %d", len(a.runs)+1, limit)
	a.runs = append(a.runs, id)
	w.recordRun(a.requests[id])
}

// coldStartLimit returns the highest limit that the agent may apply, given the
// cold starts that it was informed of.
func (w *simulation) coldStartLimit(a *agent) int {
	elapsed := w.now.Sub(a.coldStartAt).Milliseconds()
	return w.limitAtStep(int(elapsed) / simTargets.FreshIntervalMillis)
}

func (w *simulation) limitAtStep(step int) int {
	share := simTargets.FreshShare + (1-simTargets.FreshShare)*float64(step)/float64(simTargets.FreshSteps)
	return min(simSlots, max(1, int(simSlots*share+1e-9)))
}

func (w *simulation) recordRun(r *agentRequest) {
	if r.caller == nil {
		return
	}
	c := r.caller
	c.runs = append(c.runs, r.Attempt)
	w.expect(len(c.runs) == 1, "key %s ran twice: attempts %v", c.key, c.runs)
	w.expect(r.Attempt > c.notRunUpTo, "key %s ran at attempt %d after not-run up to %d", c.key, r.Attempt, c.notRunUpTo)
}

// reply handles the reply to a request at an agent.
func (w *simulation) reply(a *agent, id ID, result Result) {
	w.expect(w.pending[id] == a, "second outcome for request %d", id)
	delete(w.pending, id)
	r := a.requests[id]
	if r.respond != nil {
		r.respond(result)
		return
	}
	if r.caller == nil {
		return
	}
	c := r.caller
	if result.Outcome == OutcomeNotRun {
		c.notRunUpTo = max(c.notRunUpTo, r.Attempt)
		for _, attempt := range c.runs {
			w.expect(attempt > r.Attempt, "not-run for attempt %d of key %s, which ran", r.Attempt, c.key)
		}
	}
	if result.Outcome == OutcomeRan {
		w.expect(len(c.runs) == 1, "ran for key %s, which did not run", c.key)
	}
}

func (w *simulation) checkBounds(a *agent) {
	load := a.engine.Load()
	w.expect(load.Queued <= simTargets.QueuePerSlot*simSlots, "queue is longer than its limit")
	w.expect(load.Busy <= simSlots, "more slots busy than announced")
	counts := a.engine.Counts()
	w.expect(counts.Entries <= simLedgerLimits.Entries, "ledger has more entries than its limit")
	w.expect(counts.Bytes <= simLedgerLimits.Bytes, "ledger has more bytes than its limit")
}

func (w *simulation) expect(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf("%s", fmt.Sprintf(format, args...))
	}
}
