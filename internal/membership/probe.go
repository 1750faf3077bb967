package membership

import (
	"net/netip"
	"time"
)

// Bounds of probing.
const (
	indirectProbes = 3
	verifyQueue    = 256
	verifyPerRound = 4
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
	checked  time.Time // last check of the suspects
	massEnds time.Time // until then few suspects are declared dead
	doubted  []Record  // reports of others that are to be verified
}

// checkHeartbeats probes the agents whose heartbeats are missing.
func (c *Core) checkHeartbeats(now time.Time) {
	for _, addr := range sortedAddrs(c.entry.watched) {
		if now.Sub(c.entry.watched[addr].heard) < c.timing.HeartbeatTimeout {
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
	c.verifyDoubted(now)
	if !now.Before(c.probes.next) {
		c.probes.next = now.Add(c.timing.Probe)
		c.probeNext(now, RoleEntry)
		c.probeNext(now, RoleAgent)
	}
	if !now.Before(c.probes.revisit) {
		c.probes.revisit = now.Add(c.timing.DeadProbe)
		c.revisitDead()
	}
}

// probeNext pings the next member of a role; each turn through the list is in
// a new order because the list is shuffled as it is walked.
func (c *Core) probeNext(now time.Time, role Role) {
	list := c.table.entries
	if role == RoleAgent {
		list = c.table.agents
	}
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
	list[i].position, list[j].position = i, j
	*cursor++
	c.ping(now, list[i])
}

// revisitDead pings one member that was declared dead, so that both sides of a
// healed partition meet again.
func (c *Core) revisitDead() {
	if len(c.table.dead) == 0 {
		return
	}
	m := c.table.dead[c.rand.IntN(len(c.table.dead))]
	c.sendPing(c.nextProbe(), m.Control, &m.Record)
}

// doubt queues a report that a live member is suspect or dead. Such a report
// from a repair may be old, so it is verified and not believed.
func (c *Core) doubt(r *Record) {
	if len(c.probes.doubted) < verifyQueue {
		c.probes.doubted = append(c.probes.doubted, *r)
	}
}

// verifyDoubted pings some of the doubted members; the ping carries the report,
// so that they can refute it.
func (c *Core) verifyDoubted(now time.Time) {
	for range verifyPerRound {
		if len(c.probes.doubted) == 0 {
			return
		}
		r := c.probes.doubted[0]
		c.probes.doubted = c.probes.doubted[1:]
		m := c.table.get(r.Addr)
		if m == nil || !r.Supersedes(&m.Record) {
			continue
		}
		seq := c.nextProbe()
		c.probes.pending[seq] = &probe{target: m.Addr, control: m.Control, deadline: now.Add(c.timing.ProbeTimeout)}
		c.sendPing(seq, m.Control, &r)
	}
}

func (c *Core) nextProbe() uint64 {
	c.probes.seq++
	return c.probes.seq
}

func (c *Core) ping(now time.Time, m *member) {
	seq := c.nextProbe()
	c.probes.pending[seq] = &probe{target: m.Addr, control: m.Control, deadline: now.Add(c.timing.ProbeTimeout)}
	c.sendPing(seq, m.Control, &m.Record)
}

// sendPing sends a ping; a target that is suspect or final here is told so,
// which lets it refute.
func (c *Core) sendPing(seq uint64, control netip.AddrPort, view *Record) {
	m := &Message{Kind: KindPing, Seq: seq, ConfigHash: c.objects.sum}
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
	c.send(m.Control, &Message{Kind: KindAck, Seq: m.Seq, ConfigHash: c.objects.sum, Records: []Record{c.self}})
	c.compareConfig(now, m)
}

func (c *Core) receiveAck(now time.Time, m *Message) {
	delete(c.agent.missed, m.From)
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
		control: m.Target, deadline: now.Add(c.timing.ProbeTimeout),
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
		p.deadline = now.Add(c.timing.ProbeTimeout)
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
	if m != nil && m.State == StateSuspect && now.Before(m.judged) {
		c.declareDead(now, m)
		return
	}
	if m == nil || m.State >= StateSuspect {
		return
	}
	suspected := m.Record
	suspected.State = StateSuspect
	c.keep(now, &suspected, m.State, CauseNoAnswer)
	if !c.cutOff() {
		c.spreadRecord(&suspected)
	}
}
