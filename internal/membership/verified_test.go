package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCore(i byte, role Role, seeds ...netip.AddrPort) *Core {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, i}), 1)
	return New(Options{
		Self: Record{
			Addr: addr, Control: netip.AddrPortFrom(addr.Addr(), 2), Role: role, State: StateReady, Incarnation: uint64(i) + 1,
		},
		Rand: rand.New(rand.NewPCG(1, uint64(i))), Timing: DefaultTiming(), Seeds: seeds,
	})
}

// exchange delivers the cores' messages to each other until none is left.
func exchange(now time.Time, cores ...*Core) {
	for moved := true; moved; {
		moved = false
		for _, from := range cores {
			for _, s := range from.TakeOutput().Sends {
				for _, to := range cores {
					if to.self.Control == s.To {
						copied := *s.Message
						to.Receive(now, &copied)
						moved = true
					}
				}
			}
		}
	}
}

func zoneOut(revision uint64) config.Object {
	return config.Object{Kind: config.KindZoneOut, Name: "z", Revision: revision, Value: []byte(`{"name":"z"}`)}
}

func TestFreshnessSpreadsWithItsAge(t *testing.T) {
	is := is.New(t)
	a, b := newCore(1, RoleEntry), newCore(2, RoleEntry)
	a.Merge(startTime, []Record{b.self}, nil)
	b.Merge(startTime, []Record{a.self}, nil)
	is.True(b.VerifiedAt().IsZero())
	a.MarkVerified(startTime.Add(time.Second), startTime.Add(700*time.Millisecond), 3)
	exchange(startTime.Add(time.Second), a, b)
	is.Equal(b.VerifiedAt(), startTime.Add(700*time.Millisecond))
	a.MarkVerified(startTime.Add(time.Second), startTime, 2) // an older read of the store
	is.Equal(a.VerifiedAt(), startTime.Add(700*time.Millisecond))
	is.Equal(b.VerifiedRevision(), uint64(3))
}

func TestFreshnessOfDifferentObjectsIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := newCore(1, RoleEntry), newCore(2, RoleEntry)
	a.Merge(startTime, []Record{b.self}, nil)
	a.TakeOutput()
	a.Merge(startTime, nil, []config.Object{zoneOut(7)})
	a.TakeOutput() // drop the message with the object
	a.MarkVerified(startTime, startTime, 7)
	exchange(startTime, a, b)
	is.True(b.VerifiedAt().IsZero())
}

func TestPauseClearsFreshness(t *testing.T) {
	is := is.New(t)
	a := newCore(1, RoleEntry)
	a.Tick(startTime)
	a.MarkVerified(startTime, startTime, 7)
	a.Tick(startTime.Add(5 * time.Second))
	is.True(a.VerifiedAt().IsZero())
}

func TestAgentFindsEntriesBySeeds(t *testing.T) {
	is := is.New(t)
	seed := newCore(1, RoleEntry)
	agent := newCore(9, RoleAgent, seed.self.Control)
	agent.Tick(startTime) // the seed is not running
	agent.TakeOutput()
	now := startTime.Add(200 * time.Millisecond)
	agent.Tick(now)
	exchange(now, agent, seed)
	is.Equal(len(agent.table.entries), 1)
	is.Equal(len(seed.table.agents), 1) // from the heartbeat that is sent at once
}

func TestDepartedReturnsRecentFinalRecords(t *testing.T) {
	is := is.New(t)
	a, b := newCore(1, RoleEntry), newCore(2, RoleAgent)
	a.Merge(startTime, []Record{b.self}, nil)
	is.Equal(len(a.Departed(startTime.Add(-time.Second))), 0)
	left := b.self
	left.State, left.Version = StateLeft, 1
	a.Merge(startTime.Add(time.Second), []Record{left}, nil)
	is.Equal(len(a.Departed(startTime)), 1)
	is.Equal(len(a.Departed(startTime.Add(time.Second))), 0)
}

func TestRoutesAreSentToEntriesOnly(t *testing.T) {
	is := is.New(t)
	entry := newCore(1, RoleEntry)
	entry.Merge(startTime, nil, []config.Object{
		{Kind: config.KindRoutes, Name: config.RoutesName, Revision: 1, Value: []byte(`{"version":1,"routes":[],"idleMillis":1}`)},
		{Kind: config.KindPool, Name: "s", Revision: 1, Value: []byte(`{"name":"s","connections":1,"coldPerSecond":0,"idleMillis":1}`)},
		{Kind: config.KindPool, Name: "t", Revision: 1, Value: []byte(`{"name":"t","connections":1,"coldPerSecond":0,"idleMillis":1}`)},
	})
	agent := newCore(9, RoleAgent, entry.self.Control)
	agent.SetServiceName("s")
	for i := range 3 {
		now := startTime.Add(time.Duration(i) * time.Second)
		agent.Tick(now)
		exchange(now, agent, entry)
	}
	is.True(agent.objects.get(config.ID{Kind: config.KindPool, Name: "s"}) != nil)
	is.True(agent.objects.get(config.ID{Kind: config.KindPool, Name: "t"}) == nil)
	is.True(agent.objects.get(config.ID{Kind: config.KindRoutes, Name: config.RoutesName}) == nil)
}

// A zone comes back into service while every entry restarts, so the entries have
// no record of it. The agents must then stop treating it as out of service.
func TestRestartedEntriesClearAZoneOutAtAgents(t *testing.T) {
	is := is.New(t)
	before := newCore(1, RoleEntry)
	before.Merge(startTime, nil, []config.Object{zoneOut(7)})
	agent := newCore(9, RoleAgent, before.self.Control)
	agent.Tick(startTime)
	exchange(startTime, agent, before)
	out := func() bool { return !agent.objects.get(config.ID{Kind: config.KindZoneOut, Name: "z"}).latest.Deleted }
	is.True(out())

	after := newCore(1, RoleEntry)
	after.self.Incarnation++
	now := startTime.Add(2 * time.Second)
	heartbeat := func() {
		agent.Tick(now)
		exchange(now, agent, after)
		now = now.Add(time.Second)
	}
	heartbeat()
	is.True(out()) // the entry has no store revision yet
	after.MarkVerified(now, now, 7)
	heartbeat()
	is.True(out()) // the zone may have been taken out of service at that revision
	after.MarkVerified(now, now, 8)
	heartbeat()
	is.True(!out())
}
