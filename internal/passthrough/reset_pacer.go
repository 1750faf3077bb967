package passthrough

import (
	"math"

	"crocusnotch/internal/flow"
)

// resetsPerSlot is the number of flows without an owner that entries together reset in a
// tick, for each slot of the upstreams: twelve a second, a third of the requests that a
// slot serves. After a loss of power the callers of all flows would otherwise come back
// in the same moment, and new requests would wait behind them.
const resetsPerSlot = 0.3

// resetPacer spreads the resets of flows that no agent owns, so that their callers come
// back at a rate that the upstreams can serve.
type resetPacer struct {
	pending []flow.Key // oldest first
	perTick int
}

// setCapacity sets the rate by the slots of all upstreams and the number of entries among
// which the callers are divided.
func (p *resetPacer) setCapacity(slots, entries int) {
	share := resetsPerSlot * float64(slots) / float64(max(1, entries))
	p.perTick = max(1, int(math.Ceil(share)))
}

func (p *resetPacer) add(k flow.Key) { p.pending = append(p.pending, k) }

// next removes the flows to reset in this tick and returns them.
func (p *resetPacer) next() []flow.Key {
	n := min(len(p.pending), max(1, p.perTick))
	due := p.pending[:n]
	p.pending = p.pending[n:]
	if len(p.pending) == 0 {
		p.pending = nil
	}
	return due
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

// resetUnowned resets the flows whose turn it is. A flow that was opened again meanwhile
// is left alone.
func (r *Router) resetUnowned() {
	for _, k := range r.resets.next() {
		if f := r.flows[k]; f != nil && f.state == stateUnowned && f.resetPending {
			f.resetPending = false
			r.out.Reset(k, f.resetSeq)
		}
	}
}
