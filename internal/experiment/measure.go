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

// refusals are the attempts that were answered not-run. They are compared
// with the upstreams' runs at the end.
type refusals struct {
	mu   sync.Mutex
	list []caller.Refusal
}

func (r *refusals) add(v caller.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, v)
}

// falsified returns the refused attempts that ran.
func (r *refusals) falsified(runs *upstream.Runs) []caller.Refusal {
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

// lastPacket is the last packet that a zone received, and the process that
// received it.
type lastPacket struct {
	at time.Time
	by netip.AddrPort
}

// watchZoneOut finds the time of the last packet that the zone's entries and
// agents received after it was taken out.
func (r *run) watchZoneOut(ctx context.Context, zone string, from time.Time) {
	last := lastPacket{at: from}
	packets := map[*agentInstance]float64{}
	move := r.zoneMoves.Load() // the zone may come back while it is watched
	for time.Since(from) < zoneWatchPeriod && r.zoneMoves.Load() == move {
		r.world.watchZone(zone, packets, &last)
		if !sleepUntil(ctx, time.Now().Add(zoneWatchInterval)) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneOutSeen = true
	if seconds := last.at.Sub(from).Seconds(); seconds > r.zoneOut {
		r.zoneOut, r.zoneOutBy = seconds, last.by.String()
	}
}

// watchZone looks once at the zone's processes. Agents tell the number of
// their packets, the fabric tells when it last sent one to an entry.
func (w *Testbed) watchZone(zone string, packets map[*agentInstance]float64, last *lastPacket) {
	w.mu.Lock()
	agents, entries := w.agents, w.entries
	w.mu.Unlock()
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
		if t := w.fabric.LastSent(e.addr.Fabric); e.zone == zone && t.After(last.at) {
			*last = lastPacket{t, e.settings.Data}
		}
	}
}

// zoneBackAt notes the totals when a zone comes back.
func (r *run) zoneBackAt(t caller.Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneBack = &t
	r.zoneBackEnd = time.Now().Add(zoneBackPeriod)
}

// zoneBackRatio is the share of requests that ran after the zone came back.
func zoneBackRatio(before, after caller.Totals) float64 {
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

// awaitForce measures until every process that the service concerns, which are
// all entries and the service's agents, says that the revision is in force.
func (r *run) awaitForce(ctx context.Context, service string, revision uint64, accepted time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for _, p := range r.world.processes() {
		for p.alive() && !r.world.inForce(ctx, p, service, revision) {
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				return errors.Errorf("%s has not revision %d in force", p.settings.Data, revision)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inForce = max(r.inForce, time.Since(accepted).Seconds())
	r.inForceSeen = true
	return nil
}

func (w *Testbed) inForce(ctx context.Context, p *process, service string, revision uint64) bool {
	s, err := w.status(ctx, p)
	if err != nil {
		return false
	}
	concerned := s.Agent == nil || s.Agent.Service == service
	return !concerned || s.ConfigRevision >= revision
}

func (w *Testbed) status(ctx context.Context, p *process) (wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s wire.Status
	err := wire.Call(ctx, p.settings.Control, w.certs.MutualTLS(), wire.MethodStatus, nil, &s)
	return s, err
}

// controlRates returns the greatest bytes a second, both ways, among the
// processes of each role.
func (w *Testbed) controlRates(ctx context.Context) map[string]float64 {
	out := map[string]float64{}
	for _, p := range w.processes() {
		s, err := w.status(ctx, p)
		if err != nil {
			continue
		}
		rate := float64(s.ControlBytesIn+s.ControlBytesOut) / time.Since(p.started).Seconds()
		out[s.Role] = max(out[s.Role], rate)
	}
	return out
}

// metricSum adds up the values of a metric whose label has the value; an
// empty label adds up all.
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

// residentMB is the resident memory of this process; 0 when unknown.
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

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
