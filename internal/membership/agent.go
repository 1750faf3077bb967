package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an agent's view of the entries.
const (
	watchersPerAgent        = 3
	maxKnownEntries         = 16
	minKnownEntries         = 8  // below this the agent requests more
	entryRequestHeartbeats  = 8  // heartbeats between two requests for more entries
	maxMissedReplies        = 3  // unanswered heartbeats after which a watcher is replaced
	failedWatcherHeartbeats = 30 // heartbeat periods before a failed watcher may be chosen again
	peerCheckHeartbeats     = 4  // heartbeats between two peer records sent to the watchers for comparison
	entryProbeHeartbeats    = 2  // heartbeats between two probes of known entries
	maxMissedEntryProbes    = 2  // unanswered probes after which an entry is dropped
)

// watcher is an entry that monitors this agent by its heartbeats.
type watcher struct {
	addr      netip.AddrPort
	epoch     uint64 // incarnation of the entry to which lastSeq belongs
	lastSeq   uint64 // sequence number of the last change received from the entry
	lastReply time.Time
}

// agentState is the part of the state that only agents have.
type agentState struct {
	serviceName     string
	nextHeartbeat   time.Time
	watchers        map[netip.AddrPort]*watcher
	failedUntil     map[netip.AddrPort]time.Time // when failed entries may be watchers again
	missedProbes    map[netip.AddrPort]int       // unanswered probes of known entries
	lastProbed      netip.AddrPort               // known entry probed last
	heartbeatCount  int
	lastCheckedPeer netip.AddrPort  // peer last sent to the watchers
	restarted       bool            // see Restarted
	resumeProbes    map[uint64]bool // numbers of the probes that followed heartbeats after a pause
	resumedAt       time.Time
}

// resumeConfirmTimeout bounds the wait of an agent for its watchers after a pause. They
// answer within milliseconds, unless all of them are gone.
const resumeConfirmTimeout = 2 * time.Second

// requestChangesMissed asks the watchers for what changed while this agent was paused,
// such as a zone that was taken out of service. The probe follows the heartbeat, so its
// acknowledgement follows the reply.
func (c *Core) requestChangesMissed(now time.Time) {
	c.agent.resumedAt, c.agent.resumeProbes = now, map[uint64]bool{}
	c.heartbeatAll(now)
	for _, w := range c.sortedWatchers() {
		if m := c.table.get(w.addr); m != nil {
			seq := c.nextProbeSeq()
			c.agent.resumeProbes[seq] = true
			c.sendPing(seq, m.Control, &m.Record)
		}
	}
}

// Restarted reports whether an entry knew a former process of this agent that ran until
// shortly before. It is false until an entry has answered.
func (c *Core) Restarted() bool { return c.agent.restarted }

// AwaitingEntry reports whether this agent was paused and no entry has confirmed since
// what it believes.
func (c *Core) AwaitingEntry(now time.Time) bool {
	return len(c.agent.resumeProbes) > 0 && now.Sub(c.agent.resumedAt) < resumeConfirmTimeout
}

// resetWatcherSeqs makes all watchers send everything in scope again.
func (a *agentState) resetWatcherSeqs() {
	for _, w := range a.watchers {
		w.lastSeq = 0
	}
}

func (c *Core) tickAgent(now time.Time) {
	if len(c.table.entries) == 0 && len(c.seeds) > 0 {
		c.pingSeeds()
		c.agent.nextHeartbeat = now
		return
	}
	if now.Before(c.agent.nextHeartbeat) {
		return
	}
	c.agent.nextHeartbeat = c.agent.nextHeartbeat.Add(c.timing.Heartbeat)
	if c.agent.nextHeartbeat.Before(now) {
		c.agent.nextHeartbeat = now.Add(c.timing.Heartbeat)
	}
	c.dropFailedWatchers(now)
	c.chooseWatchers(now)
	if len(c.agent.watchers) == 0 {
		// All known entries failed, for example because this agent was
		// partitioned or had no keys. None is preferable, so all are retried.
		clear(c.agent.failedUntil)
		c.chooseWatchers(now)
	}
	c.heartbeatAll(now)
	c.agent.heartbeatCount++
	if c.agent.heartbeatCount%entryProbeHeartbeats == 0 {
		c.probeKnownEntry()
	}
}

// pingSeeds pings the seeds; their acknowledgements contain the records through
// which a process without entries joins them.
func (c *Core) pingSeeds() {
	for _, s := range c.seeds {
		if s == c.self.Control {
			continue
		}
		c.sendPing(c.nextProbeSeq(), s, nil)
	}
}

// probeKnownEntry probes one of the known entries, so that the agent drops
// entries that no longer exist. Those with unanswered probes come first.
func (c *Core) probeKnownEntry() {
	m := c.nextEntryToProbe()
	if m == nil {
		return
	}
	if c.agent.missedProbes[m.Addr] >= maxMissedEntryProbes {
		delete(c.agent.missedProbes, m.Addr)
		c.table.drop(m)
		c.out.MembersChanged = true
		return
	}
	c.agent.missedProbes[m.Addr]++
	c.sendPing(c.nextProbeSeq(), m.Control, &m.Record)
}

func (c *Core) nextEntryToProbe() *member {
	for _, addr := range sortedAddrs(c.agent.missedProbes) {
		if m := c.table.get(addr); m != nil {
			return m
		}
		delete(c.agent.missedProbes, addr)
	}
	next := nextByAddr(c.table.entries, c.agent.lastProbed)
	if next != nil {
		c.agent.lastProbed = next.Addr
	}
	return next
}

