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
	core        *Core
	up          bool
	pausedUntil time.Time // does not run until then
	clockSkew   time.Duration
	tickPhase   int
	bytesIn     int
	bytesOut    int
	cpu         time.Duration // time in the core and the codec
}

// revision returns the revision of an object as last received, 0 if it is not known.
func (o *objects) revision(id config.ID) uint64 {
	if known := o.get(id); known != nil {
		return known.latest.Revision
	}
	return 0
}

// simDatagram is a sealed message in transit.
type simDatagram struct {
	at   time.Time
	seq  int
	to   netip.AddrPort
	data []byte
}

type datagramQueue []simDatagram

func (p datagramQueue) Len() int { return len(p) }
func (p datagramQueue) Less(i, j int) bool {
	if !p[i].at.Equal(p[j].at) {
		return p[i].at.Before(p[j].at)
	}
	return p[i].seq < p[j].seq
}
func (p datagramQueue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *datagramQueue) Push(x any)   { *p = append(*p, x.(simDatagram)) }
func (p *datagramQueue) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

// sim runs many cores in virtual time over a network that can lose, duplicate,
// delay and block datagrams.
type sim struct {
	t               fataler
	ring            *keyring.Ring
	rand            *rand.Rand
	now             time.Time
	steps           int
	nodes           []*simNode
	byAddr          map[netip.AddrPort]*simNode
	queue           datagramQueue
	sent            int
	lossRate        float64
	duplicationRate float64
	maxExtraDelay   time.Duration // on top of simDelay
	blocked         func(from, to *simNode) bool
	fetches         int
	roster          map[uint8]*simNode // by zone, as kept in the store
	store           map[config.ID]config.Object
}

func newSim(t fataler, seed uint64) *sim {
	return &sim{
		t: t, ring: testRing(t), rand: rand.New(rand.NewPCG(seed, 0)), now: testStart,
		byAddr: map[netip.AddrPort]*simNode{}, roster: map[uint8]*simNode{},
		store: map[config.ID]config.Object{},
	}
}

// add starts a process.
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
	node := &simNode{up: true, tickPhase: s.rand.IntN(2)}
	s.nodes = append(s.nodes, node)
	s.byAddr[a] = node
	s.start(node, self)
	return node
}

func (s *sim) start(n *simNode, self Record) {
	n.core = New(Options{Self: self, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 1)), Timing: DefaultTiming()})
	n.up = true
	n.pausedUntil = time.Time{}
}

// restart replaces a process at its address.
func (s *sim) restart(n *simNode) {
	self := n.core.Self()
	self.Incarnation = max(uint64(s.now.UnixMilli()), self.Incarnation+1)
	self.Boot, self.Version, self.State = 0, 1, StateReady
	s.start(n, self)
}

// rejoin merges a snapshot of a running entry into an isolated process, as the
// fleet package does with seeds and rosters.
func (s *sim) rejoin(n *simNode) {
	if !n.core.Isolated(s.clock(n)) {
		return
	}
	for _, i := range s.rand.Perm(len(s.nodes)) {
		peer := s.nodes[i]
		if peer == n || !s.running(peer) || peer.core.self.Role != RoleEntry || s.isBlocked(n, peer) || s.isBlocked(peer, n) {
			continue
		}
		s.snapshot(n, peer)
		return
	}
}

// updateRoster simulates the fleet package's use of the store: an entry that
// ranks first in its zone takes snapshots of the listed entries that it does not
// know, lists itself and reads the configuration.
func (s *sim) updateRoster(n *simNode) {
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
		if unknown && s.running(listed) && !s.isBlocked(n, listed) && !s.isBlocked(listed, n) {
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

func (s *sim) clock(n *simNode) time.Time { return s.now.Add(n.clockSkew) }

func (s *sim) running(n *simNode) bool { return n.up && !s.now.Before(n.pausedUntil) }

func (s *sim) isBlocked(from, to *simNode) bool { return s.blocked != nil && s.blocked(from, to) }

// run advances the virtual time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.steps++
		s.deliver()
		for _, n := range s.nodes {
			if s.running(n) && (s.steps+n.tickPhase)%2 == 0 {
				began := threadCPU()
				n.core.Tick(s.clock(n))
				s.collect(n)
				n.cpu += threadCPU() - began
			}
			if s.running(n) && (s.steps+n.tickPhase)%10 == 0 {
				s.rejoin(n)
			}
			if s.running(n) {
				s.updateRoster(n)
			}
		}
	}
}

// deliver delivers all datagrams that are due, including the answers that become
// due within the same step.
func (s *sim) deliver() {
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		p := heap.Pop(&s.queue).(simDatagram)
		n := s.byAddr[p.to]
		if n == nil || !n.up {
			continue
		}
		if !s.running(n) { // stays in the socket buffer
			p.at = n.pausedUntil
			heap.Push(&s.queue, p)
			continue
		}
		began := threadCPU()
		m, err := Open(s.ring, p.data)
		if err != nil {
			s.t.Fatalf("open sealed message: %v", err)
		}
		n.bytesIn += len(p.data)
		n.core.Receive(p.at.Add(n.clockSkew), m)
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
		n.bytesOut += len(data)
		s.transmit(n, send.To, data, at)
	}
	s.fetches += len(out.Fetches)
}

func (s *sim) transmit(from *simNode, to netip.AddrPort, data []byte, at time.Time) {
	target := s.byAddr[to]
	if target == nil || s.isBlocked(from, target) || s.lossRate > 0 && s.rand.Float64() < s.lossRate {
		return
	}
	copies := 1
	if s.duplicationRate > 0 && s.rand.Float64() < s.duplicationRate {
		copies = 2
	}
	for range copies {
		due := at.Add(simDelay)
		if s.maxExtraDelay > 0 {
			due = due.Add(time.Duration(s.rand.Int64N(int64(s.maxExtraDelay))))
		}
		s.sent++
		heap.Push(&s.queue, simDatagram{at: due, seq: s.sent, to: to, data: data})
	}
}

// testObject returns a zone object as the store returns it.
func testObject(name string, id uint8, revision uint64, out bool) config.Object {
	value, err := config.Encode(config.Zone{Name: name, ID: id, Region: "r" + name[:1], Out: out})
	if err != nil {
		panic(err)
	}
	return config.Object{Kind: config.KindZone, Name: name, Revision: revision, Value: value}
}
