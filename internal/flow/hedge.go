package flow

import (
	"math"
	"slices"
	"time"
)

const (
	// hedgeDelayMin is the shortest wait for an agent's answer before its opening is
	// hedged: about the interval at which entries check it, and longer than a round
	// trip between zones.
	hedgeDelayMin = 20 * time.Millisecond
	// hedgeDelayMax is the longest wait. The caller's next copy comes after 200 ms, and
	// a hedge must be answered before it.
	hedgeDelayMax = 150 * time.Millisecond
	// hedgeSamples is the number of placement times of which the delay is the 99th
	// percentile: the second or third largest.
	hedgeSamples = 256
	// hedgeMinSamples is the number of placement times below which the longest delay is
	// used, because a percentile of a few is their maximum.
	hedgeMinSamples = 32
	// maxHedgeTokens bounds the hedges that may follow each other without a placement
	// between them: the openings of one agent that stops answering.
	maxHedgeTokens = 8
	// overloadSamples is the number of the latest answers of agents of which the share
	// of busy refusals is taken, and maxBusyShare the share above which there are no
	// hedges: extra openings would prolong an overload.
	overloadSamples = 64
	maxBusyShare    = 0.1
	// pauseGap is the time between two checks, four of their periods, above which this
	// entry has not run: answers of agents may wait unread in its sockets.
	pauseGap = 100 * time.Millisecond
)

// HedgeVerdict says whether an opening may be hedged.
type HedgeVerdict uint8

// Verdicts on a hedge.
const (
	HedgeAllowed  HedgeVerdict = iota
	HedgeNoBudget              // the share of extra openings is used up
	HedgeOff                   // overload, few reports, or this entry was paused
)

// Hedging decides when an opening is offered to a second agent. The budget depends on
// placements only, never on time, so that neither a pause nor a clock step adds to it.
type Hedging struct {
	share           float64
	tokens          float64
	times           []time.Duration // the latest placement times, a ring
	nextTime        int
	delay           time.Duration
	busy            []bool // whether the latest answers were busy refusals, a ring
	nextBusy        int
	overloadedUntil time.Time
	lastCheck       time.Time
	resumedAt       time.Time // the end of the last pause or clock step
}

// NewHedging returns a budget for the share of extra openings.
func NewHedging(share float64) *Hedging { return &Hedging{share: share, delay: hedgeDelayMax} }

// Delay returns how long an agent's answer is waited for before its opening is hedged.
func (h *Hedging) Delay() time.Duration { return h.delay }

// Placed records that an agent accepted an opening after d. Only openings of routes with
// idempotent requests add to the budget.
func (h *Hedging) Placed(d time.Duration, repeatable bool) {
	if repeatable {
		h.tokens = min(h.tokens+h.share, maxHedgeTokens)
	}
	h.times, h.nextTime = push(h.times, h.nextTime, hedgeSamples, max(0, d))
	if len(h.times) >= hedgeMinSamples && h.nextTime%hedgeMinSamples == 0 {
		sorted := slices.Sorted(slices.Values(h.times))
		p99 := sorted[int(math.Ceil(0.99*float64(len(sorted))))-1]
		h.delay = min(max(p99, hedgeDelayMin), hedgeDelayMax)
	}
}

// Answered records an agent's answer to an opening. An overload is taken to last for as
// long as the reports by which its agents were chosen.
func (h *Hedging) Answered(now time.Time, refusal Refusal) {
	h.busy, h.nextBusy = push(h.busy, h.nextBusy, overloadSamples, refusal == RefusalBusy)
	n := 0
	for _, b := range h.busy {
		if b {
			n++
		}
	}
	if refusal == RefusalBusy && float64(n) > maxBusyShare*overloadSamples {
		h.overloadedUntil = now.Add(ReportTTL)
	}
}

func push[T any](ring []T, next, size int, v T) (grown []T, following int) {
	if len(ring) < size {
		ring = append(ring, v)
		return ring, len(ring) % size
	}
	ring[next] = v
	return ring, (next + 1) % size
}

// Check must be called at each tick, before hedges are decided. After a pause or a clock
// step the saved budget is dropped, since many openings seem to wait at once then.
func (h *Hedging) Check(now time.Time) {
	gap := now.Sub(h.lastCheck)
	if !h.lastCheck.IsZero() && (gap < 0 || gap > pauseGap) {
		h.tokens, h.resumedAt = 0, now
		if h.lastCheck.Before(h.overloadedUntil) {
			h.overloadedUntil = now.Add(ReportTTL)
		}
	}
	h.lastCheck = now
}

// Take decides on the hedge of an opening that was offered at offeredAt, and takes it
// from the budget. fresh and agents are the numbers of agents with a fresh report and
// of all that may take the opening.
func (h *Hedging) Take(now, offeredAt time.Time, fresh, agents int) HedgeVerdict {
	switch {
	case now.Before(h.overloadedUntil) || 2*fresh < agents || offeredAt.Before(h.resumedAt) || offeredAt.After(now):
		return HedgeOff
	case h.tokens < 1:
		return HedgeNoBudget
	}
	h.tokens--
	return HedgeAllowed
}
