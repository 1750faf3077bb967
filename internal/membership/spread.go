package membership

import (
	"net/netip"
	"time"

	"crocusnotch/internal/config"
)

// Bounds of spreading.
const (
	spreadFanout    = 3   // peers for each round
	spreadRounds    = 3   // rounds for each rumor
	startRounds     = 5   // the same while this process is starting
	pushFanout      = 4   // peers for an object at its first arrival
	roundDatagrams  = 2   // datagrams to each peer for each round
	longQueue       = 100 // rumors above which each is spread in one round; repair does the rest
	bodyBudget      = 1080
	recordSize      = 80 // upper bound of an encoded record in bytes
	objectOverhead  = 48
	maxInlineObject = 900
)

// rumor is a record or an object that is still being spread.
type rumor struct {
	addr   netip.AddrPort // of the record; invalid for an object
	object config.ID
	rounds int
}

// spreadState is the queue of rumors, oldest first.
type spreadState struct {
	next    time.Time
	queue   []*rumor
	records map[netip.AddrPort]*rumor
	objects map[config.ID]*rumor
}

// rounds returns the rounds of a new rumor. While processes meet each other
// there are more, so that they reach those that start a moment later.
func (c *Core) rounds() int {
	if c.starting(c.lastTick) {
		return startRounds
	}
	return spreadRounds
}

func (c *Core) spreadRecord(r *Record) {
	if known := c.spread.records[r.Addr]; known != nil {
		known.rounds = c.rounds()
		return
	}
	n := &rumor{addr: r.Addr, rounds: c.rounds()}
	c.spread.records[r.Addr] = n
	c.spread.queue = append(c.spread.queue, n)
}

// pushObject sends a new object at once to some peers and to the watched
// agents that need it, and spreads it further in the next rounds.
func (c *Core) pushObject(o *object) {
	for _, peer := range c.randomEntries(pushFanout, netip.AddrPort{}) {
		c.send(peer.Control, c.objectMessage(&o.latest))
	}
	for _, addr := range sortedAddrs(c.entry.watched) {
		if m := c.table.get(addr); m != nil && c.inScope(o, m.Service, c.entry.watched[addr].follow) {
			c.send(m.Control, c.objectMessage(&o.latest))
		}
	}
	id := o.latest.ID()
	if known := c.spread.objects[id]; known != nil {
		known.rounds = c.rounds() - 1
		return
	}
	n := &rumor{object: id, rounds: c.rounds() - 1}
	c.spread.objects[id] = n
	c.spread.queue = append(c.spread.queue, n)
}

func (c *Core) objectMessage(o *config.Object) *Message {
	m := &Message{Kind: KindPush}
	newPacker(m).object(o)
	return m
}

// flushRumors sends one round of rumors to some random entries.
func (c *Core) flushRumors(now time.Time) {
	if len(c.spread.queue) == 0 || now.Before(c.spread.next) && c.self.State != StateLeft {
		return
	}
	c.spread.next = now.Add(c.Period(now))
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
	c.requeue()
}

// packRumors fills one message from the front of the queue; nil when no rumor
// is left for this round.
func (c *Core) packRumors() *Message {
	m := &Message{Kind: KindPush}
	p := newPacker(m)
	for _, n := range c.spread.queue {
		if n.rounds <= 0 || n.packed() {
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

func (n *rumor) packed() bool { return n.rounds < 0 }

func (c *Core) packRumor(p *packer, n *rumor) bool {
	if !n.addr.IsValid() {
		return p.object(&c.objects.get(n.object).latest)
	}
	if n.addr == c.self.Addr {
		return p.record(&c.self)
	}
	m := c.table.get(n.addr)
	if m != nil && isVerdict(m.State) {
		return p.verdict(&m.Record)
	}
	return m == nil || p.record(&m.Record)
}

// requeue counts the round of the packed rumors, puts them behind the others
// and drops those that are done.
func (c *Core) requeue() {
	var waiting, sent []*rumor
	for _, n := range c.spread.queue {
		if !n.packed() {
			waiting = append(waiting, n)
			continue
		}
		n.rounds = -n.rounds - 1
		if n.rounds > 0 && len(c.spread.queue) <= longQueue {
			sent = append(sent, n)
			continue
		}
		if n.addr.IsValid() {
			delete(c.spread.records, n.addr)
		} else {
			delete(c.spread.objects, n.object)
		}
	}
	c.spread.queue = append(waiting, sent...)
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

// packer fills a message up to the size of a datagram.
type packer struct {
	m    *Message
	left int // bytes
}

func newPacker(m *Message) *packer { return &packer{m: m, left: bodyBudget} }

func (p *packer) empty() bool {
	return len(p.m.Records) == 0 && len(p.m.Objects) == 0 && len(p.m.ObjectRefs) == 0 && len(p.m.FailureReports) == 0
}

func (p *packer) verdict(r *Record) bool {
	if p.left < verdictSize {
		return false
	}
	p.left -= verdictSize
	p.m.FailureReports = appendVerdict(p.m.FailureReports, r)
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

// object adds the object, or a stub of it when it is too large for a datagram.
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
		p.m.ObjectRefs = append(p.m.ObjectRefs, ObjectRef{Kind: o.Kind, Name: o.Name, Revision: o.Revision})
	}
	return true
}
