package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Timing holds the intervals and bounds of a Core.
type Timing struct {
	Heartbeat        time.Duration // agent to each watching entry
	HeartbeatTimeout time.Duration // silence after which an entry probes an agent
	Probe            time.Duration // entry: between two probes of each role
	ProbeTimeout     time.Duration // for an acknowledgement, before each next step
	SuspicionTimeout time.Duration // from suspect to dead
	Gossip           time.Duration // between two rounds of spreading
	StartupPhase     time.Duration // from the start, while processes meet each other
	StartupGossip    time.Duration // between two rounds of spreading in that time
	StartupDigest    time.Duration // between two repairs of the member table in that time
	Digest           time.Duration // between two repairs of the member table
	DeadProbe        time.Duration // between two probes of dead members
	Retention        time.Duration // of final records
	PauseThreshold   time.Duration // gap between ticks taken as a pause of the process
	IsolationTimeout time.Duration // silence of all peers after which a process looks for new ones
}

// DefaultTiming returns the intervals of the product.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:        time.Second,
		HeartbeatTimeout: 2 * time.Second,
		Probe:            time.Second,
		ProbeTimeout:     500 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		Gossip:           200 * time.Millisecond,
		StartupPhase:     2 * time.Second,
		StartupGossip:    40 * time.Millisecond,
		StartupDigest:    200 * time.Millisecond,
		Digest:           5 * time.Second,
		DeadProbe:        5 * time.Second,
		Retention:        24 * time.Hour,
		PauseThreshold:   1500 * time.Millisecond,
		IsolationTimeout: 5 * time.Second,
	}
}

// Options configure a Core.
type Options struct {
	Self   Record
	Rand   *rand.Rand
	Timing Timing
	Seeds  []netip.AddrPort // control addresses that a process without entries pings
}

// Send is a message to be sent to a control address.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// Fetch asks for objects that were too large for a datagram.
type Fetch struct {
	From netip.AddrPort // control address
	IDs  []config.ID
}

// Change is one change of state of a member.
type Change struct {
	Record Record
	Before State // 0 when the member was not known
	Cause  Cause
}

// Cause tells why a member changed.
type Cause string

// Causes of changes.
const (
	CauseReported       Cause = "reported by itself or a peer"
	CauseSnapshot       Cause = "in the snapshot of a peer"
	CauseNoAnswer       Cause = "no answer to direct and indirect probes"
	CauseSuspicion      Cause = "suspicion was not refuted in time"
	CauseRetentionEnded Cause = "retention of the final record ended"
	CauseRefuted        Cause = "refuted a wrong report about itself"
)

// Output is what the shell has to do after events.
type Output struct {
	Sends          []Send
	Fetches        []Fetch
	Changes        []Change
	ObjectsChanged bool // the configuration objects changed
	MembersChanged bool // the records changed
}

// Core is the state machine of one process: it merges records and objects,
// spreads them, and watches other members. It is driven by Tick and Receive;
// what is to be done is collected until Drain. It is not safe for concurrent
// use.
type Core struct {
	self    Record
	seeds   []netip.AddrPort
	rand    *rand.Rand
	timing  Timing
	table   *table
	objects *objects
	seq     uint64 // number of the last change of any record or object
	out     Output
	left    bool

	started  time.Time
	lastTick time.Time
	heard    time.Time // last message from any peer

	agent  agentState
	entry  entryState
	spread spreadState
	probes probeState
	repair repairState
	fresh  freshState
}

// New returns the state machine of one process.
func New(o Options) *Core {
	c := &Core{self: o.Self, seeds: o.Seeds, rand: o.Rand, timing: o.Timing}
	if c.self.Boot == 0 {
		c.self.Boot = c.self.Incarnation
	}
	c.table = newTable(&c.seq)
	c.objects = newObjects(&c.seq)
	c.entry.watched = map[netip.AddrPort]*watchedAgent{}
	c.agent.watchers = map[netip.AddrPort]*watcher{}
	c.agent.failed = map[netip.AddrPort]time.Time{}
	c.agent.missed = map[netip.AddrPort]int{}
	c.probes.pending = map[uint64]*probe{}
	c.spread.records = map[netip.AddrPort]*rumor{}
	c.spread.objects = map[config.ID]*rumor{}
	return c
}

// TakeOutput returns and clears what is to be done.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Self returns the process's own record.
func (c *Core) Self() Record { return c.self }

