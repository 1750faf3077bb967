package request

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// profile is one service of the focused policy bench.
type profile struct {
	name      string
	endpoints int
	slots     int
	speed     float64       // of the fastest; the slowest has 1
	oneWay    time.Duration // between two agents
	work      time.Duration // mean service time at speed 1
	reports   time.Duration // between two reports of one agent
	noLoads   bool          // answers of relays carry no load
}

var benchProfiles = []profile{
	{name: "mtkvari", endpoints: 7, slots: 5, speed: 4, oneWay: time.Millisecond, work: 40 * time.Millisecond, reports: 280 * time.Millisecond},
	{name: "huron", endpoints: 7, slots: 9, speed: 4, oneWay: time.Millisecond / 2, work: 40 * time.Millisecond, reports: 280 * time.Millisecond},
}

// benchVariants are the profiles and what they are sensitive to.
func benchVariants() []profile {
	out := slices.Clone(benchProfiles)
	for _, p := range benchProfiles {
		vary := func(name string, change func(*profile)) {
			v := p
			v.name = p.name + ", " + name
			change(&v)
			out = append(out, v)
		}
		vary("no loads on answers", func(v *profile) { v.noLoads = true })
		vary("reports each 1 s, no loads", func(v *profile) { v.reports = time.Second; v.noLoads = true })
		vary("work 10 ms, no loads", func(v *profile) { v.work = 10 * time.Millisecond; v.noLoads = true })
		vary("work 200 ms, no loads", func(v *profile) { v.work = 200 * time.Millisecond; v.noLoads = true })
		vary("60 endpoints, no loads", func(v *profile) { v.endpoints = 60; v.noLoads = true })
	}
	return out
}

// policy places the requests of the bench.
type policy string

const (
	policyEngine  policy = "engine"
	policyHashing policy = "plain hashing"
	policyTwo     policy = "random choice of two"
	policyCentral policy = "central queue"
)

const (
	benchDeadlines = 10 // deadline in mean service times at speed 1
	benchWarmup    = 5 * time.Second
	benchFanout    = 6 // peers that get one report
)

// TestPolicyMeetsTargets checks the stated targets in virtual time.
func TestPolicyMeetsTargets(t *testing.T) {
	for _, p := range benchProfiles {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			normal := runBench(p, policyEngine, 0.8, 20*time.Second, 1)
			is.True(normal.imbalance <= 1.10) // at 80% load
			over := runBench(p, policyEngine, 3, 10*time.Second, 1)
			is.True(over.goodput >= 0.95) // at 3 times the capacity
			is.True(over.p99 <= 1)        // of the deadline
			is.True(over.asked <= 1)      // runs and relays for each offered request
			plain := runBench(p, policyHashing, 0.8, 20*time.Second, 1)
			is.True(plain.imbalance > 1.10) // the bench tells policies apart
		})
	}
}

// TestPolicyTable prints the figures of all policies and variants:
//
//	CROCUS_POLICY=all go test ./internal/request -run TestPolicyTable -v
func TestPolicyTable(t *testing.T) {
	only := os.Getenv("CROCUS_POLICY")
	if only == "" {
		t.Skip("set CROCUS_POLICY=all, or to the name of one policy")
	}
	for _, pol := range []policy{policyHashing, policyTwo, policyCentral, policyEngine} {
		variants := benchProfiles
		if pol == policyEngine {
			variants = benchVariants()
		}
		for _, p := range variants {
			for _, load := range []float64{0.8, 3} {
				if only == "all" || only == string(pol) {
					logFigures(t, p, pol, load)
				}
			}
		}
	}
}

func logFigures(t *testing.T, p profile, pol policy, load float64) {
	f := runBench(p, pol, load, 20*time.Second, 1)
	t.Logf("%-21s %-34s load %.1f imbalance %.3f goodput %.3f late %.4f p99 %.2f relays %.3f asked %.3f refused %.3f",
		pol, p.name, load, f.imbalance, f.goodput, f.late, f.p99, f.relays, f.asked, f.refused)
}
