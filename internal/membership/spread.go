package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of gossip.
const (
	spreadFanout    = 3    // peers per round
	spreadRounds    = 3    // rounds per rumor
	startupRounds   = 5    // the same in the startup phase
	pushFanout      = 4    // peers to which a new object is sent at once
	roundDatagrams  = 2    // datagrams to each peer per round
	longQueueRumors = 100  // queue length above which a rumor is sent in one round only; repair does the rest
	bodyBudget      = 1080 // bytes of records and objects in a datagram
	recordSize      = 80   // upper bound of an encoded record in bytes
	objectOverhead  = 48
	maxInlineObject = 900
)

// rumor is a record or an object that is being spread by gossip.
type rumor struct {
	addr   netip.AddrPort // of the record; invalid for an object
	object config.ID
	rounds int // remaining; negative when packed in this round
}

// spreadState is the queue of rumors, oldest first.
type spreadState struct {
	nextRound time.Time
	queue     []*rumor
	records   map[netip.AddrPort]*rumor
	objects   map[config.ID]*rumor
}

// roundsPerRumor returns the number of rounds for a new rumor. It is higher in
// the startup phase, so that rumors reach processes that start slightly later.
func (c *Core) roundsPerRumor() int {
	if c.inStartupPhase(c.lastTick) {
		return startupRounds
	}
	return spreadRounds
}

func (c *Core) spreadRecord(r *Record) {
	if known := c.spread.records[r.Addr]; known != nil {
		known.rounds = c.roundsPerRumor()
		return
	}
	n := &rumor{addr: r.Addr, rounds: c.roundsPerRumor()}
	c.spread.records[r.Addr] = n
	c.spread.queue = append(c.spread.queue, n)
}

// pushObject sends a new object at once to some entries and to the watched
// agents that need it, and queues it for the next rounds.
func (c *Core) pushObject(o *object) {
	for _, peer := range c.randomEntries(pushFanout, netip.AddrPort{}) {
		c.send(peer.Control, c.objectMessage(&o.latest))
	}
	for _, addr := range sortedAddrs(c.entry.watched) {
		if m := c.table.get(addr); m != nil && c.inScope(o, m.Service, c.entry.watched[addr].serviceName) {
			c.send(m.Control, c.objectMessage(&o.latest))
		}
	}
	id := o.latest.ID()
	if known := c.spread.objects[id]; known != nil {
		known.rounds = c.roundsPerRumor() - 1
		return
	}
	n := &rumor{object: id, rounds: c.roundsPerRumor() - 1}
	c.spread.objects[id] = n
	c.spread.queue = append(c.spread.queue, n)
}

func (c *Core) objectMessage(o *config.Object) *Message {
	m := &Message{Kind: KindPush}
	newPacker(m).object(o)
	return m
}

// sendRumors sends one round of rumors to a few random entries.
func (c *Core) sendRumors(now time.Time) {
	if len(c.spread.queue) == 0 || now.Before(c.spread.nextRound) && c.self.State != StateLeft {
		return
	}
	c.spread.nextRound = now.Add(c.Period(now))
	peers := c.randomEntries(spreadFanout, netip.AddrPort{})
	if len(peers) == 0 {
		return
	}
	for range roundDatagrams {
		m := c.packRumors()
		if m == nil {
			break
		}
		for _, peer := range peers {
			copied := *m
			c.send(peer.Control, &copied)
		}
	}
	c.endRound()
}

// packRumors fills one message from the front of the queue. It returns nil when
// no rumor is left for this round.
func (c *Core) packRumors() *Message {
	m := &Message{Kind: KindPush}
	p := newPacker(m)
	for _, n := range c.spread.queue {
		if n.rounds <= 0 || n.packedThisRound() {
			continue
		}
		if !c.packRumor(p, n) {
			break
		}
		n.rounds = -n.rounds // packed in this round
	}
	if p.empty() {
		return nil
	}
	return m
}

func (n *rumor) packedThisRound() bool { return n.rounds < 0 }

func (c *Core) packRumor(p *packer, n *rumor) bool {
	if !n.addr.IsValid() {
		return p.object(&c.objects.get(n.object).latest)
	}
	if n.addr == c.self.Addr {
		return p.record(&c.self)
	}
	m := c.table.get(n.addr)
	if m != nil && isFailure(m.State) {
		return p.failureReport(&m.Record)
	}
	return m == nil || p.record(&m.Record)
}

// endRound counts the round of the packed rumors, moves them behind the others
// and removes those without remaining rounds.
func (c *Core) endRound() {
	var notSent, again []*rumor
	for _, n := range c.spread.queue {
		if !n.packedThisRound() {
			notSent = append(notSent, n)
			continue
		}
		n.rounds = -n.rounds - 1
		if n.rounds > 0 && len(c.spread.queue) <= longQueueRumors {
			again = append(again, n)
			continue
		}
		if n.addr.IsValid() {
			delete(c.spread.records, n.addr)
		} else {
			delete(c.spread.objects, n.object)
		}
	}
	c.spread.queue = append(notSent, again...)
}

// randomEntries returns up to n different live entries other than except.
func (c *Core) randomEntries(n int, except netip.AddrPort) []*member {
	list := c.table.entries
	var out []*member
	if len(list) <= n+1 {
		for _, m := range list {
			if m.Addr != except && len(out) < n {
				out = append(out, m)
			}
		}
		return out
	}
	taken := map[int]bool{}
	for len(out) < n && len(taken) < len(list) {
		i := c.rand.IntN(len(list))
		if taken[i] {
			continue
		}
		taken[i] = true
		if list[i].Addr != except {
			out = append(out, list[i])
		}
	}
	return out
}

// packer fills a message up to the size limit of a datagram.
type packer struct {
	m    *Message
	left int // bytes
}

func newPacker(m *Message) *packer { return &packer{m: m, left: bodyBudget} }

func (p *packer) empty() bool {
	return len(p.m.Records) == 0 && len(p.m.Objects) == 0 && len(p.m.ObjectRefs) == 0 && len(p.m.FailureReports) == 0
}

func (p *packer) failureReport(r *Record) bool {
	if p.left < failureReportSize {
		return false
	}
	p.left -= failureReportSize
	p.m.FailureReports = appendFailureReport(p.m.FailureReports, r)
	return true
}

func (p *packer) record(r *Record) bool {
	if p.left < recordSize {
		return false
	}
	p.left -= recordSize
	p.m.Records = append(p.m.Records, *r)
	return true
}

// object adds the object, or a reference to it when it is too large for a
// datagram.
func (p *packer) object(o *config.Object) bool {
	size := len(o.Kind) + len(o.Name) + objectOverhead
	inline := len(o.Value) <= maxInlineObject
	if inline {
		size += len(o.Value)
	}
	if p.left < size {
		return false
	}
	p.left -= size
	if inline {
		p.m.Objects = append(p.m.Objects, *o)
	} else {
		p.m.ObjectRefs = append(p.m.ObjectRefs, refOf(o))
	}
	return true
}