// Update changes the own record, raises its version and announces it.
func (c *Core) Update(now time.Time, change func(*Record)) {
	if c.left {
		return
	}
	before := c.self
	change(&c.self)
	c.self.Addr, c.self.Control, c.self.Incarnation = before.Addr, before.Control, before.Incarnation
	if c.self == before {
		return
	}
	c.self.Version = before.Version + 1
	if c.self.Service != before.Service {
		c.agent.resync()
	}
	c.announce(now)
}

// Leave marks the process as stopped and announces it.
func (c *Core) Leave(now time.Time) {
	if c.left {
		return
	}
	c.self.State = StateLeft
	c.self.Version++
	c.announce(now)
	c.left = true
}

// SetSeeds sets the control addresses that a process without entries pings.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.seeds = seeds }

// SetServiceName sets the name of the agent's service, so that it receives that
// service's configuration before its record carries the service's ID.
func (c *Core) SetServiceName(service string) {
	if c.agent.follow != service {
		c.agent.follow = service
		c.agent.resync()
	}
}

// Merge merges records and objects that came from the store or a snapshot.
func (c *Core) Merge(now time.Time, records []Record, objects []config.Object) {
	c.startOnce(now)
	for i := range records {
		switch {
		case !records[i].Valid():
		case c.isDoubtful(&records[i]):
			c.doubt(&records[i])
		default:
			c.mergeRecord(now, &records[i], CauseSnapshot)
		}
	}
	for i := range objects {
		c.mergeObject(now, &objects[i])
	}
	if len(records) > 0 {
		c.heard = now
		c.announce(now)
	}
}

// Tick lets time pass. It is to be called at least every Period.
func (c *Core) Tick(now time.Time) {
	c.startOnce(now)
	if gap := now.Sub(c.lastTick); gap > c.timing.PauseThreshold {
		c.resume(now, gap)
	}
	c.lastTick = now
	if c.left {
		return
	}
	if c.self.Role == RoleAgent {
		c.tickAgent(now)
		return
	}
	c.tickEntry(now)
}

func (c *Core) startOnce(now time.Time) {
	if !c.started.IsZero() {
		return
	}
	c.started, c.lastTick, c.heard = now, now, now
	c.probes.next = now.Add(c.jitter(c.timing.Probe))
	c.probes.revisit = now.Add(c.jitter(c.timing.DeadProbe))
	c.repair.next = now.Add(c.jitter(c.timing.Digest))
	if c.timing.StartupDigest > 0 {
		c.repair.next = now.Add(c.timing.StartupDigest)
	}
	c.spread.next = now
	c.agent.next = now
}

// resume restarts all timers after the process did not run for a while: the
// silence was its own, not that of the others.
func (c *Core) resume(now time.Time, gap time.Duration) {
	for _, w := range c.entry.watched {
		w.heard = w.heard.Add(gap)
	}
	for _, w := range c.agent.watchers {
		w.replied = w.replied.Add(gap)
	}
	for _, m := range c.table.suspects {
		m.changedAt = m.changedAt.Add(gap)
	}
	clear(c.probes.pending)
	c.heard = c.heard.Add(gap)
	c.fresh.at = time.Time{}
	c.repair.next = now
}

// Isolated reports whether no peer has been heard for a while, so that new ones
// are to be looked for.
func (c *Core) Isolated(now time.Time) bool {
	return now.Sub(c.heard) > c.timing.IsolationTimeout || len(c.table.entries) == 0
}

// starting reports whether the process has started a short time ago: after a loss
// of power all processes look for each other, and callers wait for them.
func (c *Core) starting(now time.Time) bool {
	return c.started.IsZero() || now.Sub(c.started) < c.timing.StartupPhase
}

// Period returns the time until the next Tick.
func (c *Core) Period(now time.Time) time.Duration {
	return c.pace(now, c.timing.StartupGossip, c.timing.Gossip)
}

// pace returns the period of a starting process, where there is one, and later
// the steady one.
func (c *Core) pace(now time.Time, start, steady time.Duration) time.Duration {
	if c.starting(now) {
		return cmp.Or(start, steady)
	}
	return steady
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(d)))
}

func (c *Core) send(to netip.AddrPort, m *Message) {
	m.From, m.Control = c.self.Addr, c.self.Control
	c.out.Sends = append(c.out.Sends, Send{To: to, Message: m})
}

// announce spreads the own record at once.
func (c *Core) announce(now time.Time) {
	c.out.MembersChanged = true
	if c.self.Role == RoleAgent {
		c.heartbeatAll(now)
		return
	}
	c.spreadRecord(&c.self)
	c.flushRumors(now)
}
