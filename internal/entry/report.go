package entry

import (
	"fmt"
	"log/slog"
	"time"

	"crocusnotch/internal/explain"
	"crocusnotch/internal/routing"
)

// reporter logs and records what changed from one table to the next.
type reporter struct {
	log      *slog.Logger
	events   *explain.Ring
	revision uint64
	out      map[string]bool            // zones by name
	services map[uint16]routing.Summary // by service ID
}

func newReporter(log *slog.Logger, events *explain.Ring) *reporter {
	return &reporter{
		log:      log,
		events:   events,
		out:      map[string]bool{},
		services: map[uint16]routing.Summary{},
	}
}

func (r *reporter) report(now time.Time, t *routing.Table) {
	r.reportConfig(now, t)
	r.reportZones(now, t)
	r.reportServices(now, t)
}

func (r *reporter) reportConfig(now time.Time, t *routing.Table) {
	revision := t.Fleet().Revision
	if revision == r.revision {
		return
	}
	what := fmt.Sprintf("revision %d to %d", r.revision, revision)
	r.change(now, explain.SubjectConfig, "fleet", what, "adopted")
	r.revision = revision
}

func (r *reporter) reportZones(now time.Time, t *routing.Table) {
	for _, z := range t.Fleet().Zones {
		if z.Out == r.out[z.Name] {
			continue
		}
		what := "in"
		if z.Out {
			what = "out"
		}
		why := fmt.Sprintf("configuration revision %d", r.revision)
		r.change(now, explain.SubjectZone, z.Name, what, why)
		r.out[z.Name] = z.Out
	}
}

func (r *reporter) reportServices(now time.Time, t *routing.Table) {
	for id, s := range t.Fleet().Services {
		before, after := r.services[id], t.Summary(id)
		if before == after {
			continue
		}
		r.services[id] = after
		why := fmt.Sprintf("%d ready, %d suspected", after.Ready, after.Suspected)
		if (before.Candidates == 0) != (after.Candidates == 0) {
			what := fmt.Sprintf("candidates %d to %d", before.Candidates, after.Candidates)
			r.change(now, explain.SubjectService, s.Name, what, why)
		}
		if before.SuspicionIgnored != after.SuspicionIgnored {
			what := fmt.Sprintf("suspicion ignored %t", after.SuspicionIgnored)
			r.change(now, explain.SubjectService, s.Name, what, why)
		}
		if before.OtherRegions != after.OtherRegions {
			what := fmt.Sprintf("other regions used %t", after.OtherRegions)
			r.change(now, explain.SubjectService, s.Name, what, why)
		}
	}
}

func (r *reporter) change(now time.Time, subject explain.Subject, name, what, why string) {
	r.events.Add(now, subject, name, what, why)
	r.log.Info("change", "subject", subject, "name", name, "what", what, "why", why)
}
