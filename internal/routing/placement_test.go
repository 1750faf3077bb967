package routing

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/membership"
)

// Flows must move only to an agent that was added, or only away from one that
// was removed, and then to their second candidate.
func TestSmallestMovement(t *testing.T) {
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
			p := longPacket(firstID(i))
			a := with.Decide(p, testCaller, bellsAddress)
			b := without.Decide(p, testCaller, bellsAddress)
			if a.Agent != agentAddr(changed) && a.Agent != b.Agent {
				t.Fatalf("flow %d moved from %s to %s, which did not change", i, a.Agent, b.Agent)
			}
			if a.Agent == agentAddr(changed) && n > 1 && b.Agent != a.Second {
				t.Fatalf("flow %d moved to %s, not to its second candidate %s", i, b.Agent, a.Second)
			}
		}
	})
}

// Entries with another order of records must choose alike.
func TestOrderOfRecords(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{9, 200} {
		records := agentRecords(n)
		reversed := make([]membership.Record, n)
		for i := range records {
			reversed[n-1-i] = records[i]
		}
		a, b := NewTable(testFleet(), "west-1", records), NewTable(testFleet(), "west-2", reversed)
		for i := range 2000 {
			p := longPacket(firstID(i))
			is.Equal(a.Decide(p, testCaller, bellsAddress), b.Decide(p, testCaller, bellsAddress))
		}
	}
}

// Shares of new flows must follow the weights. The largest share may exceed
// the fair one by a quarter: this much the hand-over between the two
// candidates evens out.
func TestSharesFollowWeights(t *testing.T) {
	const flowsPerAgent, allowed = 4000, 0.25
	for _, n := range []int{3, 7, 11, 600} {
		records := agentRecords(n)
		records[0].State = membership.StateCold
		weights := 0.0
		for i := range records {
			weights += shareWeight(&records[i])
		}
		got := map[netip.AddrPort]int{}
		table := NewTable(testFleet(), "west-1", records)
		for i := range flowsPerAgent * n {
			got[table.Decide(longPacket(firstID(i)), testCaller, bellsAddress).Agent]++
		}
		worst, worstCold := 0.0, 0.0
		for i := range records {
			fair := flowsPerAgent * float64(n) * shareWeight(&records[i]) / weights
			off := math.Abs(float64(got[records[i].Addr])-fair) / fair
			if i == 0 {
				worstCold = off
				continue
			}
			worst = max(worst, off)
		}
		t.Logf("%d agents: off the fair share by at most %.3f, the cold one %.3f", n, worst, worstCold)
		if worst > allowed || worstCold > 2*allowed {
			t.Errorf("%d agents: a share is off by %.3f, the cold one by %.3f", n, worst, worstCold)
		}
	}
}

func shareWeight(r *membership.Record) float64 {
	if r.State == membership.StateCold {
		return 0.2 * float64(r.Slots)
	}
	return float64(r.Slots)
}
