package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Unix(1764800000, 0)

func testAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 22, byte(n >> 8), byte(n)}), 7000)
}

func testCore(role Role, n int) *Core {
	a := testAddr(n)
	self := Record{Addr: a, Control: a, Role: role, State: StateReady, Incarnation: uint64(testStart.UnixMilli()), Version: 1}
	if role == RoleAgent {
		self.Service = 7
	}
	return New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, uint64(n))), Timing: DefaultTiming()})
}

func testRecord(n int, role Role, state State, incarnation uint64, version uint32) Record {
	a := testAddr(n)
	r := Record{Addr: a, Control: a, Role: role, State: state, Incarnation: incarnation, Version: version}
	if role == RoleAgent {
		r.Service = 7
	}
	return r
}

// sentKinds returns the kinds of the messages sent to a control address.
func sentKinds(out Output, to netip.AddrPort) []Kind {
	var list []Kind
	for _, s := range out.Sends {
		if s.To == to {
			list = append(list, s.Message.Kind)
		}
	}
	return list
}

func TestDroppedIncarnationsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, state := range []State{StateReady, StateDead} {
		c := testCore(RoleEntry, 1)
		r := testRecord(2, RoleAgent, state, 50, 1)
		c.Merge(testStart, []Record{r}, nil)
		c.table.drop(c.table.get(r.Addr))
		older := testRecord(2, RoleAgent, StateReady, 49, 9)
		c.Merge(testStart, []Record{older}, nil)
		is.Equal(c.table.get(r.Addr), nil)
		same := testRecord(2, RoleAgent, StateReady, 50, 9)
		c.Merge(testStart, []Record{same}, nil)
		is.Equal(c.table.get(r.Addr) == nil, state.Final())
	}
}

func TestEqualTablesHaveEqualDigests(t *testing.T) {
	is := is.New(t)
	x, y := testCore(RoleEntry, 1), testCore(RoleEntry, 2)
	x.Merge(testStart, []Record{y.self, testRecord(3, RoleAgent, StateReady, 1, 1)}, nil)
	y.Merge(testStart, []Record{x.self, testRecord(3, RoleAgent, StateReady, 1, 1), testRecord(4, RoleAgent, StateLeft, 1, 1)}, nil)
	is.Equal(x.hashesOf(TableMembers), y.hashesOf(TableMembers))
}

func TestFailureReportsFromRepairAreVerified(t *testing.T) {
	is := is.New(t)
	for _, state := range []State{StateSuspect, StateDead} {
		c := testCore(RoleEntry, 1)
		c.Merge(testStart, []Record{testRecord(2, RoleAgent, StateReady, 1, 1), testRecord(3, RoleEntry, StateReady, 1, 1)}, nil)
		c.Tick(testStart)
		c.TakeOutput()
		report := testRecord(2, RoleAgent, state, 1, 1)
		c.Receive(testStart, &Message{Kind: KindPush, From: testAddr(3), Control: testAddr(3), Repair: true, Records: []Record{report}})
		is.Equal(c.table.get(report.Addr).State, StateReady)
		c.Tick(testStart.Add(time.Millisecond))
		is.Equal(sentKinds(c.TakeOutput(), report.Control), []Kind{KindPing})
	}
}

func TestPeerUnknownToTheEntryIsProbed(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	agent, peer := testRecord(2, RoleAgent, StateReady, 1, 1), testRecord(3, RoleAgent, StateReady, 1, 1)
	c.Tick(testStart)
	c.Receive(testStart, &Message{Kind: KindHeartbeat, From: agent.Addr, Control: agent.Addr, Records: []Record{agent, peer}})
	is.Equal(sentKinds(c.TakeOutput(), peer.Control), []Kind{KindPing}) // stored, but probed at once
}

func TestFirstReplyContainsFinalRecords(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	agent, left := testRecord(2, RoleAgent, StateReady, 1, 1), testRecord(3, RoleAgent, StateLeft, 1, 2)
	c.Merge(testStart, []Record{left}, nil)
	c.Tick(testStart)
	c.TakeOutput()
	c.Receive(testStart, &Message{Kind: KindHeartbeat, From: agent.Addr, Control: agent.Addr, Records: []Record{agent}})
	out := c.TakeOutput()
	is.Equal(sentKinds(out, agent.Control), []Kind{KindReply})
	is.True(slices.Contains(out.Sends[len(out.Sends)-1].Message.Records, left))
}

