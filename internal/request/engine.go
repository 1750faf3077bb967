package request

import (
	"math/rand/v2"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

// MaxRelays is the maximum number of relays of one request between agents.
const MaxRelays = 2

// Options configure an Engine.
type Options struct {
	// Self is the relay address and boot incarnation of this agent.
	Self AgentRef
	// Start is when the agent started, the zero point of its clock.
	Start   time.Time
	Targets config.Targets
	Ledger  LedgerLimits // zero value: DefaultLedgerLimits
	// Random is the source for peer sampling and for the jitter of
	// Retry-After.
	Random *rand.Rand
}

// Engine decides what happens to the requests of one agent. Each event method
// returns the actions that the driver, the code that does the I/O, must carry
// out in order. It is not safe for concurrent use.
type Engine struct {
	self    AgentRef
	start   time.Time
	now     time.Time // time of the last event
	random  *rand.Rand
	limiter *admission.Limiter
	ledger  ledger
	budgets retryBudgets
	peers   peers
	jobs    jobs
	window  retentionWindow
	// draining and zoneOut make the agent accept no new requests.
	draining        bool
	zoneOut         bool
	upstreamLeaving bool // the upstream is shutting down
	upstreamPresent bool // an upstream has announced itself
	actions         []Action
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
		budgets: newRetryBudgets(o.Targets.RetryShare),
		peers:   newPeers(o.Random),
		jobs:    newJobs(),
		window:  retentionWindow{retention: retention},
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

// SetTargets applies changed targets.
func (e *Engine) SetTargets(now time.Time, t config.Targets) {
	e.limiter.SetSettings(limiterSettings(t))
	e.budgets.share = t.RetryShare
	e.window.setRetention(now, retention(t))
	e.ledger.retention = retention(t)
}

// Self returns the reference to this agent, without a clock, for Crocus-Owner.
func (e *Engine) Self() AgentRef { return e.self }

// SelfAt returns the reference to this agent with its clock at now, for load
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

// Load returns the load of the limiter at the last event. The limit is 0 while
// the agent is draining or its zone is out of service.
func (e *Engine) Load() admission.Load {
	l := e.limiter.Load(e.now)
	if e.draining || e.zoneOut {
		l.Limit = 0
	}
	return l
}

// Counts is the number of requests and ledger entries.
type Counts struct {
	Requests int // not yet finished
	Running  int // at the upstream, established streams included
	Entries  int // in the ledger
	Bytes    int // estimated memory of the ledger
}

// Counts returns the current numbers.
func (e *Engine) Counts() Counts {
	c := Counts{Requests: len(e.jobs.byID), Entries: len(e.ledger.entries), Bytes: e.ledger.bytes}
	for _, j := range e.jobs.byID {
		if j.phase == phaseRunning || j.phase == phaseEstablished {
			c.Running++
		}
	}
	return c
}

// Announce applies an announcement of the upstream. StateNone means that its
// lease has expired.
func (e *Engine) Announce(now time.Time, a admission.Announcement) []Action {
	e.beginStep(now)
	e.upstreamPresent = a.State != admission.StateNone
	e.upstreamLeaving = a.State == admission.StateLeaving
	e.applyChange(now, e.limiter.Announce(now, a))
	return e.takeActions()
}

// Drain permanently stops the agent from accepting requests: waiting requests
// are relayed to peers or refused, running ones finish.
func (e *Engine) Drain(now time.Time) []Action {
	e.beginStep(now)
	e.draining = true
	e.emptyQueue(now, ReasonDraining)
	return e.takeActions()
}

// SetZoneOut refuses all new and waiting requests while out is true. Running
// requests finish unless the driver cancels them.
func (e *Engine) SetZoneOut(now time.Time, out bool) []Action {
	e.beginStep(now)
	e.zoneOut = out
	if out {
		e.emptyQueue(now, ReasonZoneOut)
	}
	return e.takeActions()
}

func (e *Engine) emptyQueue(now time.Time, reason Reason) {
	for _, j := range e.waitingJobs() {
		e.limiter.Cancel(j.ID)
		e.relayOrRefuse(now, j, reason)
	}
}

// UpdatePeerLoad records the load report of a peer agent of the same service.
func (e *Engine) UpdatePeerLoad(now time.Time, r LoadReport) []Action {
	if r.Peer.Addr == e.self.Addr {
		return nil
	}
	e.beginStep(now)
	e.peers.report(now, r)
	return e.takeActions()
}

// RemovePeer removes a peer agent that left or failed.
func (e *Engine) RemovePeer(r AgentRef) { e.peers.remove(r.Addr) }

// Tick expires requests whose deadline has passed and starts waiting ones if
// the limit has risen.
func (e *Engine) Tick(now time.Time) []Action {
	e.beginStep(now)
	for j := e.jobs.popOverdue(now); j != nil; j = e.jobs.popOverdue(now) {
		e.expire(now, j)
	}
	e.applyChange(now, e.limiter.Tick(now))
	return e.takeActions()
}

// NextTick returns when Tick is next due, and false if it is not needed.
func (e *Engine) NextTick() (time.Time, bool) {
	at, ok := e.jobs.nextDeadline()
	if limiter, has := e.limiter.NextTick(); has && (!ok || limiter.Before(at)) {
		return limiter, true
	}
	return at, ok
}

// beginStep starts the handling of one event.
func (e *Engine) beginStep(now time.Time) {
	e.now = now
	e.ledger.expire(now)
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// takeActions ends the handling of one event and returns its actions.
func (e *Engine) takeActions() []Action {
	out := e.actions
	e.actions = nil
	return out
}

// retentionWindow is the age of a relay or query up to which a key that is
// missing from the ledger was certainly never received.
type retentionWindow struct {
	retention time.Duration
	previous  time.Duration // shorter retention that applied before the last increase
	until     time.Time     // until when previous still limits the window
}

// setRetention applies a new retention. A longer one takes effect once that
// much time has passed: until then, entries that expired under the shorter one
// may be missing.
func (m *retentionWindow) setRetention(now time.Time, retention time.Duration) {
	if retention > m.coverage(now) {
		m.previous = m.coverage(now)
		m.until = now.Add(retention)
	}
	m.retention = retention
}

// coverage returns the length of the window.
func (m *retentionWindow) coverage(now time.Time) time.Duration {
	if now.Before(m.until) {
		return min(m.previous, m.retention)
	}
	return m.retention
}

// ledgerCovers reports whether the ledger still holds every key received since
// the given clock time of this agent.
func (e *Engine) ledgerCovers(now time.Time, clock int64) bool {
	age := e.SelfAt(now).ClockMillis - clock
	return clock > 0 && age < e.window.coverage(now).Milliseconds()
}
