package entry

import (
	"fmt"
	"log/slog"
	"time"

	"crocusnotch/internal/explain"
	"crocusnotch/internal/routing"
)

// reporter logs the changes from one table to the next, and adds those of
// services to the events, because the fleet node does not record them.
type reporter struct {
	log      *slog.Logger
	events   *explain.Ring
	out      map[uint8]bool             // zones that are out, by ID
	services map[uint16]routing.Summary // by service ID
}

func newReporter(log *slog.Logger, events *explain.Ring) *reporter {
	return &reporter{
		log:      log,
		events:   events,
		out:      map[uint8]bool{},
		services: map[uint16]routing.Summary{},
	}
}

func (r *reporter) report(now time.Time, t *routing.Table) {
	r.reportZones(t)
	r.reportServices(now, t)
}

func (r *reporter) reportZones(t *routing.Table) {
	for id, z := range t.Config().Zones {
		if z.Out != r.out[id] {
			r.log.Info("zone changed", "zone", z.Name, "out", z.Out)
			r.out[id] = z.Out
		}
	}
}

func (r *reporter) reportServices(now time.Time, t *routing.Table) {
	for id, s := range t.Config().Services {
		before, after := r.services[id], t.Summary(id)
		if before == after {
			continue
		}
		r.services[id] = after
		why := fmt.Sprintf("%d ready, %d suspected", after.Ready, after.Suspected)
		if (before.Candidates == 0) != (after.Candidates == 0) {
			r.change(now, s.Name, fmt.Sprintf("candidates %d to %d", before.Candidates, after.Candidates), why)
		}
		if before.SuspicionIgnored != after.SuspicionIgnored {
			r.change(now, s.Name, fmt.Sprintf("suspicion ignored %t", after.SuspicionIgnored), why)
		}
		if before.OtherRegions != after.OtherRegions {
			r.change(now, s.Name, fmt.Sprintf("other regions used %t", after.OtherRegions), why)
		}
	}
}

func (r *reporter) change(now time.Time, service, what, why string) {
	r.events.Add(now, explain.SubjectService, service, what, why)
	r.log.Info("service changed", "service", service, "what", what, "why", why)
}