func TestMassSuspicionDelaysDeaths(t *testing.T) {
	is := is.New(t)
	tests := []struct {
		silent int // of 40 agents
		dead   bool
	}{
		{silent: 4, dead: true},
		{silent: 30, dead: false},
	}
	for _, test := range tests {
		s := newSim(t, 1)
		entry := s.add(RoleEntry, 0, 1)
		for range 40 {
			s.add(RoleAgent, 7, 1)
		}
		s.run(20 * time.Second)
		for i := range test.silent {
			s.nodes[1+i].up = false
		}
		s.run(10 * time.Second)
		for i := range test.silent {
			m := entry.core.table.get(s.nodes[1+i].core.self.Addr)
			is.True(m.State >= StateSuspect)              // routing avoids it
			is.True(test.dead || m.State == StateSuspect) // most silent: still suspect
			is.True(!test.dead || m.State == StateDead)   // few silent: declared dead in time
		}
	}
}

func TestPausedWatcherSuspectsNoMember(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1)
	entry := s.add(RoleEntry, 0, 1)
	for range 10 {
		s.add(RoleAgent, 7, 1)
	}
	s.run(20 * time.Second)
	entry.pausedUntil = s.now.Add(30 * time.Second)
	s.queue = nil // the socket buffer overflowed
	s.run(30 * time.Second)
	s.queue = nil
	s.run(10 * time.Second)
	for _, n := range s.nodes[1:] {
		is.Equal(entry.core.table.get(n.core.self.Addr).Record, n.core.self)
		is.Equal(n.core.self.Version, uint32(1)) // never refuted a suspicion
	}
}

func TestHealedPartitionLeavesZonesUsable(t *testing.T) {
	is := is.New(t)
	const minUsedShare = 90.0 // percent of the own region's members
	s := newSim(t, 1)
	s.fill(20, 80)
	s.run(10 * time.Second)
	s.blocked = func(from, to *simNode) bool { return from.core.self.Zone%2 != to.core.self.Zone%2 }
	for range 60 {
		s.run(time.Second)
		is.True(s.usedShare(true) >= minUsedShare)
	}
	s.blocked = nil
	for range 60 {
		s.run(time.Second)
		is.True(s.usedShare(true) >= minUsedShare)
	}
	is.Equal(s.usedShare(false), 100.0)
	declaredDead := 0
	for _, n := range s.nodes {
		if n.core.self.Incarnation != n.core.self.Boot {
			declaredDead++
		}
	}
	t.Logf("%d of %d were declared dead", declaredDead, len(s.nodes))
	is.True(float64(declaredDead) <= 2*massSuspicionDeathRate*(2*time.Minute).Seconds()) // both sides of the partition
}

func TestDeathOfAnOlderVersionIsVerified(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	c.Merge(testStart, []Record{testRecord(2, RoleAgent, StateReady, 1, 2)}, nil)
	c.Tick(testStart)
	c.TakeOutput()
	older := testRecord(2, RoleAgent, StateDead, 1, 1)
	c.Receive(testStart, &Message{Kind: KindPush, From: testAddr(3), Control: testAddr(3), FailureReports: appendFailureReport(nil, &older)})
	is.Equal(c.table.get(older.Addr).State, StateReady)
	c.Tick(testStart.Add(time.Millisecond))
	is.Equal(sentKinds(c.TakeOutput(), older.Control), []Kind{KindPing})
}

func TestHeldSuspectIsProbedBeforeItsDeath(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	c.timing.PauseThreshold = time.Hour
	suspect := testRecord(2, RoleAgent, StateSuspect, 1, 1)
	c.Merge(testStart, []Record{suspect}, nil)
	c.Tick(testStart)
	c.TakeOutput()
	late := testStart.Add(10 * c.timing.SuspicionTimeout)
	c.checkSuspects(late)
	is.Equal(c.table.get(suspect.Addr).State, StateSuspect)
	is.Equal(sentKinds(c.TakeOutput(), suspect.Control), []Kind{KindPing})
	c.expireProbes(late.Add(c.timing.ProbeTimeout))
	c.expireProbes(late.Add(2 * c.timing.ProbeTimeout))
	is.Equal(c.table.get(suspect.Addr).State, StateDead)
}

func TestKindsHaveNames(t *testing.T) {
	is := is.New(t)
	for k := KindHeartbeat; k < kindEnd; k++ {
		is.True(k.String() != "" && !strings.HasPrefix(k.String(), "kind"))
	}
}

// An agent that joins receives the entries from which it chooses its watchers.
func TestSnapshotForAgentHasItsWatchers(t *testing.T) {
	is := is.New(t)
	entry, agent := testCore(RoleEntry, 1), testCore(RoleAgent, 500)
	for n := 2; n < 60; n++ {
		entry.Merge(testStart, []Record{testRecord(n, RoleEntry, StateReady, 10, 1)}, nil)
	}
	records, _, _ := entry.Snapshot(SnapshotQuery{Agent: true, Address: agent.self.Addr})
	ranked := entry.table.entries
	best := slices.MaxFunc(ranked, func(x, y *member) int {
		return cmp.Compare(rendezvous(agent.self.Addr, x.Addr), rendezvous(agent.self.Addr, y.Addr))
	})
	is.True(slices.ContainsFunc(records, func(r Record) bool { return r.Addr == best.Addr }))
}
