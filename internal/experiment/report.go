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

// maxFalseRefusals bounds the false refusals listed in the report.
const maxFalseRefusals = 20

// notes explain how figures of the report were measured.
var notes = []string{
	"rss_mb and cpu_percent are of the one process that runs everything: entries, agents and the stand-ins",
	"control_cpu_percent is null: the processor time of control cannot be separated within one process",
	"control_bytes_per_second is the greatest of any process of the role, both directions, membership and jsonrpc2 as its status counts them",
	"imbalance_baselines_simulated are of a simulation with the scenario's first load factor, without faults, network and refusals",
	"imbalance compares warm upstreams in service over windows of 5 s; imbalance_whole over the whole run",
}

// Report holds the results of a run. Null values were not measured.
type Report struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Scale    float64 `json:"scale"`
	Seconds  float64 `json:"seconds"`

	FlowsOpened        uint64                  `json:"flows_opened"`
	FlowsFailed        uint64                  `json:"flows_failed"`
	FlowsMoved         uint64                  `json:"flows_moved"`
	FlowsOpen          int                     `json:"flows_open_at_end"`
	FlowsBroken        map[caller.Cause]uint64 `json:"flows_broken"`
	FlowsBrokenByError map[string]uint64       `json:"flows_broken_by_error"`
	StreamsOpened      uint64                  `json:"streams_opened"`
	StreamsBroken      map[caller.Cause]uint64 `json:"streams_broken"`

	Requests      uint64            `json:"requests"`
	Attempts      uint64            `json:"attempts"`
	NotSent       uint64            `json:"requests_not_sent"`
	Outcomes      map[string]uint64 `json:"outcomes"`
	Refusals      map[string]uint64 `json:"refused_attempts"`
	DuplicateRuns uint64            `json:"doubled_runs"`
	FalseNotRun   uint64            `json:"false_not_run"`
	// FalseRefusals are the first of the attempts counted by FalseNotRun.
	FalseRefusals       []caller.Refusal `json:"false_refusals"`
	WrongService        uint64           `json:"wrong_service_packets"`
	MismatchedResponses uint64           `json:"crossed_answers"`
	TruncatedAsSuccess  uint64           `json:"truncated_as_success"`
	LatencyMillis       map[string]int64 `json:"latency_ms"`

	Imbalance      map[string]float64 `json:"imbalance"`
	ImbalanceWhole map[string]float64 `json:"imbalance_whole"`
	// Baselines are the simulated imbalances by policy and service.
	Baselines map[string]map[string]SimulatedImbalance `json:"imbalance_baselines_simulated"`

	ZoneOutLastPacketSeconds *float64 `json:"zone_out_last_packet_seconds"`
	ZoneOutLastReceiver      string   `json:"zone_out_last_packet_by,omitempty"` // data address
	ZoneBackSuccessRatio     *float64 `json:"zone_back_success_ratio"`
	ConfigAppliedSeconds     *float64 `json:"config_in_force_seconds"`

	// OverloadGoodput is the rate of requests that ran while the load factor
	// was above 1, as a share of the capacity.
	OverloadGoodput *float64 `json:"overload_goodput"`

	ColdOverload            uint64 `json:"cold_overload_requests"`
	ColdOverloadUnannounced uint64 `json:"cold_overload_requests_without_warning"`
	RequestsAboveSlots      uint64 `json:"requests_above_slots"`
	RequestsAfterDrain      uint64 `json:"requests_after_leaving"`
	UpstreamShed            uint64 `json:"upstream_shed"`
	UpstreamRan             uint64 `json:"upstream_ran"`

	ControlBytes      map[string]float64 `json:"control_bytes_per_second"`
	ControlCPUPercent *float64           `json:"control_cpu_percent"`
	CPUPercent        float64            `json:"cpu_percent"`
	ResidentMB        map[string]float64 `json:"rss_mb"`

	Store        store.Counts   `json:"store"`
	Fabric       fabric.Counts  `json:"fabric"`
	Steps        []ExecutedStep `json:"steps"`
	StepFailures []string       `json:"step_failures"`
	Notes        []string       `json:"notes"`

	series []*series
}

// ExecutedStep is a step and when it was run.
type ExecutedStep struct {
	Seconds float64 `json:"seconds"`
	Step    string  `json:"step"`
}

