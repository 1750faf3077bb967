package passthrough

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

func (a *Tracker) load() flow.Load {
	return flow.Load{Busy: a.average, FailureRate: a.outcomes.FailureRate()}
}

func (a *Tracker) noteReporter(now time.Time, entry flow.Endpoint) {
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
		math.Abs(l.FailureRate-r.load.FailureRate) >= reportFailing
}

// Tick averages and reports the load and forgets old flows.
func (a *Tracker) Tick(now time.Time) {
	a.average += (float64(a.busy) - a.average) * loadShare
	a.outcomes.Tick()
	a.judge()
	a.listen(now)
	for _, entry := range slices.SortedFunc(maps.Keys(a.reporters), flow.Endpoint.Compare) {
		r := a.reporters[entry]
		if now.Sub(r.seen) > reporterLife {
			delete(a.reporters, entry)
			continue
		}
		if l := a.load(); r.due(now, l) {
			r.told, r.load = now, l
			a.Out.SendMessage(entry, &Message{Kind: KindLoad, Load: l})
		}
	}
	if now.Sub(a.swept) >= sweepPeriod {
		a.swept = now
		a.sweep(now)
	}
}

// judge says when requests begin or cease to fail at the upstream.
func (a *Tracker) judge() {
	share := a.outcomes.FailureRate()
	switch {
	case !a.failing && share > failingAbove:
		a.failing = true
		a.Observe(Decision{Kind: DecisionFailing, Tries: int(100 * share)})
	case a.failing && share < failingBelow:
		a.failing = false
		a.Observe(Decision{Kind: DecisionRecovered, Tries: int(100 * share)})
	}
}

// listen takes an upstream that has given no sign of life for long for ended.
func (a *Tracker) listen(now time.Time) {
	a.quiet++
	if a.unanswered > 0 {
		a.unanswered++
	}
	absent := a.upstream.Last().StartMillis == 0 && time.Duration(a.unanswered)*tickPeriod > probeWait
	if a.silent || !absent && time.Duration(a.quiet)*tickPeriod <= a.UpstreamTimeout {
		return
	}
	a.silent = true
	a.Observe(Decision{Kind: DecisionUpstreamTimeout, Tries: len(a.flows)})
	if born := a.upstream.Last().StartMillis; born != 0 {
		a.endAll(born, now)
	}
}

func (a *Tracker) sweep(now time.Time) {
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
