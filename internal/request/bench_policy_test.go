package request

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// profile is one service of the policy benchmark.
type profile struct {
	name              string
	hostCount         int
	slots             int
	speed             float64       // of the fastest host; the slowest has 1
	oneWayDelay       time.Duration // between two agents
	serviceTime       time.Duration // mean service time at speed 1
	reportInterval    time.Duration // between two reports of one agent
	noLoadInResponses bool          // responses to relays carry no load report
}

var benchProfiles = []profile{
	{name: "mtkvari", hostCount: 7, slots: 5, speed: 4, oneWayDelay: time.Millisecond, serviceTime: 40 * time.Millisecond, reportInterval: 280 * time.Millisecond},
	{name: "huron", hostCount: 7, slots: 9, speed: 4, oneWayDelay: time.Millisecond / 2, serviceTime: 40 * time.Millisecond, reportInterval: 280 * time.Millisecond},
}

// benchVariants returns the profiles and variants of each with one or two
// parameters changed.
func benchVariants() []profile {
	out := slices.Clone(benchProfiles)
	for _, p := range benchProfiles {
		vary := func(name string, change func(*profile)) {
			v := p
			v.name = p.name + ", " + name
			change(&v)
			out = append(out, v)
		}
		vary("no loads on answers", func(v *profile) { v.noLoadInResponses = true })
		vary("reports each 1 s, no loads", func(v *profile) { v.reportInterval = time.Second; v.noLoadInResponses = true })
		vary("work 10 ms, no loads", func(v *profile) { v.serviceTime = 10 * time.Millisecond; v.noLoadInResponses = true })
		vary("work 200 ms, no loads", func(v *profile) { v.serviceTime = 200 * time.Millisecond; v.noLoadInResponses = true })
		vary("60 endpoints, no loads", func(v *profile) { v.hostCount = 60; v.noLoadInResponses = true })
	}
	return out
}

// policy is how the benchmark distributes requests to hosts.
type policy string

const (
	policyEngine      policy = "engine"
	policyHashing     policy = "plain hashing"
	policyRandomOfTwo policy = "random choice of two"
	policyCentral     policy = "central queue"
)

const (
	benchDeadlineFactor = 10 // deadline in mean service times at speed 1
	benchWarmup         = 5 * time.Second
	benchFanout         = 6 // peers that receive each report
)

// TestPolicyMeetsTargets checks the targets for imbalance, goodput and latency
// in simulated time.
func TestPolicyMeetsTargets(t *testing.T) {
	for _, p := range benchProfiles {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			normal := runBench(p, policyEngine, 0.8, 20*time.Second, 1)
			is.True(normal.imbalance <= 1.10) // at 80% load
			over := runBench(p, policyEngine, 3, 10*time.Second, 1)
			is.True(over.goodput >= 0.95) // at 3 times the capacity
			is.True(over.p99 <= 1)        // of the deadline
			is.True(over.attempts <= 1)   // runs and relays for each offered request
			plain := runBench(p, policyHashing, 0.8, 20*time.Second, 1)
			is.True(plain.imbalance > 1.10) // the benchmark can distinguish policies
		})
	}
}

// TestPolicyTable prints the results of all policies and variants:
//
//	CROCUS_POLICY=all go test ./internal/request -run TestPolicyTable -v
func TestPolicyTable(t *testing.T) {
	only := os.Getenv("CROCUS_POLICY")
	if only == "" {
		t.Skip("set CROCUS_POLICY=all, or to the name of one policy")
	}
	for _, pol := range []policy{policyHashing, policyRandomOfTwo, policyCentral, policyEngine} {
		variants := benchProfiles
		if pol == policyEngine {
			variants = benchVariants()
		}
		for _, p := range variants {
			for _, load := range []float64{0.8, 3} {
				if only == "all" || only == string(pol) {
					logResults(t, p, pol, load)
				}
			}
		}
	}
}

func logResults(t *testing.T, p profile, pol policy, load float64) {
	f := runBench(p, pol, load, 20*time.Second, 1)
	t.Logf("%-21s %-34s load %.1f imbalance %.3f goodput %.3f late %.4f p99 %.2f relays %.3f attempts %.3f refused %.3f",
		pol, p.name, load, f.imbalance, f.goodput, f.late, f.p99, f.relays, f.attempts, f.refused)
}
