package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

const (
	// resetsPerSlot is the number of flows without an owner that entries together reset in
	// a tick, for each slot of the upstreams: twelve a second, a third of the requests that
	// a slot serves. After a loss of power the callers of all flows would otherwise come
	// back in the same moment, and new requests would wait behind them.
	resetsPerSlot = 0.3
	// inTimeDivisor divides the target of a route: a caller whose packet arrived longer ago
	// has too little time left for its next attempt to be served within the target.
	inTimeDivisor = 2
	// maxResetWait is the longest time that a flow without an owner waits for its reset:
	// deadlines of callers are 1.5 s and more.
	maxResetWait = 2 * time.Second
)

// Reasons of DecisionReset.
const (
	resetInTime  = "in-time" // the caller can still be served within the target of its route
	resetLate    = "late"
	resetOverdue = "overdue" // the flow has waited for maxResetWait
)

// pendingReset is a flow that waits for its reset.
type pendingReset struct {
	key      flow.Key
	openedAt time.Time     // when its first packet was seen here
	addedAt  time.Time     // when it turned out to have no owner
	target   time.Duration // of its route, 0 if none is stated
	service  string        // that serves the caller's next attempt
}

// inTime reports whether the caller can still be served within the target.
func (p *pendingReset) inTime(now time.Time) bool {
	return now.Sub(p.openedAt) < p.target/inTimeDivisor
}

// dueReset is a flow whose turn it is to be reset.
type dueReset struct {
	key    flow.Key
	reason string
}

// resetPacer spreads the resets of flows that no agent owns, so that their callers come
// back at a rate that the upstreams can serve. Callers that can still be served in time
// come first, at that rate and within the capacity that is free besides; the others get
// what is left of the rate.
type resetPacer struct {
	inTime  []pendingReset
	late    []pendingReset     // ordered by addedAt
	perTick int                // resets of late flows in a tick
	credit  map[string]float64 // by service: resets of flows in time that the last ticks left over
}

// setCapacity sets the rate of late flows by the slots of all upstreams and the number of
// entries among which the callers are divided.
func (p *resetPacer) setCapacity(slots, entries int) {
	share := resetsPerSlot * float64(slots) / float64(max(1, entries))
	p.perTick = max(1, int(math.Ceil(share)))
}

// add adds a flow. addedAt must not be before that of earlier flows.
func (p *resetPacer) add(f pendingReset) {
	if f.inTime(f.addedAt) {
		p.inTime = append(p.inTime, f)
		return
	}
	p.late = append(p.late, f)
}

// waiting returns the number of flows that wait for their reset.
func (p *resetPacer) waiting() int { return len(p.inTime) + len(p.late) }

// next removes the flows to reset in this tick and returns them. freePerTick returns the
// number of requests that the free capacity of a service takes in a tick.
func (p *resetPacer) next(now time.Time, freePerTick func(service string) float64) []dueReset {
	rate := max(1, p.perTick)
	due, used := p.nextInTime(now, rate, freePerTick)
	n := min(len(p.late), rate-used)
	for i := range p.late {
		// The next tick would be too late for a flow that is overdue.
		overdue := now.Sub(p.late[i].addedAt) > maxResetWait-tickPeriod
		if i >= n && !overdue {
			break
		}
		reason := resetLate
		if i >= n {
			n, reason = i+1, resetOverdue
		}
		due = append(due, dueReset{p.late[i].key, reason})
	}
	p.late = p.late[n:]
	if len(p.late) == 0 {
		p.late = nil
	}
	return due
}

// nextInTime removes and returns the flows in time that the free capacity and the rate
// take, newest first, and how much of the rate they used. Those that are in time no longer
// join the late ones.
func (p *resetPacer) nextInTime(now time.Time, rate int, freePerTick func(service string) float64) (due []dueReset, used int) {
	pending := p.inTime
	p.inTime = nil
	if len(pending) == 0 {
		p.credit = nil // what was free earlier may be in use now
		return nil, 0
	}
	slices.SortStableFunc(pending, func(a, b pendingReset) int { return b.openedAt.Compare(a.openedAt) })
	credit := map[string]float64{}
	for _, f := range pending {
		if _, known := credit[f.service]; !known {
			free := freePerTick(f.service)
			credit[f.service] = min(p.credit[f.service]+free, max(1, free))
		}
		overdue := now.Sub(f.addedAt) > maxResetWait-tickPeriod // the target is above 6 s
		switch {
		case !f.inTime(now):
			p.addLate(f)
		case credit[f.service] >= 1:
			credit[f.service]--
			due = append(due, dueReset{f.key, resetInTime})
		case used < rate:
			used++
			due = append(due, dueReset{f.key, resetInTime})
		case overdue:
			due = append(due, dueReset{f.key, resetOverdue})
		default:
			p.inTime = append(p.inTime, f)
		}
	}
	p.credit = credit
	return due, used
}

// addLate adds a flow that is in time no longer in its place among the late ones.
func (p *resetPacer) addLate(f pendingReset) {
	i, _ := slices.BinarySearchFunc(p.late, f, func(a, b pendingReset) int {
		return cmp.Or(a.addedAt.Compare(b.addedAt), -1) // after those that were added at the same time
	})
	p.late = slices.Insert(p.late, i, f)
}

// setResetRate adapts the rate of resets to the view.
func (r *Router) setResetRate() {
	slots := 0
	for _, agents := range r.view.Agents {
		for i := range agents {
			slots += agents[i].Slots
		}
	}
	r.resets.setCapacity(slots, len(r.view.Entries))
}

// addReset lets a flow without an owner wait for its reset.
func (r *Router) addReset(now time.Time, k flow.Key, f *routedFlow) {
	p := pendingReset{key: k, openedAt: f.openedAt, addedAt: now}
	if route := r.view.Fleet.Routes[k.Route().AddrPort()]; route != nil {
		p.target, p.service = route.Target(), flow.ServiceOf(route, k)
	}
	r.resets.add(p)
}

// freePerTick returns this entry's share of the requests that the free slots of a service
// take in a tick.
func (r *Router) freePerTick(now time.Time, service string) float64 {
	rate := r.placement.FreeRate(now, r.view.Agents[config.ServiceID(service)])
	return rate * tickPeriod.Seconds() / float64(max(1, len(r.view.Entries)))
}

// resetUnowned resets the flows whose turn it is. A flow that was opened again meanwhile
// is left alone.
func (r *Router) resetUnowned(now time.Time) {
	due := r.resets.next(now, func(service string) float64 { return r.freePerTick(now, service) })
	for _, d := range due {
		if f := r.flows[d.key]; f != nil && f.state == stateUnowned && f.resetPending {
			f.resetPending = false
			r.report(Decision{Kind: DecisionReset, Reason: d.reason, Key: d.key, Age: now.Sub(f.openedAt)})
			r.out.Reset(d.key, f.resetSeq)
		}
	}
}
