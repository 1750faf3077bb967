package membership

import (
	"net/netip"
	"time"
)

// Bounds of probing.
const (
	indirectProbes       = 3
	maxUnverified        = 256
	verificationsPerTick = 4
)

// probe is a ping whose acknowledgement is pending.
type probe struct {
	target       netip.AddrPort // data address; invalid for a ping on behalf of another entry
	control      netip.AddrPort
	deadline     time.Time
	indirect     bool
	requester    netip.AddrPort // control address of the entry that asked, if any
	requesterSeq uint64         // the requester's probe number
}

// probeState is the state of an entry's own probes and of its suspicions.
type probeState struct {
	nextProbe          time.Time
	nextDeadProbe      time.Time
	seq                uint64
	pending            map[uint64]*probe
	cursor             [2]int // position in the lists of entries and agents
	results            [probeResultWindow]bool
	recorded           int
	failures           int
	lastSuspectCheck   time.Time // time of the last checkSuspects
	massSuspicionUntil time.Time // until then the rate of dead declarations is limited
	unverified         []Record  // reports from others that must be verified
}

// checkHeartbeats probes the agents whose heartbeats timed out.
func (c *Core) checkHeartbeats(now time.Time) {
	for _, addr := range sortedAddrs(c.entry.watched) {
		if now.Sub(c.entry.watched[addr].lastHeartbeat) < c.timing.HeartbeatTimeout {
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
	c.verifyReports(now)
	if !now.Before(c.probes.nextProbe) {
		c.probes.nextProbe = now.Add(c.timing.Probe)
		c.probeNext(now, RoleEntry)
		c.probeNext(now, RoleAgent)
	}
	if !now.Before(c.probes.nextDeadProbe) {
		c.probes.nextDeadProbe = now.Add(c.timing.DeadProbe)
		c.probeDead()
	}
}

// probeNext pings the next member of a role. The list is shuffled during the
// iteration, so each pass has a new order.
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
	list[i].listIndex, list[j].listIndex = i, j
	*cursor++
	c.ping(now, list[i])
}

// probeDead pings one member that was declared dead, so that both sides of a
// healed partition find each other again.
func (c *Core) probeDead() {
	if len(c.table.dead) == 0 {
		return
	}
	m := c.table.dead[c.rand.IntN(len(c.table.dead))]
	c.sendPing(c.nextProbeSeq(), m.Control, &m.Record)
}

// queueVerification queues a report that a live member is suspect or dead. Such
// a report may be outdated, so it is verified before it is applied.
func (c *Core) queueVerification(r *Record) {
	if len(c.probes.unverified) < maxUnverified {
		c.probes.unverified = append(c.probes.unverified, *r)
	}
}

// verifyReports pings the subjects of some queued reports; the ping contains the
// report, so that they can refute it.
func (c *Core) verifyReports(now time.Time) {
	for range verificationsPerTick {
		if len(c.probes.unverified) == 0 {
			return
		}
		r := c.probes.unverified[0]
		c.probes.unverified = c.probes.unverified[1:]
		m := c.table.get(r.Addr)
		if m == nil || !r.Supersedes(&m.Record) {
			continue
		}
		seq := c.nextProbeSeq()
		c.probes.pending[seq] = &probe{target: m.Addr, control: m.Control, deadline: now.Add(c.timing.ProbeTimeout)}
		c.sendPing(seq, m.Control, &r)
	}
}

func (c *Core) nextProbeSeq() uint64 {
	c.probes.seq++
	return c.probes.seq
}

func (c *Core) ping(now time.Time, m *member) {
	seq := c.nextProbeSeq()
	c.probes.pending[seq] = &probe{target: m.Addr, control: m.Control, deadline: now.Add(c.timing.ProbeTimeout)}
	c.sendPing(seq, m.Control, &m.Record)
}

// sendPing sends a ping. It contains the target's record when that is suspect or
// final here, so that the target can refute it.
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
	delete(c.agent.missedProbes, m.From)
	if c.agent.resumeProbes[m.Seq] {
		c.agent.resumeProbes = nil
	}
	p := c.probes.pending[m.Seq]
	if p == nil {
		return
	}
	delete(c.probes.pending, m.Seq)
	if p.requester.IsValid() {
		c.send(p.requester, &Message{Kind: KindAck, Seq: p.requesterSeq, Records: m.Records})
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
	seq := c.nextProbeSeq()
	c.probes.pending[seq] = &probe{
		control: m.Target, deadline: now.Add(c.timing.ProbeTimeout),
		requester: m.Control, requesterSeq: m.Seq,
	}
	c.sendPing(seq, m.Target, nil)
}

// expireProbes requests indirect probes of targets that did not answer, and fails
// the probes whose targets did not answer those either.
func (c *Core) expireProbes(now time.Time) {
	for _, seq := range sortedKeys(c.probes.pending) {
		p := c.probes.pending[seq]
		if now.Before(p.deadline) {
			continue
		}
		if p.requester.IsValid() || p.indirect {
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
	if p.requester.IsValid() {
		return
	}
	c.recordProbe(false)
	m := c.table.get(p.target)
	if m != nil && m.State == StateSuspect && now.Before(m.finalProbeUntil) {
		c.declareDead(now, m)
		return
	}
	if m == nil || m.State >= StateSuspect {
		return
	}
	suspected := m.Record
	suspected.State = StateSuspect
	c.store(now, &suspected, m.State, CauseNoAnswer)
	if !c.likelyPartitioned() {
		c.spreadRecord(&suspected)
	}
}
