package routing

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/membership"
)

// Adding an agent must move flows only to it. Removing an agent must move only
// its flows, and these to their second candidate.
func TestMinimalFlowMovement(t *testing.T) {
	const flows = 300
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "agents")
		records := agentRecords(n)
		for i := range records {
			if rapid.IntRange(0, 9).Draw(t, "cold") == 0 {
				records[i].State = membership.StateCold
			}
		}
		changed := rapid.IntRange(0, n-1).Draw(t, "changed")
		with := NewTable(testFleet(), "west-1", records)
		records[changed].State = membership.StateDraining
		without := NewTable(testFleet(), "west-1", records)
		for i := range flows {
			p := longHeaderPacket(callerChosenID(i))
			a := with.Decide(p, testCaller, testAddress)
			b := without.Decide(p, testCaller, testAddress)
			if a.Agent != agentAddr(changed) && a.Agent != b.Agent {
				t.Fatalf("flow %d moved from %s to %s, which did not change", i, a.Agent, b.Agent)
			}
			if a.Agent == agentAddr(changed) && n > 1 && b.Agent != a.SecondCandidate {
				t.Fatalf("flow %d moved to %s, not to its second candidate %s", i, b.Agent, a.SecondCandidate)
			}
		}
	})
}

// A table rebuilt after each of many changes must equal one built from scratch.
func TestRebuildEqualsNewTable(t *testing.T) {
	states := []membership.State{
		membership.StateReady, membership.StateCold, membership.StateDraining,
		membership.StateSuspect, membership.StateLeft, membership.StateDead,
	}
	rapid.Check(t, func(t *rapid.T) {
		const agents, flows = 40, 100
		all := agentRecords(agents)
		table := NewTable(testFleet(), "west-1", nil)
		for range 10 {
			i := rapid.IntRange(0, agents-1).Draw(t, "agent")
			all[i].State = rapid.SampledFrom(states).Draw(t, "state")
			all[i].Slots = rapid.Uint16Range(0, 9).Draw(t, "slots")
			all[i].Service = rapid.Uint16Range(testService, otherService).Draw(t, "service")
			known := all[:rapid.IntRange(0, agents).Draw(t, "known")]
			table = table.Rebuild(testFleet(), known)
			fresh := NewTable(testFleet(), "west-1", known)
			for _, to := range []netip.AddrPort{testAddress, otherAddress} {
				for i := range flows {
					p := longHeaderPacket(callerChosenID(i))
					a, b := table.Decide(p, testCaller, to), fresh.Decide(p, testCaller, to)
					if a != b {
						t.Fatalf("flow %d: %+v, in a table from NewTable %+v", i, a, b)
					}
				}
			}
			if table.Summary(testService) != fresh.Summary(testService) {
				t.Fatalf("%+v, in a table from NewTable %+v", table.Summary(testService), fresh.Summary(testService))
			}
		}
	})
}

// Entries that receive the records in different orders must make the same
// decisions.
func TestDecisionsIgnoreRecordOrder(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{9, 200} {
		records := agentRecords(n)
		reversed := make([]membership.Record, n)
		for i := range records {
			reversed[n-1-i] = records[i]
		}
		a, b := NewTable(testFleet(), "west-1", records), NewTable(testFleet(), "west-2", reversed)
		for i := range 2000 {
			p := longHeaderPacket(callerChosenID(i))
			is.Equal(a.Decide(p, testCaller, testAddress), b.Decide(p, testCaller, testAddress))
		}
	}
}

// Shares of new flows must be proportional to the weights. At the sizes of
// current services, 3 to 7 agents, they must stay within the imbalance limit of
// 1.10. In larger services the deviation must be small enough for forwarding
// between the two candidates to even it out.
func TestSharesFollowWeights(t *testing.T) {
	for _, c := range []struct {
		agents  int
		allowed float64
	}{{3, 0.10}, {4, 0.10}, {7, 0.10}, {600, 0.25}} {
		t.Run(fmt.Sprint(c.agents), func(t *testing.T) {
			records := agentRecords(c.agents)
			records[0].State = membership.StateCold
			deviation := shareDeviation(records)
			t.Logf("largest deviation from the fair share %.3f, of the cold agent %.3f", slices.Max(deviation[1:]), deviation[0])
			if slices.Max(deviation[1:]) > c.allowed || deviation[0] > 0.25 {
				t.Error("a share is too large or too small")
			}
		})
	}
}

// shareDeviation returns the relative difference between each agent's number of
// flows and its fair share.
func shareDeviation(records []membership.Record) []float64 {
	const flowsPerAgent = 2000
	weights := 0.0
	for i := range records {
		weights += shareWeight(&records[i])
	}
	got := map[netip.AddrPort]int{}
	table := NewTable(testFleet(), "west-1", records)
	for i := range flowsPerAgent * len(records) {
		got[table.Decide(longHeaderPacket(callerChosenID(i)), testCaller, testAddress).Agent]++
	}
	deviation := make([]float64, len(records))
	for i := range records {
		fair := flowsPerAgent * float64(len(records)) * shareWeight(&records[i]) / weights
		deviation[i] = math.Abs(float64(got[records[i].Addr])-fair) / fair
	}
	return deviation
}

func shareWeight(r *membership.Record) float64 {
	if r.State == membership.StateCold {
		return 0.2 * float64(r.Slots)
	}
	return float64(r.Slots)
}
