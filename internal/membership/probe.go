package membership

import (
	"net/netip"
	"time"
)

// Bounds of probing.
const (
	indirectProbes  = 3
	verdictWindow   = 32 // last probe results that tell whether this process itself is cut off
	deadBurst       = 50 // dead declarations at once
	deadPerSecond   = 10.0
	deadWhenCutOff  = 0.5 // dead declarations a second while most probes fail
	revisitsPerTurn = 1
)

// probe is one outstanding ping.
type probe struct {
	target   netip.AddrPort // data address; invalid for a ping on behalf of another
	control  netip.AddrPort
	deadline time.Time
	indirect bool
	origin   netip.AddrPort // control address of the entry that asked, if any
	original uint64         // its probe number
}

// probeState is what an entry knows of its own probes.
type probeState struct {
	next     time.Time
	revisit  time.Time
	seq      uint64
	pending  map[uint64]*probe
	cursor   [2]int // position in the lists of entries and agents
	results  [verdictWindow]bool
	recorded int
	failures int
	tokens   float64
	filled   time.Time
}

// checkHeartbeats probes the agents whose heartbeats are missing.
func (c *Core) checkHeartbeats(now time.Time) {
	for _, addr := range sortedAddrs(c.entry.watched) {
		if now.Sub(c.entry.watched[addr].heard) < c.timing.HeartbeatDue {
			continue
		}
		delete(c.entry.watched, addr)
		if m := c.table.get(addr); m != nil && !m.State.Final() {
			c.ping(now, m)
		}
	}
}

func (c *Core) tickProbes(now time.Time) {
	c.expireProbes(now)
	if !now.Before(c.probes.next) {
		c.probes.next = now.Add(c.timing.Probe)
		c.probeNext(now, RoleEntry)
		c.probeNext(now, RoleAgent)
	}
	if !now.Before(c.probes.revisit) {
		c.probes.revisit = now.Add(c.timing.Revisit)
		c.revisitDead(now)
	}
}

// probeNext pings the next member of a role; each turn through the list is in
// a new order because the list is shuffled as it is walked.
func (c *Core) probeNext(now time.Time, role Role) {
	list := *c.table.listOf(role)
	if len(list) == 0 {
		return
	}
	cursor := &c.probes.cursor[role-RoleEntry]
	if *cursor >= len(list) {
		*cursor = 0
	}
	i := *cursor
	j := i + c.rand.IntN(len(list)-i)
	list[i], list[j] = list[j], list[i]
	list[i].live, list[j].live = i, j
	*cursor++
	c.ping(now, list[i])
}

// revisitDead pings one member that was declared dead, so that both sides of a
// healed partition meet again.
func (c *Core) revisitDead(now time.Time) {
	bucket := c.table.buckets[c.rand.IntN(Buckets)]
	var best *member
	for _, m := range bucket {
		if m.State == StateDead && (best == nil || m.Addr.Compare(best.Addr) < 0) {
			best = m
		}
	}
	if best != nil {
		c.sendPing(c.nextProbe(), best.Control, &best.Record)
	}
}

func (c *Core) nextProbe() uint64 {
	c.probes.seq++
	return c.probes.seq
}

func (c *Core) ping(now time.Time, m *member) {
	seq := c.nextProbe()
	c.probes.pending[seq] = &probe{target: m.Addr, control: m.Control, deadline: now.Add(c.timing.ProbeWait)}
	c.sendPing(seq, m.Control, &m.Record)
}

// sendPing sends a ping; a target that is suspect or final here is told so,
// which lets it refute.
func (c *Core) sendPing(seq uint64, control netip.AddrPort, view *Record) {
	m := &Message{Kind: KindPing, Seq: seq, Config: c.objects.sum}
	if view != nil && view.State >= StateSuspect {
		m.Records = []Record{*view}
	}
	c.send(control, m)
}

