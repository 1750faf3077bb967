package experiment

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/standin/caller"
)

// Each of up to testNets concurrent test processes uses a /22 of its own.
const (
	testNets     = 60
	testNetSize  = 4
	firstTestNet = 8
)

// testNet returns a loopback network for one test. The second octet separates the
// tests of this process, the third separates test processes on the same machine.
func testNet(octet byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, octet, byte(firstTestNet + testNetSize*(os.Getpid()%testNets)), 0})
}

func testScenario() *Scenario {
	return &Scenario{
		Name: "test", Seed: 1, DurationSeconds: 4, Region: "r", Zones: []string{"a", "b"},
		Entries: 2, LoadFactor: 0.3,
		Services: []Service{{
			Name: "bells", Slots: 5, Flows: 5, Connections: 100, Speeds: []float64{1, 2}, WorkMillis: 20,
			ColdShare: 0.5, WarmUpMillis: 200, StreamShare: 0.5,
			Classes: []Class{
				{Name: "ring", RunAtMostOnce: true, Share: 0.5, Bytes: 200, Work: 1, DeadlineMillis: 10_000},
				{Name: "status", Share: 0.5, Bytes: 40_000, Work: 1, DeadlineMillis: 10_000},
			},
		}},
	}
}

// Replacing an entry must break no flow or stream and must not violate a request
// guarantee, on the full path of callers, fabric, entries, agents and upstreams.
func TestReplacingAnEntryBreaksNoFlows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := testScenario()
	s.Steps = []Step{{AtSeconds: 0.5, Action: ActionReplaceEntry}}
	is.NoErr(s.validate())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := Run(ctx, s, Options{
		Net: testNet(24), Scale: 1, Log: slog.New(slog.DiscardHandler), Progress: io.Discard,
	})
	is.NoErr(err)
	is.Equal(r.FlowsOpen, 10)
	is.Equal(r.FlowsBroken, map[caller.Cause]uint64{"planned": 0, "crash": 0, "zone": 0})
	is.Equal(r.StreamsBroken, map[caller.Cause]uint64{"planned": 0, "crash": 0, "zone": 0})
	is.Equal(r.StreamsOpened, uint64(5))
	is.True(r.Outcomes["ran"] > 0)
	is.Equal(r.DuplicateRuns, uint64(0))
	is.Equal(r.FalseNotRun, uint64(0))
	is.Equal(r.WrongService+r.MismatchedResponses+r.TruncatedAsSuccess, uint64(0))
	is.Equal(r.RequestsAfterDrain, uint64(0))
	is.Equal(len(r.StepFailures), 0)

	dir := t.TempDir()
	is.NoErr(r.WriteJSON(filepath.Join(dir, "report.json")))
	is.NoErr(r.Plot(filepath.Join(dir, "plot.svg")))
}

// Draining, replacing and killing instances one after another, with the store
// down, must not violate a request guarantee, and planned changes must break no
// flow or stream.
func TestGuaranteesDuringDrainsReplacementsAndCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := testScenario()
	s.DurationSeconds = 5
	s.Steps = []Step{
		{AtSeconds: 0.2, Action: ActionDrainUpstream, Service: "bells", Index: 1},
		{AtSeconds: 1, Action: ActionReplaceAgent, Service: "bells", Index: 0},
		{AtSeconds: 2, Action: ActionStoreDown},
		{AtSeconds: 2.5, Action: ActionKillEntry, Index: 0},
		{AtSeconds: 3, Action: ActionKillAgent, Service: "bells", Index: 1},
	}
	is.NoErr(s.validate())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := Run(ctx, s, Options{
		Net: testNet(34), Scale: 1, Log: slog.New(slog.DiscardHandler), Progress: io.Discard,
	})
	is.NoErr(err)
	is.True(r.Outcomes["ran"] > 0)
	is.Equal(r.FlowsBroken[caller.CausePlanned], uint64(0))
	is.Equal(r.StreamsBroken[caller.CausePlanned], uint64(0))
	is.Equal(r.DuplicateRuns, uint64(0))
	is.Equal(r.FalseNotRun, uint64(0))
	is.Equal(r.WrongService+r.MismatchedResponses+r.TruncatedAsSuccess, uint64(0))
	is.Equal(len(r.StepFailures), 0)
}

func TestProfilesAreValid(t *testing.T) {
	for _, name := range []string{"mtkvari", "huron", "hold", "steady", "overload", "drains"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Profile(name)
			is.NoErr(err)
			is.Equal(s.Name, name)
			for _, step := range s.Steps {
				is.True(step.AtSeconds < s.DurationSeconds)
			}
			for _, service := range s.Services {
				var share float64
				for _, c := range service.Classes {
					share += c.Share
				}
				is.Equal(share, 1.0)
			}
		})
	}
}

func TestValidateRejectsInvalidSteps(t *testing.T) {
	cases := []struct {
		name string
		step Step
		want string
	}{
		{"zone", Step{Action: ActionZoneOut, Zone: "c"}, "steps[0]: zone is not one of zones"},
		{"service", Step{Action: ActionKillAgent, Service: "x"}, "steps[0]: service is not one of services"},
		{"endpoint", Step{Action: ActionColdStart, Service: "bells", Index: 2}, "steps[0]: index is not an endpoint of the service"},
		{"entry", Step{Action: ActionKillEntry, Index: 2}, "steps[0]: index is not an entry"},
		{"factor", Step{Action: ActionSetLoadFactor}, "steps[0]: factor is required"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := testScenario()
			s.Steps = []Step{c.step}
			err := s.validate()
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

func TestImbalanceCountsOnlyUpstreamsInService(t *testing.T) {
	is := is.New(t)
	r := &run{testbed: &Testbed{scenario: testScenario()}, elapsed: 2 * imbalanceWindow}
	add := func(name string, utilization float64, inService bool) {
		s := &series{name: name, service: "bells"}
		for at := time.Duration(0); at < r.elapsed; at += sampleInterval {
			s.samples = append(s.samples, sample{at: at, utilization: utilization, inService: inService})
		}
		r.seriesInOrder = append(r.seriesInOrder, s)
	}
	add("a", 0.75, true)
	add("b", 0.25, true)
	add("c", 0, false)
	windowed, wholeRun := r.imbalance()
	is.Equal(windowed["bells"], 1.5)
	is.Equal(wholeRun["bells"], 1.5)
}

// Policies with less information about load must have a higher imbalance, in the
// order central queue, two random choices, hashing.
func TestBaselineImbalanceOrder(t *testing.T) {
	is := is.New(t)
	s, err := Profile("mtkvari")
	is.NoErr(err)
	bells := &s.Services[0]
	value := func(p policy) float64 { return simulate(p, bells, 0.8, time.Minute, 1).Windowed }
	central := value(policyCentral)
	is.True(central >= 1)
	is.True(central < value(policyTwoRandom))
	is.True(value(policyTwoRandom) < value(policyHash))
}
