package request

import (
	"math/rand/v2"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

// MaxRelays bounds how often agents relay one request.
const MaxRelays = 2

// Options configure an Engine.
type Options struct {
	// Self is the relay address and boot incarnation of this agent.
	Self AgentRef
	// Start is the time of the agent's start, from which its clock counts.
	Start   time.Time
	Targets config.Targets
	Ledger  LedgerLimits // zero: DefaultLedgerLimits
	// Random is the source for choices among peers and for retry hints.
	Random *rand.Rand
}

// Engine decides what happens to the requests of one agent. Each method takes
// one event and returns what the shell has to do, in order. It is not safe for
// concurrent use.
type Engine struct {
	self    AgentRef
	start   time.Time
	now     time.Time // of the last event
	random  *rand.Rand
	limiter *admission.Limiter
	ledger  ledger
	budgets budgets
	peers   peers
	jobs    jobs
	memory  memory
	// draining and zoneOut stop new work here.
	draining bool
	zoneOut  bool
	leaving  bool // the upstream leaves
	present  bool // an upstream has announced itself
	actions  []Action
}

// New returns an engine without an upstream.
func New(o Options) *Engine {
	if o.Ledger == (LedgerLimits{}) {
		o.Ledger = DefaultLedgerLimits
	}
	retention := retention(o.Targets)
	return &Engine{
		self:    AgentRef{Addr: o.Self.Addr, Incarnation: o.Self.Incarnation},
		start:   o.Start,
		now:     o.Start,
		random:  o.Random,
		limiter: admission.New(limiterSettings(o.Targets)),
		ledger:  newLedger(o.Ledger, retention),
		budgets: newBudgets(o.Targets.RetryShare),
		peers:   newPeers(o.Random),
		jobs:    newJobs(),
		memory:  memory{retention: retention},
	}
}

func retention(t config.Targets) time.Duration {
	return time.Duration(t.RetentionMillis) * time.Millisecond
}

func limiterSettings(t config.Targets) admission.Settings {
	return admission.Settings{
		FreshShare:    t.FreshShare,
		FreshSteps:    t.FreshSteps,
		FreshInterval: time.Duration(t.FreshIntervalMillis) * time.Millisecond,
		QueuePerSlot:  t.QueuePerSlot,
	}
}

// SetTargets adopts changed targets.
func (e *Engine) SetTargets(now time.Time, t config.Targets) {
	e.limiter.SetSettings(limiterSettings(t))
	e.budgets.share = t.RetryShare
	e.memory.change(now, retention(t))
	e.ledger.retention = retention(t)
}

// Self returns the reference to this agent for Crocus-Owner.
func (e *Engine) Self() AgentRef { return e.self }

// SelfAt returns the reference to this agent at the present time, for its load
// reports.
func (e *Engine) SelfAt(now time.Time) AgentRef {
	r := e.self
	r.ClockMillis = now.Sub(e.start).Milliseconds() + 1
	return r
}

// Report returns the load report for the peers.
func (e *Engine) Report(now time.Time) LoadReport {
	e.now = now
	return LoadReport{Peer: e.SelfAt(now), Load: e.Load()}
}

// Load returns the state of the admission at the last event. While the agent
// takes no new work the limit is 0.
func (e *Engine) Load() admission.Load {
	l := e.limiter.Load(e.now)
	if e.draining || e.zoneOut {
		l.Limit = 0
	}
	return l
}

// Counts is the number of requests and ledger entries.
type Counts struct {
	Requests int // not ended here
	Running  int // at the upstream, established streams included
	Entries  int // in the ledger
	Bytes    int // of the ledger, as it counts them
}

// Counts returns the present numbers.
func (e *Engine) Counts() Counts {
	c := Counts{Requests: len(e.jobs.byID), Entries: len(e.ledger.entries), Bytes: e.ledger.bytes}
	for _, j := range e.jobs.byID {
		if j.phase == phaseRunning || j.phase == phaseEstablished {
			c.Running++
		}
	}
	return c
}

// Announce adopts what the upstream says of itself; StateNone when its lease
// lapsed.
func (e *Engine) Announce(now time.Time, a admission.Announcement) []Action {
	e.begin(now)
	e.present = a.State != admission.StateNone
	e.leaving = a.State == admission.StateLeaving
	e.apply(now, e.limiter.Announce(now, a))
	return e.take()
}

// Drain stops new work here for good: waiting requests go to peers or are
// refused, running ones finish.
func (e *Engine) Drain(now time.Time) []Action {
	e.begin(now)
	e.draining = true
	e.emptyQueue(now, ReasonDraining)
	return e.take()
}

// SetZoneOut refuses all new work while out is true. Running requests finish
// or are cancelled by the shell.
func (e *Engine) SetZoneOut(now time.Time, out bool) []Action {
	e.begin(now)
	e.zoneOut = out
	if out {
		e.emptyQueue(now, ReasonZoneOut)
	}
	return e.take()
}

func (e *Engine) emptyQueue(now time.Time, reason Reason) {
	for _, j := range e.waiting() {
		e.limiter.Cancel(j.ID)
		e.elsewhere(now, j, reason)
	}
}

// UpdatePeerLoad adopts the load report of a peer agent of the same service.
func (e *Engine) UpdatePeerLoad(now time.Time, r LoadReport) []Action {
	if r.Peer.Addr == e.self.Addr {
		return nil
	}
	e.begin(now)
	e.peers.report(now, r)
	return e.take()
}

// RemovePeer forgets a peer agent that left or died.
func (e *Engine) RemovePeer(r AgentRef) { e.peers.remove(r.Addr) }

// Tick ends requests whose deadline has passed and starts waiting ones that a
// raised limit allows.
func (e *Engine) Tick(now time.Time) []Action {
	e.begin(now)
	for j := e.jobs.overdue(now); j != nil; j = e.jobs.overdue(now) {
		e.expire(now, j)
	}
	e.apply(now, e.limiter.Tick(now))
	return e.take()
}

// NextTick returns when Tick is due, and false for never.
func (e *Engine) NextTick() (time.Time, bool) {
	at, ok := e.jobs.next()
	if limiter, has := e.limiter.NextTick(); has && (!ok || limiter.Before(at)) {
		return limiter, true
	}
	return at, ok
}

// begin starts one step.
func (e *Engine) begin(now time.Time) {
	e.now = now
	e.ledger.expire(now)
}

func (e *Engine) do(a Action) { e.actions = append(e.actions, a) }

// take ends one step and returns its actions.
func (e *Engine) take() []Action {
	out := e.actions
	e.actions = nil
	return out
}

// memory tells how old a relay or a question may be for the ledger to
// vouch for a key that it does not have.
type memory struct {
	retention time.Duration
	former    time.Duration // shorter retention that held until recently
	until     time.Time     // until when former counts
}

// change adopts a new retention. A longer one counts only when entries that
// were kept for a shorter time can no longer matter.
func (m *memory) change(now time.Time, retention time.Duration) {
	if retention > m.reach(now) {
		m.former = m.reach(now)
		m.until = now.Add(retention)
	}
	m.retention = retention
}

// reach returns the age up to which a missing key was certainly never here.
func (m *memory) reach(now time.Time) time.Duration {
	if now.Before(m.until) {
		return min(m.former, m.retention)
	}
	return m.retention
}

// vouches reports whether a message that names the moment of this agent's
// clock is young enough.
func (e *Engine) vouches(now time.Time, clock int64) bool {
	age := e.SelfAt(now).ClockMillis - clock
	return clock > 0 && age < e.memory.reach(now).Milliseconds()
}