func (c *Core) dropFailedWatchers(now time.Time) {
	limit := maxMissedReplies * c.timing.Heartbeat
	for addr, w := range c.agent.watchers {
		m := c.table.get(addr)
		departed := m == nil || m.State.Final()
		if !departed && now.Sub(w.lastReply) < limit {
			continue
		}
		delete(c.agent.watchers, addr)
		c.agent.failedUntil[addr] = now.Add(failedWatcherHeartbeats * c.timing.Heartbeat)
	}
	for addr, until := range c.agent.failedUntil {
		if now.After(until) {
			delete(c.agent.failedUntil, addr)
		}
	}
}

// chooseWatchers fills the set of watchers: entries of the own region first,
// in different zones where possible, ordered by a rendezvous hash.
func (c *Core) chooseWatchers(now time.Time) {
	missing := watchersPerAgent - len(c.agent.watchers)
	if missing <= 0 {
		return
	}
	zones := map[uint8]bool{}
	for addr := range c.agent.watchers {
		if m := c.table.get(addr); m != nil {
			zones[m.Zone] = true
		}
	}
	ranked := c.rankedEntries()
	for pass := range 2 {
		for _, m := range ranked {
			repeated := pass == 0 && zones[m.Zone]
			if missing == 0 || repeated || !c.canBeWatcher(m) {
				continue
			}
			c.agent.watchers[m.Addr] = &watcher{addr: m.Addr, lastReply: now}
			zones[m.Zone] = true
			missing--
		}
	}
}

func (c *Core) canBeWatcher(m *member) bool {
	_, failed := c.agent.failedUntil[m.Addr]
	return !failed && c.agent.watchers[m.Addr] == nil && m.State != StateDraining
}

func (c *Core) rankedEntries() []*member {
	region := c.regionOf(c.self.Zone)
	ranked := slices.Clone(c.table.entries)
	slices.SortFunc(ranked, func(x, y *member) int {
		near := cmp.Compare(boolInt(c.regionOf(y.Zone) == region), boolInt(c.regionOf(x.Zone) == region))
		return cmp.Or(near, cmp.Compare(rendezvous(c.self.Addr, y.Addr), rendezvous(c.self.Addr, x.Addr)))
	})
	return ranked
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// rendezvous returns the rendezvous hash of a pair of addresses.
func rendezvous(subject, candidate netip.AddrPort) uint64 {
	x, y := subject.Addr().As4(), candidate.Addr().As4()
	b := [12]byte{
		x[0], x[1], x[2], x[3], byte(subject.Port() >> 8), byte(subject.Port()),
		y[0], y[1], y[2], y[3], byte(candidate.Port() >> 8), byte(candidate.Port()),
	}
	return xxhash.Sum64(b[:])
}

// sortedWatchers returns the watchers in the order of their addresses.
func (c *Core) sortedWatchers() []*watcher {
	out := make([]*watcher, 0, len(c.agent.watchers))
	for _, w := range c.agent.watchers {
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y *watcher) int { return x.addr.Compare(y.addr) })
	return out
}

func (c *Core) heartbeatAll(now time.Time) {
	peer, zonesOut := c.peerToCheck(), c.knownZonesOut()
	for _, w := range c.sortedWatchers() {
		if m := c.table.get(w.addr); m != nil {
			c.heartbeat(w, m, peer, zonesOut)
		}
	}
}

func (c *Core) heartbeat(w *watcher, m *member, peer *Record, zonesOut []ObjectRef) {
	records := []Record{c.self}
	if peer != nil {
		records = append(records, *peer)
	}
	c.send(m.Control, &Message{
		Kind:         KindHeartbeat,
		Records:      records,
		Epoch:        w.epoch,
		Seq:          w.lastSeq,
		ServiceName:  c.agent.serviceName,
		ObjectRefs:   zonesOut,
		WantsEntries: len(c.table.entries) < minKnownEntries && c.agent.heartbeatCount%entryRequestHeartbeats == 0,
	})
}

// peerToCheck returns the known record of one peer every peerCheckHeartbeats
// heartbeats, in the order of their addresses, and nil otherwise. Watchers whose
// own record differs verify it: the entry that reported the peer may have
// stopped before its information reached others.
func (c *Core) peerToCheck() *Record {
	if c.agent.heartbeatCount%peerCheckHeartbeats != 0 {
		return nil
	}
	peers := slices.Concat(c.table.agents, c.table.dead)
	m := nextByAddr(peers, c.agent.lastCheckedPeer)
	if m == nil {
		return nil
	}
	c.agent.lastCheckedPeer = m.Addr
	return &m.Record
}

// nextByAddr returns the member with the next higher address than a, or the one
// with the lowest.
func nextByAddr(list []*member, a netip.AddrPort) *member {
	var first, next *member
	for _, m := range list {
		if first == nil || m.Addr.Compare(first.Addr) < 0 {
			first = m
		}
		after := a.Compare(m.Addr) < 0
		if after && (next == nil || m.Addr.Compare(next.Addr) < 0) {
			next = m
		}
	}
	if next == nil {
		return first
	}
	return next
}

// receiveReply records that a watcher replied, and the sequence number up to
// which the agent has received its changes.
func (c *Core) receiveReply(now time.Time, m *Message) {
	w := c.agent.watchers[m.From]
	if w == nil {
		return
	}
	w.lastReply = now
	c.agent.restarted = c.agent.restarted || m.Restarted
	if w.epoch != m.Epoch {
		w.epoch, w.lastSeq = m.Epoch, 0
	}
	w.lastSeq = max(w.lastSeq, m.Seq)
}
