package flow

import (
	"slices"
	"time"
)

// medianServiceTime returns the median of the service times that agents with few slots
// reported, or 0 if placement does not use them. All agents of a large service are
// sampled as in Choose.
func (p *Placement) medianServiceTime(now time.Time, agents []Agent) time.Duration {
	if p.scarceSlots == 0 {
		return 0
	}
	var known []time.Duration
	for i := 0; i < len(agents); i += max(1, len(agents)/sampleSize) {
		l := p.loads[agents[i].Addr]
		if l != nil && agents[i].Slots <= p.scarceSlots && now.Sub(l.serviceTimeAt) < ReportTTL {
			known = append(known, l.report.ServiceTime)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// recordServiceTime completes a report without a service time by the last one. The
// answers to openings are such reports: their averaged load does not contain the openings
// yet, so these still count until the next report with a service time.
func (a *agentLoad) recordServiceTime(now time.Time, l *Load) {
	switch {
	case l.ServiceTime > 0:
		a.serviceTimeAt, a.sinceThen = now, 0
	case now.Sub(a.serviceTimeAt) < ReportTTL:
		l.ServiceTime = a.report.ServiceTime
	}
}

// expectedWait returns the number of requests at an agent, including the new one, times its
// service time, in units of the median. Divided by the slots it is the wait for an answer.
// An agent without a known service time is taken to have the median.
func expectedWait(now time.Time, l *agentLoad, median time.Duration) float64 {
	requests := 1.0
	serviceTime := median
	if now.Sub(l.reportedAt) < ReportTTL {
		requests += l.report.Busy
	}
	if now.Sub(l.serviceTimeAt) < ReportTTL {
		requests += float64(l.sinceThen)
		serviceTime = l.report.ServiceTime
	} else {
		requests += float64(l.openings)
	}
	return requests * float64(serviceTime) / float64(median)
}