// report collects the results while the fleet is still running.
func (r *run) report(ctx context.Context, cpuShare float64) *Report {
	tb := r.testbed
	t := tb.callers.Totals()
	counts := tb.upstreamCounts()
	out := &Report{
		Scenario: tb.scenario.Name, Seed: tb.scenario.Seed, Scale: tb.scale, Seconds: r.elapsed.Seconds(),
		FlowsOpened: t.FlowsOpened, FlowsFailed: t.FlowsFailed, FlowsMoved: t.FlowsReplaced,
		FlowsOpen: r.openFlows(), FlowsBroken: t.FlowsBroken, FlowsBrokenByError: t.FlowsBrokenByError,
		StreamsOpened: t.StreamsOpened, StreamsBroken: t.StreamsBroken,
		Requests: t.Requests, Attempts: t.Attempts, NotSent: r.notSent.Load(),
		Outcomes: t.Outcomes, Refusals: t.Refusals,
		DuplicateRuns: tb.runs.Duplicates(),
		WrongService:  t.WrongService, MismatchedResponses: t.Mismatched, TruncatedAsSuccess: t.Truncated,
		LatencyMillis: map[string]int64{
			"p50": t.LatencyMicros.ValueAtQuantile(50) / 1000,
			"p99": t.LatencyMicros.ValueAtQuantile(99) / 1000,
		},
		ColdOverload: counts.ColdOverload, ColdOverloadUnannounced: counts.UnannouncedColdOverload, RequestsAboveSlots: counts.SlotsExceeded,
		RequestsAfterDrain: counts.StartedAfterLeaving, UpstreamShed: counts.Shed, UpstreamRan: counts.Started,
		ControlBytes: tb.controlRates(ctx),
		CPUPercent:   100 * cpuShare,
		ResidentMB:   map[string]float64{"process": residentMB()},
		Store:        tb.store.Counts(), Fabric: tb.fabric.Counts(), Notes: notes,
	}
	for _, c := range []caller.Cause{caller.CausePlanned, caller.CauseCrash, caller.CauseZone} {
		out.FlowsBroken[c] += 0 // report the cause also when no flow broke
		out.StreamsBroken[c] += 0
	}
	falselyNotRun := tb.refusals.falselyNotRun(tb.runs)
	out.FalseNotRun = uint64(len(falselyNotRun))
	out.FalseRefusals = falselyNotRun[:min(len(falselyNotRun), maxFalseRefusals)]
	out.Imbalance, out.ImbalanceWhole = r.imbalance()
	out.Baselines = tb.scenario.baselines()
	r.addStepResults(out)
	return out
}

func (r *run) addStepResults(out *Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zoneOutMeasured {
		out.ZoneOutLastPacketSeconds, out.ZoneOutLastReceiver = &r.zoneOutSeconds, r.zoneOutReceiver
	}
	if r.zoneBackMeasured {
		out.ZoneBackSuccessRatio = &r.zoneBackSuccess
	}
	if r.configAppliedMeasured {
		out.ConfigAppliedSeconds = &r.configAppliedSeconds
	}
	r.overload.endPhase(time.Now(), out.Outcomes["ran"])
	out.OverloadGoodput = r.overload.goodput(r.testbed.scenario)
	for _, m := range r.stepRecords {
		out.Steps = append(out.Steps, ExecutedStep{Seconds: m.At.Seconds(), Step: m.Text})
	}
	out.StepFailures = r.failures
	out.series = r.seriesInOrder
}

// WriteJSON writes the report to a JSON file.
func (r *Report) WriteJSON(path string) error {
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
	row("flows broken", formatCounts(r.FlowsBroken))
	row("long streams opened", r.StreamsOpened)
	row("long streams broken", formatCounts(r.StreamsBroken))
	row("requests / attempts / not sent", fmt.Sprintf("%d / %d / %d", r.Requests, r.Attempts, r.NotSent))
	row("outcomes", formatCounts(r.Outcomes))
	row("refused attempts", formatCounts(r.Refusals))
	row("latency of requests that ran, p50 / p99 ms", fmt.Sprintf("%d / %d", r.LatencyMillis["p50"], r.LatencyMillis["p99"]))
	row("duplicate runs / false not-run", fmt.Sprintf("%d / %d", r.DuplicateRuns, r.FalseNotRun))
	row("wrong service / mismatched / truncated", fmt.Sprintf("%d / %d / %d", r.WrongService, r.MismatchedResponses, r.TruncatedAsSuccess))
	row("imbalance, windows of 5 s", formatValues(r.Imbalance))
	row("imbalance, whole run", formatValues(r.ImbalanceWhole))
	for _, name := range slices.Sorted(maps.Keys(r.Baselines)) {
		row("  simulated, "+name, formatSimulated(r.Baselines[name]))
	}
	row("zone out, seconds until last packet", formatValue(r.ZoneOutLastPacketSeconds))
	row("zone back, share of requests that ran", formatValue(r.ZoneBackSuccessRatio))
	row("configuration applied, seconds", formatValue(r.ConfigAppliedSeconds))
	row("goodput under overload, share of capacity", formatValue(r.OverloadGoodput))
	row("cold overload announced / unannounced", fmt.Sprintf("%d / %d", r.ColdOverload, r.ColdOverloadUnannounced))
	row("requests above slots / after drain", fmt.Sprintf("%d / %d", r.RequestsAboveSlots, r.RequestsAfterDrain))
	row("control bytes per second, maximum", formatValues(r.ControlBytes))
	row("whole process: CPU % / MB", fmt.Sprintf("%.0f / %.0f", r.CPUPercent, r.ResidentMB["process"]))
	for _, f := range r.FalseRefusals {
		row("false not-run", fmt.Sprintf("%s attempt %d of %s: %s", f.Path, f.Attempt, f.ID, f.Reason))
	}
	for _, f := range r.StepFailures {
		row("step failed", f)
	}
	_ = t.Flush()
}

func formatCounts[K ~string](m map[K]uint64) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %d  ", k, m[k])
	}
	return text
}

func formatValues(m map[string]float64) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %.3f  ", k, m[k])
	}
	return text
}

func formatSimulated(m map[string]SimulatedImbalance) string {
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %.3f windowed, %.3f whole  ", k, m[k].Windowed, m[k].WholeRun)
	}
	return text
}

func formatValue(v *float64) string {
	if v == nil {
		return "not measured"
	}
	return fmt.Sprintf("%.3f", *v)
}
