package flow

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a query that changes where flows go, and against one that names another
// agent than the next flow gets: of two placements with the same history, one is asked
// before each flow.
func TestRankChangesNothingAndAgreesWithChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := make([]Agent, rapid.SampledFrom([]int{0, 1, 7, 63, 64, 200}).Draw(t, "agents"))
		for i := range agents {
			agents[i] = Agent{Addr: testEndpoint(i), Zone: []string{"z1", "z2"}[i%2], Slots: i % 4, Suspect: i%5 == 4}
		}
		asked, other := NewPlacement("z1"), NewPlacement("z1")
		now := start
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(agents) > 0 {
				a := rapid.SampledFrom(agents).Draw(t, "agent").Addr
				l := Load{Busy: rapid.Float64Range(0, 9).Draw(t, "busy"), FailureRate: rapid.Float64Range(0, 1).Draw(t, "failures")}
				avoid := rapid.Bool().Draw(t, "avoid")
				for _, p := range []*Placement{asked, other} {
					p.Report(now, a, l)
					if avoid {
						p.Avoid(now, a)
					}
				}
			}
			ranked := asked.Rank(now, testKey(i), agents)
			if !reflect.DeepEqual(asked, other) {
				t.Fatal("Rank changed the placement")
			}
			if len(ranked) != len(agents) {
				t.Fatalf("%d agents ranked of %d", len(ranked), len(agents))
			}
			for j := 1; j < len(ranked) && ranked[j].Excluded != ExcludedSample; j++ {
				if ranked[j].Score < ranked[j-1].Score {
					t.Fatal("not in the order of scores")
				}
			}
			chosen, ok := asked.Choose(now, testKey(i), agents, nil)
			other.Choose(now, testKey(i), agents, nil)
			if ok != (len(ranked) > 0) || ok && ranked[0].Agent != chosen {
				t.Fatalf("chosen %v, ranked %v", chosen, ranked)
			}
		}
	})
}

// Guards against a reason that is missing or wrong, and against a report that is shown
// with another age than it has.
func TestRankStatesReasonsAndReports(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{
		{Addr: testEndpoint(0), Zone: "z1", Slots: 2, Suspect: true},
		{Addr: testEndpoint(1), Zone: "z1", Slots: 2},
		{Addr: testEndpoint(2), Zone: "z2", Slots: 2},
	}
	p.Report(start, testEndpoint(2), Load{Busy: 1, FailureRate: 0.5, ServiceTime: time.Millisecond})
	p.Avoid(start, testEndpoint(1))
	ranked := p.Rank(start.Add(time.Millisecond), testKey(1), agents)
	is.Equal(ranked[0].Agent, agents[2]) // the only one without a reason, however bad its score
	is.Equal(ranked[0].Excluded, Exclusion(""))
	is.Equal(ranked[0].ReportedAt, start)
	is.Equal(ranked[0].Report, Load{Busy: 1, FailureRate: 0.5, ServiceTime: time.Millisecond})
	reasons := map[Endpoint]Exclusion{}
	for _, c := range ranked[1:] {
		reasons[c.Agent.Addr] = c.Excluded
		is.True(c.ReportedAt.IsZero())
	}
	is.Equal(reasons, map[Endpoint]Exclusion{testEndpoint(0): ExcludedSuspect, testEndpoint(1): ExcludedAvoided})
	p.Choose(start, testKey(1), agents[2:], nil)
	is.Equal(p.Rank(start, testKey(1), agents[2:])[0].Openings, 1)

	large := make([]Agent, 2*sampleSize)
	for i := range large {
		large[i] = Agent{Addr: testEndpoint(i), Slots: 1}
	}
	sampled := 0
	for _, c := range p.Rank(start, testKey(1), large) {
		if c.Excluded != ExcludedSample {
			sampled++
		}
	}
	is.Equal(sampled, sampleSize)
}
