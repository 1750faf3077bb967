package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/fabric"
	"crocusnotch/internal/standin/store"
)

const reportMode = 0o644

// maxFalseRefusals bounds what the report lists of false refusals.
const maxFalseRefusals = 20

// What one process cannot tell apart.
var notes = []string{
	"rss_mb and cpu_percent are of the one process that runs everything: entries, agents and the stand-ins",
	"control_cpu_percent is null: the processor time of control cannot be separated within one process",
	"control_bytes_per_second is the greatest of any process of the role, both directions, membership and jsonrpc2 as its status counts them",
	"imbalance_baselines_simulated are of a simulation with the scenario's first load factor, without faults, network and refusals",
	"imbalance compares warm upstreams in service over windows of 5 s; imbalance_whole over the whole run",
}

// Report is what a run showed. Null figures were not measured.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Scale    float64 `json:"scale"`
	Seconds  float64 `json:"seconds"`

	FlowsOpened   uint64                  `json:"flows_opened"`
	FlowsFailed   uint64                  `json:"flows_failed"`
	FlowsMoved    uint64                  `json:"flows_moved"`
	FlowsOpen     int                     `json:"flows_open_at_end"`
	FlowsBroken   map[caller.Cause]uint64 `json:"flows_broken"`
	BrokenBy      map[string]uint64       `json:"flows_broken_by_error"`
	StreamsOpened uint64                  `json:"streams_opened"`
	StreamsBroken map[caller.Cause]uint64 `json:"streams_broken"`

	Requests    uint64            `json:"requests"`
	Attempts    uint64            `json:"attempts"`
	NotSent     uint64            `json:"requests_not_sent"`
	Outcomes    map[string]uint64 `json:"outcomes"`
	Refusals    map[string]uint64 `json:"refused_attempts"`
	DoubledRuns uint64            `json:"doubled_runs"`
	FalseNotRun uint64            `json:"false_not_run"`
	// FalseRefusals are the first attempts that FalseNotRun counts.
	FalseRefusals []caller.Refusal `json:"false_refusals"`
	WrongService  uint64           `json:"wrong_service_packets"`
	Crossed       uint64           `json:"crossed_answers"`
	Truncated     uint64           `json:"truncated_as_success"`
	LatencyMillis map[string]int64 `json:"latency_ms"`

	Imbalance      map[string]float64 `json:"imbalance"`
	ImbalanceWhole map[string]float64 `json:"imbalance_whole"`
	// Baselines are simulated imbalances by policy and service.
	Baselines map[string]map[string]Simulated `json:"imbalance_baselines_simulated"`

	ZoneOutSeconds *float64 `json:"zone_out_last_packet_seconds"`
	ZoneOutBy      string   `json:"zone_out_last_packet_by,omitempty"` // data address
	ZoneBackRatio  *float64 `json:"zone_back_success_ratio"`
	InForceSeconds *float64 `json:"config_in_force_seconds"`

	// OverloadGoodput is the share of the capacity that ran while the load
	// factor was above 1.
	OverloadGoodput *float64 `json:"overload_goodput"`

	ColdOverload  uint64 `json:"cold_overload_requests"`
	ColdSurprise  uint64 `json:"cold_overload_requests_without_warning"`
	SlotsExceeded uint64 `json:"requests_above_slots"`
	AfterLeaving  uint64 `json:"requests_after_leaving"`
	UpstreamShed  uint64 `json:"upstream_shed"`
	UpstreamRan   uint64 `json:"upstream_ran"`

	ControlBytes   map[string]float64 `json:"control_bytes_per_second"`
	ControlPercent *float64           `json:"control_cpu_percent"`
	ProcessPercent float64            `json:"cpu_percent"`
	ResidentMB     map[string]float64 `json:"rss_mb"`

	Store  store.Counts  `json:"store"`
	Fabric fabric.Counts `json:"fabric"`
	Steps  []StepTaken   `json:"steps"`
	Faults []string      `json:"step_failures"`
	Notes  []string      `json:"notes"`

	series []*series
}

// StepTaken is a step and when it was taken.
type StepTaken struct {
	Seconds float64 `json:"seconds"`
	Step    string  `json:"step"`
}

