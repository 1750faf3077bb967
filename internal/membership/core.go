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
	Heartbeat        time.Duration // agent: between two heartbeats to each watcher
	HeartbeatTimeout time.Duration // entry: without a heartbeat, after which an agent is probed
	Probe            time.Duration // entry: between two probes of each role
	ProbeTimeout     time.Duration // for an acknowledgement of a direct or an indirect probe
	SuspicionTimeout time.Duration // from suspect to dead
	Gossip           time.Duration // between two gossip rounds
	StartupPhase     time.Duration // from the start, while processes discover each other
	StartupGossip    time.Duration // between two gossip rounds in the startup phase
	StartupDigest    time.Duration // between two repairs of the member table in the startup phase
	Digest           time.Duration // between two repairs of the member table
	DeadProbe        time.Duration // between two probes of dead members
	Retention        time.Duration // of final records
	PauseThreshold   time.Duration // gap between ticks above which the process is taken to have been paused
	IsolationTimeout time.Duration // without a message from any peer, after which new peers are looked for
}

// DefaultTiming returns the intervals used in production.
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
	Seeds  []netip.AddrPort // control addresses pinged while no entry is known
}

// Send is a message to be sent to a control address.
type Send struct {
	To      netip.AddrPort
	Message *Message
}

// Fetch is a request for objects that are too large for a datagram.
type Fetch struct {
	From netip.AddrPort // control address
	IDs  []config.ID
}

// Change is a change of the state of a member.
type Change struct {
	Record Record
	Before State // 0 when the member was unknown
	Cause  Cause
}

// Cause is the reason why a member's state changed.
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

// Output is what the caller of the core must do after events.
type Output struct {
	Sends          []Send
	Fetches        []Fetch
	Changes        []Change
	ObjectsChanged bool // the configuration objects changed
	MembersChanged bool // the records changed
	Restored       bool // the store was restored from a copy
}

// Core is the membership state machine of one process: it merges records and
// objects, spreads them by gossip, and detects failures of other members. Tick
// and Receive drive it; its output is collected until TakeOutput. It is not safe
// for concurrent use.
type Core struct {
	self    Record
	seeds   []netip.AddrPort
	rand    *rand.Rand
	timing  Timing
	table   *table
	objects *objects
	seq     uint64 // sequence number of the last change of any record or object
	out     Output
	left    bool // Leave was called

	started      time.Time
	lastTick     time.Time
	lastReceived time.Time // time of the last message from any peer

	agent    agentState
	entry    entryState
	spread   spreadState
	probes   probeState
	repair   repairState
	verified verifiedState
	era      eraState
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
	c.agent.failedUntil = map[netip.AddrPort]time.Time{}
	c.agent.missedProbes = map[netip.AddrPort]int{}
	c.probes.pending = map[uint64]*probe{}
	c.spread.records = map[netip.AddrPort]*rumor{}
	c.spread.objects = map[config.ID]*rumor{}
	return c
}

// TakeOutput returns and clears the collected output.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Self returns the process's own record.
func (c *Core) Self() Record { return c.self }

// Update changes the own record; if it differs then, its version is incremented
// and it is announced.
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
		c.agent.resetWatcherSeqs()
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

// SetSeeds sets the control addresses that are pinged while no entry is known.
func (c *Core) SetSeeds(seeds []netip.AddrPort) { c.seeds = seeds }

// SetServiceName sets the name of the agent's service, so that it receives that
// service's configuration before its record carries the service's ID.
func (c *Core) SetServiceName(service string) {
	if c.agent.serviceName != service {
		c.agent.serviceName = service
		c.agent.resetWatcherSeqs()
	}
}

// Merge merges records and objects from the store or a snapshot.
func (c *Core) Merge(now time.Time, records []Record, objects []config.Object) {
	c.startOnce(now)
	for i := range records {
		switch {
		case !records[i].Valid():
		case c.needsVerification(&records[i]):
			c.queueVerification(&records[i])
		default:
			c.mergeRecord(now, &records[i], CauseSnapshot)
		}
	}
	for i := range objects {
		c.mergeObject(now, &objects[i])
	}
	if len(records) > 0 {
		c.lastReceived = now
		c.announce(now)
	}
}

// Tick runs the work that is due. It must be called at least every Period.
func (c *Core) Tick(now time.Time) {
	c.startOnce(now)
	if gap := now.Sub(c.lastTick); gap > c.timing.PauseThreshold {
		c.resumeAfterPause(now, gap)
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
	c.started, c.lastTick, c.lastReceived = now, now, now
	c.probes.nextProbe = now.Add(c.jitter(c.timing.Probe))
	c.probes.nextDeadProbe = now.Add(c.jitter(c.timing.DeadProbe))
	c.repair.nextMembers = now.Add(c.jitter(c.timing.Digest))
	if c.timing.StartupDigest > 0 {
		c.repair.nextMembers = now.Add(c.timing.StartupDigest)
	}
	c.spread.nextRound = now
	c.agent.nextHeartbeat = now
}

// resumeAfterPause extends the deadlines of all members by the time for which
// this process did not run, and discards pending probes and the time of the last
// verification of the objects: messages were missed because of its own pause, not
// because others failed.
func (c *Core) resumeAfterPause(now time.Time, gap time.Duration) {
	for _, w := range c.entry.watched {
		w.lastHeartbeat = w.lastHeartbeat.Add(gap)
	}
	for _, w := range c.agent.watchers {
		w.lastReply = w.lastReply.Add(gap)
	}
	for _, m := range c.table.suspects {
		m.changedAt = m.changedAt.Add(gap)
	}
	clear(c.probes.pending)
	c.lastReceived = c.lastReceived.Add(gap)
	c.verified.at = time.Time{}
	c.repair.nextMembers = now
	if c.self.Role == RoleAgent {
		c.requestChangesMissed(now)
	}
}

// Resume handles the end of a pause during which the clock stood still, so that the
// deadlines of members need no extension.
func (c *Core) Resume(now time.Time) {
	c.startOnce(now)
	if !c.left {
		c.resumeAfterPause(now, 0)
	}
}

// Isolated reports whether no entry is known or no message came from any peer
// for IsolationTimeout, so that the caller must look for new peers.
func (c *Core) Isolated(now time.Time) bool {
	return now.Sub(c.lastReceived) > c.timing.IsolationTimeout || len(c.table.entries) == 0
}

// inStartupPhase reports whether the process started less than StartupPhase ago.
// Intervals are shorter then: after a power loss all processes discover each
// other while callers wait.
func (c *Core) inStartupPhase(now time.Time) bool {
	return c.started.IsZero() || now.Sub(c.started) < c.timing.StartupPhase
}

// Period returns the time until the next Tick.
func (c *Core) Period(now time.Time) time.Duration {
	return c.startupOrSteady(now, c.timing.StartupGossip, c.timing.Gossip)
}

// startupOrSteady returns the interval of the startup phase during that phase,
// if it is set, and the steady one otherwise.
func (c *Core) startupOrSteady(now time.Time, start, steady time.Duration) time.Duration {
	if c.inStartupPhase(now) {
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

// announce sends the own record at once: an agent by heartbeats, an entry by
// gossip.
func (c *Core) announce(now time.Time) {
	c.out.MembersChanged = true
	if c.self.Role == RoleAgent {
		c.heartbeatAll(now)
		return
	}
	c.spreadRecord(&c.self)
	c.sendRumors(now)
}
