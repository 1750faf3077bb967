package experiment

import (
	"context"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/upstream"
	"crocusnotch/internal/wire"
)

const (
	zoneWatchPeriod   = 6 * time.Second
	zoneWatchInterval = 50 * time.Millisecond
	zoneBackPeriod    = 10 * time.Second
	packetsMetric     = "crocus_agent_packets_total"
	dropsMetric       = "crocus_agent_datagrams_dropped_total"
)

// refusals collects the attempts that got the outcome not-run, to compare them
// with the requests that upstreams ran.
type refusals struct {
	mu   sync.Mutex
	list []caller.Refusal
}

func (r *refusals) add(v caller.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, v)
}

// falselyNotRun returns the refused attempts that ran nevertheless.
func (r *refusals) falselyNotRun(runs *upstream.Runs) []caller.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []caller.Refusal
	for _, v := range r.list {
		if runs.Ran(v.ID, v.Attempt) {
			out = append(out, v)
		}
	}
	return out
}

// lastPacket is when a zone last received a packet, and the data address of the
// process that received it.
type lastPacket struct {
	at time.Time
	by netip.AddrPort
}

// watchZoneOut measures when the zone's entries and agents received their last
// packet after the zone was taken out of service.
func (r *run) watchZoneOut(ctx context.Context, zone string, from time.Time) {
	last := lastPacket{at: from}
	packets := map[*agentInstance]float64{}
	change := r.zoneChanges.Load() // the zone may return to service during the measurement
	for time.Since(from) < zoneWatchPeriod && r.zoneChanges.Load() == change {
		r.testbed.pollZone(zone, packets, &last)
		if !sleepUntil(ctx, time.Now().Add(zoneWatchInterval)) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneOutMeasured = true
	if seconds := last.at.Sub(from).Seconds(); seconds > r.zoneOutSeconds {
		r.zoneOutSeconds, r.zoneOutReceiver = seconds, last.by.String()
	}
}

// pollZone checks the zone's processes once. Agents count their packets in
// metrics; the fabric records when it last sent a packet to an entry.
func (tb *Testbed) pollZone(zone string, packets map[*agentInstance]float64, last *lastPacket) {
	tb.mu.Lock()
	agents, entries := tb.agents, tb.entries
	tb.mu.Unlock()
	for _, a := range agents {
		if a.zone != zone {
			continue
		}
		n := metricSum(a.registry, packetsMetric, "direction", "in") +
			metricSum(a.registry, dropsMetric, "reason", "zone-out")
		if before, seen := packets[a]; seen && n > before {
			*last = lastPacket{time.Now(), a.settings.Data}
		}
		packets[a] = n
	}
	for _, e := range entries {
		if t := tb.fabric.LastSent(e.config.Fabric); e.zone == zone && t.After(last.at) {
			*last = lastPacket{t, e.settings.Data}
		}
	}
}

// startZoneBack records the totals when a zone returns to service.
func (r *run) startZoneBack(t caller.Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneBackStart = &t
	r.zoneBackEnd = time.Now().Add(zoneBackPeriod)
}

// successRatio returns the share of the requests between the two totals that ran.
func successRatio(before, after caller.Totals) float64 {
	ran := after.Outcomes["ran"] - before.Outcomes["ran"]
	var all uint64
	for o, n := range after.Outcomes {
		all += n - before.Outcomes[o]
	}
	if all == 0 {
		return 0
	}
	return float64(ran) / float64(all)
}

// awaitRevision measures the time until all entries and the service's agents
// report in their status that they have applied the revision.
func (r *run) awaitRevision(ctx context.Context, service string, revision uint64, accepted time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, p := range r.testbed.liveProcesses() {
		for p.alive() && !r.testbed.hasApplied(ctx, p, service, revision) {
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				return errors.Errorf("%s has not applied revision %d", p.settings.Data, revision)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configAppliedSeconds = max(r.configAppliedSeconds, time.Since(accepted).Seconds())
	r.configAppliedMeasured = true
	return nil
}

func (tb *Testbed) hasApplied(ctx context.Context, p *process, service string, revision uint64) bool {
	s, err := tb.status(ctx, p)
	if err != nil {
		return false
	}
	affected := s.Agent == nil || s.Agent.Service == service
	return !affected || s.ConfigRevision >= revision
}

func (tb *Testbed) status(ctx context.Context, p *process) (wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s wire.Status
	err := wire.Call(ctx, p.settings.Control, tb.certs.MutualTLS(), wire.MethodStatus, nil, &s)
	return s, err
}

// controlRates returns, per role, the highest rate of control traffic of any
// process, in bytes per second over both directions.
func (tb *Testbed) controlRates(ctx context.Context) map[string]float64 {
	out := map[string]float64{}
	for _, p := range tb.liveProcesses() {
		s, err := tb.status(ctx, p)
		if err != nil {
			continue
		}
		rate := float64(s.ControlBytesIn+s.ControlBytesOut) / time.Since(p.started).Seconds()
		out[s.Role] = max(out[s.Role], rate)
	}
	return out
}

// metricSum returns the sum of a counter over the series whose label has the
// value; an empty label selects all series.
func metricSum(g prometheus.Gatherer, name, label, value string) float64 {
	families, err := g.Gather()
	if err != nil {
		return 0
	}
	var sum float64
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			matches := label == ""
			for _, l := range m.GetLabel() {
				matches = matches || (l.GetName() == label && l.GetValue() == value)
			}
			if matches {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// residentMB returns the resident memory of this process; 0 when unknown.
func residentMB() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
