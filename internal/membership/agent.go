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
	watchersPerAgent = 3
	maxKnownEntries  = 16
	fewEntries       = 8
	needyPeriods     = 8 // heartbeats for each request for more entries
	missedReplies    = 3 // unanswered heartbeats after which a watcher is replaced
	failedPeriods    = 30
	confirmPeriods   = 4 // heartbeats for each peer that is shown to the watchers
	auditPeriods     = 2 // heartbeats for each probe of a known entry
	auditMisses      = 2 // unanswered probes after which an entry is forgotten
)

// watcher is an entry that watches this agent.
type watcher struct {
	addr    netip.AddrPort
	epoch   uint64 // incarnation of the entry that seen belongs to
	seen    uint64 // last change that the entry reported
	replied time.Time
}

// agentState is the part of the state that only agents have.
type agentState struct {
	follow    string
	next      time.Time // of the next heartbeat
	watchers  map[netip.AddrPort]*watcher
	failed    map[netip.AddrPort]time.Time // entries that did not answer, until when
	missed    map[netip.AddrPort]int       // unanswered probes of known entries
	audited   netip.AddrPort               // known entry that was probed last
	turn      int
	confirmed netip.AddrPort // peer that was shown last
}

// resync asks all watchers for everything in scope again.
func (a *agentState) resync() {
	for _, w := range a.watchers {
		w.seen = 0
	}
}

func (c *Core) tickAgent(now time.Time) {
	if len(c.table.entries) == 0 && len(c.seeds) > 0 {
		c.pingSeeds()
		c.agent.next = now
		return
	}
	if now.Before(c.agent.next) {
		return
	}
	c.agent.next = c.agent.next.Add(c.timing.Heartbeat)
	if c.agent.next.Before(now) {
		c.agent.next = now.Add(c.timing.Heartbeat)
	}
	c.dropFailedWatchers(now)
	c.chooseWatchers(now)
	if len(c.agent.watchers) == 0 {
		// All known entries failed, as when this agent itself was cut off or
		// had no keys. None is better than another, so all are tried again.
		clear(c.agent.failed)
		c.chooseWatchers(now)
	}
	c.heartbeatAll(now)
	c.agent.turn++
	if c.agent.turn%auditPeriods == 0 {
		c.auditEntry()
	}
}

// pingSeeds asks the seeds for their records, with which a process that knows no
// entry can meet them.
func (c *Core) pingSeeds() {
	for _, s := range c.seeds {
		if s == c.self.Control {
			continue
		}
		c.sendPing(c.nextProbe(), s, nil)
	}
}

// auditEntry probes one of the known entries, so that the agent does not keep
// entries that are gone. Those with unanswered probes come first.
func (c *Core) auditEntry() {
	m := c.nextAudit()
	if m == nil {
		return
	}
	if c.agent.missed[m.Addr] >= auditMisses {
		delete(c.agent.missed, m.Addr)
		c.table.drop(m)
		c.out.MembersChanged = true
		return
	}
	c.agent.missed[m.Addr]++
	c.sendPing(c.nextProbe(), m.Control, &m.Record)
}

func (c *Core) nextAudit() *member {
	for _, addr := range sortedAddrs(c.agent.missed) {
		if m := c.table.get(addr); m != nil {
			return m
		}
		delete(c.agent.missed, addr)
	}
	next := following(c.table.entries, c.agent.audited)
	if next != nil {
		c.agent.audited = next.Addr
	}
	return next
}

func (c *Core) dropFailedWatchers(now time.Time) {
	limit := missedReplies * c.timing.Heartbeat
	for addr, w := range c.agent.watchers {
		m := c.table.get(addr)
		gone := m == nil || m.State.Final()
		if !gone && now.Sub(w.replied) < limit {
			continue
		}
		delete(c.agent.watchers, addr)
		c.agent.failed[addr] = now.Add(failedPeriods * c.timing.Heartbeat)
	}
	for addr, until := range c.agent.failed {
		if now.After(until) {
			delete(c.agent.failed, addr)
		}
	}
}

// chooseWatchers fills the set of watchers: entries of the own region first,
// of different zones where possible, in the order of a rendezvous hash.
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
			if missing == 0 || repeated || !c.mayWatch(m) {
				continue
			}
			c.agent.watchers[m.Addr] = &watcher{addr: m.Addr, replied: now}
			zones[m.Zone] = true
			missing--
		}
	}
}

func (c *Core) mayWatch(m *member) bool {
	_, failed := c.agent.failed[m.Addr]
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

// rendezvous scores a pair of addresses.
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
	peer, zonesOut := c.peerToConfirm(), c.heldZonesOut()
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
		Seq:          w.seen,
		ServiceName:  c.agent.follow,
		ObjectRefs:   zonesOut,
		WantsEntries: len(c.table.entries) < fewEntries && c.agent.turn%needyPeriods == 0,
	})
}

// peerToConfirm returns now and then one of the peers as this agent sees it, in
// the order of their addresses. A watching entry that sees it otherwise
// verifies it: the entry that told of it may be gone with what it knew.
func (c *Core) peerToConfirm() *Record {
	if c.agent.turn%confirmPeriods != 0 {
		return nil
	}
	peers := slices.Concat(c.table.agents, c.table.dead)
	m := following(peers, c.agent.confirmed)
	if m == nil {
		return nil
	}
	c.agent.confirmed = m.Addr
	return &m.Record
}

// following returns the member with the next higher address, or the lowest.
func following(list []*member, a netip.AddrPort) *member {
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

// receiveReply takes what changed for this agent.
func (c *Core) receiveReply(now time.Time, m *Message) {
	w := c.agent.watchers[m.From]
	if w == nil {
		return
	}
	w.replied = now
	if w.epoch != m.Epoch {
		w.epoch, w.seen = m.Epoch, 0
	}
	w.seen = max(w.seen, m.Seq)
}