func (c *Core) receivePing(now time.Time, m *Message) {
	for i := range m.Records {
		if m.Records[i].Addr == c.self.Addr {
			c.refute(now, &m.Records[i])
		}
	}
	c.send(m.Control, &Message{Kind: KindAck, Seq: m.Seq, Config: c.objects.sum, Records: []Record{c.self}})
	c.compareConfig(now, m)
}

func (c *Core) receiveAck(now time.Time, m *Message) {
	p := c.probes.pending[m.Seq]
	if p == nil {
		return
	}
	delete(c.probes.pending, m.Seq)
	if p.origin.IsValid() {
		c.send(p.origin, &Message{Kind: KindAck, Seq: p.original, Records: m.Records})
		return
	}
	c.recordProbe(true)
	if m.From == p.target {
		c.compareConfig(now, m)
	}
}

func (c *Core) receivePingRequest(now time.Time, m *Message) {
	if !m.Target.IsValid() {
		return
	}
	seq := c.nextProbe()
	c.probes.pending[seq] = &probe{
		control: m.Target, deadline: now.Add(c.timing.ProbeWait),
		origin: m.Control, original: m.Seq,
	}
	c.sendPing(seq, m.Target, nil)
}

// expireProbes asks others to probe the targets that did not answer, and
// suspects those that did not answer them either.
func (c *Core) expireProbes(now time.Time) {
	for _, seq := range sortedKeys(c.probes.pending) {
		p := c.probes.pending[seq]
		if now.Before(p.deadline) {
			continue
		}
		if p.origin.IsValid() || p.indirect {
			delete(c.probes.pending, seq)
			c.failProbe(now, p)
			continue
		}
		p.indirect = true
		p.deadline = now.Add(c.timing.ProbeWait)
		for _, helper := range c.randomEntries(indirectProbes, p.target) {
			c.send(helper.Control, &Message{Kind: KindPingRequest, Seq: seq, Target: p.control})
		}
	}
}

func (c *Core) failProbe(now time.Time, p *probe) {
	if p.origin.IsValid() {
		return
	}
	c.recordProbe(false)
	m := c.table.get(p.target)
	if m == nil || m.State >= StateSuspect {
		return
	}
	suspected := m.Record
	suspected.State = StateSuspect
	c.mergeRecord(now, &suspected, CauseNoAnswer)
}

func (c *Core) recordProbe(ok bool) {
	i := c.probes.recorded % verdictWindow
	if c.probes.recorded >= verdictWindow && !c.probes.results[i] {
		c.probes.failures--
	}
	c.probes.results[i] = ok
	c.probes.recorded++
	if !ok {
		c.probes.failures++
	}
}

// cutOff reports whether most of the own probes failed lately, so that this
// process itself is more likely to be cut off than all the others to be dead.
func (c *Core) cutOff() bool {
	return 2*c.probes.failures > min(c.probes.recorded, verdictWindow)
}

// checkSuspects declares dead the members whose suspicion was not refuted in
// time. The rate is bounded, and low while this process may be cut off.
func (c *Core) checkSuspects(now time.Time) {
	if len(c.table.suspects) == 0 {
		return
	}
	c.fillTokens(now)
	for _, addr := range sortedAddrs(c.table.suspects) {
		m := c.table.suspects[addr]
		if now.Sub(m.changedAt) < c.timing.Suspicion {
			continue
		}
		if c.probes.tokens < 1 {
			return
		}
		c.probes.tokens--
		dead := m.Record
		dead.State = StateDead
		c.mergeRecord(now, &dead, CauseSuspicion)
	}
}

func (c *Core) fillTokens(now time.Time) {
	rate, burst := deadPerSecond, float64(deadBurst)
	if c.cutOff() {
		rate, burst = deadWhenCutOff, 1
	}
	elapsed := now.Sub(c.probes.filled).Seconds()
	if c.probes.filled.IsZero() {
		elapsed = burst / rate
	}
	c.probes.tokens = min(burst, c.probes.tokens+elapsed*rate)
	c.probes.filled = now
}
