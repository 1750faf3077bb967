package membership

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
)

const (
	simStep  = 100 * time.Millisecond
	simDelay = 2 * time.Millisecond
)

// simNode is one process in the simulated network.
type simNode struct {
	core   *Core
	up     bool
	paused time.Time     // runs nothing until then
	skew   time.Duration // of its clock
	phase  int
	in     int // bytes
	out    int
	cpu    time.Duration // in the core and the codec, when measured
}

// parcel is a sealed message on its way.
type parcel struct {
	at   time.Time
	seq  int
	to   netip.AddrPort
	data []byte
}

type parcels []parcel

func (p parcels) Len() int { return len(p) }
func (p parcels) Less(i, j int) bool {
	if !p[i].at.Equal(p[j].at) {
		return p[i].at.Before(p[j].at)
	}
	return p[i].seq < p[j].seq
}
func (p parcels) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *parcels) Push(x any)   { *p = append(*p, x.(parcel)) }
func (p *parcels) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

// sim drives many cores in virtual time over a network that can lose,
// duplicate, delay and cut.
type sim struct {
	t       failer
	ring    *keyring.Ring
	rand    *rand.Rand
	now     time.Time
	steps   int
	nodes   []*simNode
	byAddr  map[netip.AddrPort]*simNode
	queue   parcels
	sent    int
	loss    float64
	doubles float64
	spread  time.Duration // largest additional delay
	cut     func(from, to *simNode) bool
	fetches int
	roster  map[uint8]*simNode // by zone, as kept in the store
	store   map[config.ID]config.Object
}

func newSim(t failer, seed uint64) *sim {
	return &sim{
		t: t, ring: testRing(t), rand: rand.New(rand.NewPCG(seed, 0)), now: testStart,
		byAddr: map[netip.AddrPort]*simNode{}, roster: map[uint8]*simNode{},
		store: map[config.ID]config.Object{},
	}
}

// add starts a process; services spread the agents over groups.
func (s *sim) add(role Role, service uint16, zone uint8) *simNode {
	n := len(s.nodes) + 1
	a := testAddr(n)
	self := Record{
		Addr: a, Control: a, Role: role, State: StateReady, Zone: zone, Version: 1,
		Incarnation: uint64(s.now.UnixMilli()),
	}
	if role == RoleAgent {
		self.Relay, self.Service, self.Slots, self.Connections = a, service, 5, 2000
	}
	node := &simNode{up: true, phase: s.rand.IntN(2)}
	s.nodes = append(s.nodes, node)
	s.byAddr[a] = node
	s.boot(node, self)
	return node
}

func (s *sim) boot(n *simNode, self Record) {
	n.core = New(Options{Self: self, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 1)), Timing: DefaultTiming()})
	n.up = true
	n.paused = time.Time{}
}

// restart replaces a process at its address.
func (s *sim) restart(n *simNode) {
	self := n.core.Self()
	self.Incarnation = max(uint64(s.now.UnixMilli()), self.Incarnation+1)
	self.Boot, self.Version, self.State = 0, 1, StateReady
	s.boot(n, self)
}

// rejoin gives lonely processes a snapshot of a running entry, as the shell
// does by seeds and roster.
func (s *sim) rejoin(n *simNode) {
	if !n.core.Isolated(s.clock(n)) {
		return
	}
	for _, i := range s.rand.Perm(len(s.nodes)) {
		peer := s.nodes[i]
		if peer == n || !s.runs(peer) || peer.core.self.Role != RoleEntry || s.cutOff(n, peer) || s.cutOff(peer, n) {
			continue
		}
		s.snapshot(n, peer)
		return
	}
}

