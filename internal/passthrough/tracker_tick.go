package passthrough

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/flow"
)

func (t *Tracker) currentLoad() flow.Load {
	l := flow.Load{Busy: t.averageBusy, FailureRate: t.outcomes.FailureRate()}
	if t.scarce() {
		l.ServiceTime = t.serviceTimes.Measured()
	}
	return l
}

func (t *Tracker) subscribe(now time.Time, entry flow.Endpoint) {
	s := t.subscribers[entry]
	if s == nil {
		if len(t.subscribers) >= maxSubscribers {
			return
		}
		s = &subscriber{}
		t.subscribers[entry] = s
	}
	s.lastSeen = now
}

// reportDue reports whether a load report to the entry is due.
func (s *subscriber) reportDue(now time.Time, l flow.Load) bool {
	if age := now.Sub(s.reportedAt); age < reportIntervalMin || age >= reportIntervalMax {
		return age >= reportIntervalMax
	}
	return math.Abs(l.Busy-s.reported.Busy) >= max(reportMinChange, reportMinRelativeChange*s.reported.Busy) ||
		math.Abs(l.FailureRate-s.reported.FailureRate) >= reportMinFailureRateChange
}

// Tick updates the averages, checks the upstream, sends load reports and removes
// expired flows.
func (t *Tracker) Tick(now time.Time) {
	t.averageBusy += (float64(t.busyRequests) - t.averageBusy) * loadSmoothing
	t.outcomes.Tick()
	t.checkFailureRate()
	t.checkUpstreamTimeout(now)
	t.endAnsweredFlows(now)
	t.serveWaiting(now)
	for _, entry := range slices.SortedFunc(maps.Keys(t.subscribers), flow.Endpoint.Compare) {
		s := t.subscribers[entry]
		if now.Sub(s.lastSeen) > subscriberTTL {
			delete(t.subscribers, entry)
			continue
		}
		if l := t.currentLoad(); s.reportDue(now, l) {
			s.reportedAt, s.reported = now, l
			t.Out.SendMessage(entry, &Message{Kind: KindLoad, Load: l})
		}
	}
	if now.Sub(t.lastSweep) >= sweepPeriod {
		t.lastSweep = now
		t.sweep(now)
	}
}

// checkFailureRate reports when the upstream starts failing and when it recovers.
func (t *Tracker) checkFailureRate() {
	rate := t.outcomes.FailureRate()
	switch {
	case !t.reportedFailing && rate > failingThreshold:
		t.reportedFailing = true
		t.Observe(Decision{Kind: DecisionFailing, Tries: int(100 * rate)})
	case t.reportedFailing && rate < recoveredThreshold:
		t.reportedFailing = false
		t.Observe(Decision{Kind: DecisionRecovered, Tries: int(100 * rate)})
	}
}

// checkUpstreamTimeout treats an upstream as ended that has sent nothing for longer
// than its timeout, or that has never announced itself and does not answer a probe.
func (t *Tracker) checkUpstreamTimeout(now time.Time) {
	t.quietTicks++
	if t.probeTicks > 0 {
		t.probeTicks++
	}
	absent := t.upstream.Last().StartMillis == 0 && time.Duration(t.probeTicks)*tickPeriod > probeTimeout
	if t.timedOut || !absent && time.Duration(t.quietTicks)*tickPeriod <= t.UpstreamTimeout {
		return
	}
	t.timedOut = true
	t.Observe(Decision{Kind: DecisionUpstreamTimeout, Tries: len(t.flows)})
	if startMillis := t.upstream.Last().StartMillis; startMillis != 0 {
		t.endFlows(startMillis, now)
	}
}

func (t *Tracker) sweep(now time.Time) {
	for k, f := range t.flows {
		limit := t.idleTimeout + closedFlowTTL
		if f.state == trackedProbing {
			limit = returnedTTL
		}
		if f.state == trackedOpening && now.Sub(f.lastSeen) > openingTimeout {
			t.outcomes.Failed()
			t.remove(k, f)
		}
		if now.Sub(f.lastSeen) > limit {
			t.remove(k, f)
		}
		if f.busy && now.Sub(f.requestedAt) > requestTimeout {
			t.requestFailed(f)
		}
	}
	for k, at := range t.returned {
		if now.Sub(at) > returnedTTL {
			delete(t.returned, k)
		}
	}
}