// report collects the figures while the fleet still runs.
func (r *run) report(ctx context.Context, cpuShare float64) *Report {
	w := r.world
	t := w.callers.Totals()
	up := w.upstreamCounts()
	out := &Report{
		Scenario: w.scenario.Name, Seed: w.scenario.Seed, Scale: w.scale, Seconds: r.elapsed.Seconds(),
		FlowsOpened: t.FlowsOpened, FlowsFailed: t.FlowsFailed, FlowsMoved: t.FlowsReplaced,
		FlowsOpen: r.openFlows(), FlowsBroken: t.FlowsBroken, BrokenBy: t.FlowsBrokenByError,
		StreamsOpened: t.StreamsOpened, StreamsBroken: t.StreamsBroken,
		Requests: t.Requests, Attempts: t.Attempts, NotSent: r.notSent.Load(),
		Outcomes: t.Outcomes, Refusals: t.Refusals,
		DoubledRuns:  w.runs.Duplicates(),
		WrongService: t.WrongService, Crossed: t.Mismatched, Truncated: t.Truncated,
		LatencyMillis: map[string]int64{
			"p50": t.LatencyMicros.ValueAtQuantile(50) / 1000,
			"p99": t.LatencyMicros.ValueAtQuantile(99) / 1000,
		},
		ColdOverload: up.ColdOverload, ColdSurprise: up.UnannouncedColdOverload, SlotsExceeded: up.SlotsExceeded,
		AfterLeaving: up.StartedAfterLeaving, UpstreamShed: up.Shed, UpstreamRan: up.Started,
		ControlBytes:   w.controlRates(ctx),
		ProcessPercent: 100 * cpuShare,
		ResidentMB:     map[string]float64{"process": residentMB()},
		Store:          w.store.Counts(), Fabric: w.fabric.Counts(), Notes: notes,
	}
	for _, c := range []caller.Cause{caller.CausePlanned, caller.CauseCrash, caller.CauseZone} {
		out.FlowsBroken[c] += 0 // present also when none broke
		out.StreamsBroken[c] += 0
	}
	falsified := w.refused.falsified(w.runs)
	out.FalseNotRun = uint64(len(falsified))
	out.FalseRefusals = falsified[:min(len(falsified), maxFalseRefusals)]
	out.Imbalance, out.ImbalanceWhole = r.imbalance()
	out.Baselines = w.scenario.baselines()
	r.addSteps(out)
	return out
}

func (r *run) addSteps(out *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zoneOutSeen {
		out.ZoneOutSeconds, out.ZoneOutBy = &r.zoneOut, r.zoneOutBy
	}
	if r.zoneSeen {
		out.ZoneBackRatio = &r.zoneRatio
	}
	if r.inForceSeen {
		out.InForceSeconds = &r.inForce
	}
	r.overload.end(time.Now(), out.Outcomes["ran"])
	out.OverloadGoodput = r.overload.goodput(r.world.scenario)
	for _, m := range r.marks {
		out.Steps = append(out.Steps, StepTaken{Seconds: m.At.Seconds(), Step: m.Text})
	}
	out.Faults = r.faults
	out.series = r.order
}

// Write puts the report into a JSON file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.WriteFile(path, append(data, '\n'), reportMode); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(t, "%s\t%v\n", name, v) }
	row("scenario", fmt.Sprintf("%s, seed %d, scale %g, %.0f s", r.Scenario, r.Seed, r.Scale, r.Seconds))
	row("flows opened / failed / moved / open", fmt.Sprintf("%d / %d / %d / %d", r.FlowsOpened, r.FlowsFailed, r.FlowsMoved, r.FlowsOpen))
	row("flows broken", list(r.FlowsBroken))
	row("long streams opened", r.StreamsOpened)
	row("long streams broken", list(r.StreamsBroken))
	row("requests / attempts / not sent", fmt.Sprintf("%d / %d / %d", r.Requests, r.Attempts, r.NotSent))
	row("outcomes", list(r.Outcomes))
	row("refused attempts", list(r.Refusals))
	row("latency of what ran, p50 / p99 ms", fmt.Sprintf("%d / %d", r.LatencyMillis["p50"], r.LatencyMillis["p99"]))
	row("doubled runs / false not-run", fmt.Sprintf("%d / %d", r.DoubledRuns, r.FalseNotRun))
	row("wrong service / crossed / truncated", fmt.Sprintf("%d / %d / %d", r.WrongService, r.Crossed, r.Truncated))
	row("imbalance, windows of 5 s", figures(r.Imbalance))
	row("imbalance, whole run", figures(r.ImbalanceWhole))
	for _, name := range slices.Sorted(maps.Keys(r.Baselines)) {
		row("  simulated, "+name, simulatedFigures(r.Baselines[name]))
	}
	row("zone out, last packet after s", figure(r.ZoneOutSeconds))
	row("zone back, share of requests that ran", figure(r.ZoneBackRatio))
	row("configuration in force after s", figure(r.InForceSeconds))
	row("goodput above capacity, share of it", figure(r.OverloadGoodput))
	row("cold overload announced / without warning", fmt.Sprintf("%d / %d", r.ColdOverload, r.ColdSurprise))
	row("requests above slots / after leaving", fmt.Sprintf("%d / %d", r.SlotsExceeded, r.AfterLeaving))
	row("control bytes a second, greatest", figures(r.ControlBytes))
	row("whole process: CPU % / MB", fmt.Sprintf("%.0f / %.0f", r.ProcessPercent, r.ResidentMB["process"]))
	for _, f := range r.FalseRefusals {
		row("false not-run", fmt.Sprintf("%s attempt %d of %s: %s", f.Path, f.Attempt, f.ID, f.Reason))
	}
	for _, f := range r.Faults {
		row("step failed", f)
	}
	_ = t.Flush()
}

func list[K ~string](m map[K]uint64) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %d  ", k, m[k])
	}
	return text
}

func figures(m map[string]float64) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %.3f  ", k, m[k])
	}
	return text
}

func simulatedFigures(m map[string]Simulated) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %.3f windowed, %.3f whole  ", k, m[k].Windowed, m[k].Whole)
	}
	return text
}

func figure(v *float64) string {
	if v == nil {
		return "not measured"
	}
	return fmt.Sprintf("%.3f", *v)
}