// keepRoster stands for what the shell does with the store: an entry
// that ranks first in its zone meets the listed ones that it does not know,
// lists itself and reads the configuration.
func (s *sim) keepRoster(n *simNode) {
	if n.core.self.Role != RoleEntry || s.steps%150 != 0 {
		return
	}
	for _, m := range n.core.table.entries {
		if m.Zone == n.core.self.Zone && m.Addr.Compare(n.core.self.Addr) < 0 && m.State == StateReady {
			return
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.roster)) {
		listed := s.roster[zone]
		unknown := listed != n && n.core.table.get(listed.core.self.Addr) == nil
		if unknown && s.runs(listed) && !s.cutOff(n, listed) && !s.cutOff(listed, n) {
			s.snapshot(n, listed)
		}
	}
	s.roster[n.core.self.Zone] = n
	objects := slices.SortedFunc(maps.Values(s.store), func(x, y config.Object) int {
		return cmp.Compare(x.Revision, y.Revision)
	})
	n.core.Merge(s.clock(n), nil, objects)
}

func (s *sim) snapshot(n, peer *simNode) {
	self := n.core.Self()
	q := SnapshotQuery{Agent: self.Role == RoleAgent, Address: self.Addr, Service: self.Service}
	for {
		records, objects, next := peer.core.Snapshot(q)
		n.core.Merge(s.clock(n), records, objects)
		if next == 0 {
			return
		}
		q.Page = next
	}
}

func (s *sim) clock(n *simNode) time.Time { return s.now.Add(n.skew) }

func (s *sim) runs(n *simNode) bool { return n.up && !s.now.Before(n.paused) }

func (s *sim) cutOff(from, to *simNode) bool { return s.cut != nil && s.cut(from, to) }

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.steps++
		s.deliver()
		for _, n := range s.nodes {
			if s.runs(n) && (s.steps+n.phase)%2 == 0 {
				began := threadCPU()
				n.core.Tick(s.clock(n))
				s.collect(n)
				n.cpu += threadCPU() - began
			}
			if s.runs(n) && (s.steps+n.phase)%10 == 0 {
				s.rejoin(n)
			}
			if s.runs(n) {
				s.keepRoster(n)
			}
		}
	}
}

// deliver hands over all parcels that are due, with the answers that are due
// within the same step.
func (s *sim) deliver() {
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		p := heap.Pop(&s.queue).(parcel)
		n := s.byAddr[p.to]
		if n == nil || !n.up {
			continue
		}
		if !s.runs(n) { // waits in the socket
			p.at = n.paused
			heap.Push(&s.queue, p)
			continue
		}
		began := threadCPU()
		m, err := Open(s.ring, p.data)
		if err != nil {
			s.t.Fatalf("sealed message not accepted: %v", err)
		}
		n.in += len(p.data)
		n.core.Receive(p.at.Add(n.skew), m)
		s.collectAt(n, p.at)
		n.cpu += threadCPU() - began
	}
}

func (s *sim) collect(n *simNode) { s.collectAt(n, s.now) }

func (s *sim) collectAt(n *simNode, at time.Time) {
	out := n.core.TakeOutput()
	for _, send := range out.Sends {
		data, err := Seal(s.ring, send.Message)
		if err != nil {
			s.t.Fatalf("%s of %d records and %d objects: %v", send.Message.Kind, len(send.Message.Records), len(send.Message.Objects), err)
		}
		n.out += len(data)
		s.post(n, send.To, data, at)
	}
	s.fetches += len(out.Fetches)
}

func (s *sim) post(from *simNode, to netip.AddrPort, data []byte, at time.Time) {
	target := s.byAddr[to]
	if target == nil || s.cutOff(from, target) || s.loss > 0 && s.rand.Float64() < s.loss {
		return
	}
	copies := 1
	if s.doubles > 0 && s.rand.Float64() < s.doubles {
		copies = 2
	}
	for range copies {
		due := at.Add(simDelay)
		if s.spread > 0 {
			due = due.Add(time.Duration(s.rand.Int64N(int64(s.spread))))
		}
		s.sent++
		heap.Push(&s.queue, parcel{at: due, seq: s.sent, to: to, data: data})
	}
}

// testObject is a zone object as the store would give it.
func testObject(name string, id uint8, revision uint64, out bool) config.Object {
	value, err := config.Encode(config.Zone{Name: name, ID: id, Region: "r" + name[:1], Out: out})
	if err != nil {
		panic(err)
	}
	return config.Object{Kind: config.KindZone, Name: name, Revision: revision, Value: value}
}
