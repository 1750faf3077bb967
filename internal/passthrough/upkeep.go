package passthrough

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

func (a *Keeper) load() flow.Load { return flow.Load{Busy: a.average, Flows: len(a.flows)} }

func (a *Keeper) noteReporter(now time.Time, entry flow.End) {
	r := a.reporters[entry]
	if r == nil {
		if len(a.reporters) >= maxReporters {
			return
		}
		r = &reporter{}
		a.reporters[entry] = r
	}
	r.seen = now
}

// due reports whether the entry is told of the load.
func (r *reporter) due(now time.Time, busy float64) bool {
	if age := now.Sub(r.told); age < reportPeriod || age >= reportRefresh {
		return age >= reportRefresh
	}
	return math.Abs(busy-r.busy) >= max(reportChange, reportShare*r.busy)
}

// Tick averages and reports the load and forgets old flows.
func (a *Keeper) Tick(now time.Time) {
	a.average += (float64(a.busy) - a.average) * loadShare
	a.listen(now)
	for _, entry := range slices.SortedFunc(maps.Keys(a.reporters), flow.End.Compare) {
		r := a.reporters[entry]
		if now.Sub(r.seen) > reporterLife {
			delete(a.reporters, entry)
			continue
		}
		if r.due(now, a.average) {
			r.told, r.busy = now, a.average
			a.Out.Tell(entry, &Message{Kind: KindLoad, Load: a.load()})
		}
	}
	if now.Sub(a.swept) >= sweepPeriod {
		a.swept = now
		a.sweep(now)
	}
}

// listen takes an upstream that has given no sign of life for long for ended.
func (a *Keeper) listen(now time.Time) {
	a.quiet++
	if a.unanswered > 0 {
		a.unanswered++
	}
	absent := a.upstream.Last().Born == 0 && time.Duration(a.unanswered)*tickPeriod > probeWait
	if a.silent || !absent && time.Duration(a.quiet)*tickPeriod <= a.Silence {
		return
	}
	a.silent = true
	a.Observe(Decision{What: DecisionSilent, Tries: len(a.flows)})
	if born := a.upstream.Last().Born; born != 0 {
		a.endAll(born, now)
	}
}

func (a *Keeper) sweep(now time.Time) {
	for k, f := range a.flows {
		limit := a.idle + closedLife
		if f.state == keptProbing {
			limit = probeMemory
		}
		if now.Sub(f.seen) > limit {
			a.forget(k, f)
		}
		if f.busy && now.Sub(f.asked) > busyLife {
			a.answered(f)
		}
	}
	for k, at := range a.denied {
		if now.Sub(at) > probeMemory {
			delete(a.denied, k)
		}
	}
}
