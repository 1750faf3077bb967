package passthrough

import (
	"math"

	"crocusnotch/internal/flow"
)

// returnsPerSlot is the number of flows without an owner that entries together reset in a
// tick, for each slot of the upstreams: twelve a second, a third of the requests that a
// slot serves. After a loss of power the callers of all flows would otherwise come back
// in the same moment, and new requests would wait behind them.
const returnsPerSlot = 0.3

// returns paces the resets of flows that no agent owns, so that their callers come back
// at a rate that the upstreams can serve.
type returns struct {
	pending []flow.Key // oldest first
	perTick int
}

// setCapacity sets the rate by the slots of all upstreams and the number of entries among
// which the callers are divided.
func (p *returns) setCapacity(slots, entries int) {
	share := returnsPerSlot * float64(slots) / float64(max(1, entries))
	p.perTick = max(1, int(math.Ceil(share)))
}

func (p *returns) add(k flow.Key) { p.pending = append(p.pending, k) }

// next removes the flows to reset in this tick and returns them.
func (p *returns) next() []flow.Key {
	n := min(len(p.pending), max(1, p.perTick))
	due := p.pending[:n]
	p.pending = p.pending[n:]
	if len(p.pending) == 0 {
		p.pending = nil
	}
	return due
}

// setReturnRate adapts the pace of returns to the view.
func (r *Router) setReturnRate() {
	slots := 0
	for _, agents := range r.view.Agents {
		for i := range agents {
			slots += agents[i].Slots
		}
	}
	r.returns.setCapacity(slots, len(r.view.Entries))
}

// resetUnowned resets the flows whose turn it is. A flow that was opened again meanwhile
// is left alone.
func (r *Router) resetUnowned() {
	for _, k := range r.returns.next() {
		if f := r.flows[k]; f != nil && f.state == stateUnowned && f.resetPending {
			f.resetPending = false
			r.out.Reset(k, f.resetSeq)
		}
	}
}
