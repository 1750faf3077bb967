package passthrough

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

func (a *Keeper) load() flow.Load { return flow.Load{Busy: a.average, Failing: a.outcomes.Failing()} }

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
func (r *reporter) due(now time.Time, l flow.Load) bool {
	if age := now.Sub(r.told); age < reportPeriod || age >= reportRefresh {
		return age >= reportRefresh
	}
	return math.Abs(l.Busy-r.load.Busy) >= max(reportChange, reportShare*r.load.Busy) ||
		math.Abs(l.Failing-r.load.Failing) >= reportFailing
}

// Tick averages and reports the load and forgets old flows.
func (a *Keeper) Tick(now time.Time) {
	a.average += (float64(a.busy) - a.average) * loadShare
	a.outcomes.Tick()
	a.judge()
	a.listen(now)
	for _, entry := range slices.SortedFunc(maps.Keys(a.reporters), flow.End.Compare) {
		r := a.reporters[entry]
		if now.Sub(r.seen) > reporterLife {
			delete(a.reporters, entry)
			continue
		}
		if l := a.load(); r.due(now, l) {
			r.told, r.load = now, l
			a.Out.Tell(entry, &Message{Kind: KindLoad, Load: l})
		}
	}
	if now.Sub(a.swept) >= sweepPeriod {
		a.swept = now
		a.sweep(now)
	}
}

// judge says when requests begin or cease to fail at the upstream.
func (a *Keeper) judge() {
	share := a.outcomes.Failing()
	switch {
	case !a.failing && share > failingAbove:
		a.failing = true
		a.Observe(Decision{What: DecisionFailing, Tries: int(100 * share)})
	case a.failing && share < failingBelow:
		a.failing = false
		a.Observe(Decision{What: DecisionWorks, Tries: int(100 * share)})
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
		if f.state == keptOpening && now.Sub(f.seen) > openingLife {
			a.outcomes.Failed()
			a.forget(k, f)
		}
		if now.Sub(f.seen) > limit {
			a.forget(k, f)
		}
		if f.busy && now.Sub(f.asked) > busyLife {
			a.failed(f)
		}
	}
	for k, at := range a.denied {
		if now.Sub(at) > probeMemory {
			delete(a.denied, k)
		}
	}
}
