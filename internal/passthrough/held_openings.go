package passthrough

import (
	"bytes"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

const (
	// startPeriod is how long after its start an entry may lack routes or agents. They
	// arrive within 0.2 s, also after a loss of power.
	startPeriod = time.Second
	// openingHoldTime is how long an opening packet is kept by an entry that has just
	// started. The caller sends the next copy after 0.2 s.
	openingHoldTime = 200 * time.Millisecond
	// maxHeldOpenings bounds the kept packets, of 36 bytes each.
	maxHeldOpenings = 4096
)

// heldOpening is an opening packet that arrived before the entry knew routes or agents.
type heldOpening struct {
	segment flow.Segment
	packet  []byte
	at      time.Time
}

// heldOpenings keeps the last copy of the opening packet of each flow.
type heldOpenings map[flow.Key]heldOpening

// holdOpening keeps an opening packet if this entry has just started and can't place it
// yet. ok is false if the packet must be handled now.
func (r *Router) holdOpening(now time.Time, k flow.Key, s *flow.Segment, packet []byte) (ok bool) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	if now.Sub(r.startedAt) >= startPeriod || r.canPlace(k) || len(r.heldOpenings) >= maxHeldOpenings {
		return false
	}
	r.heldOpenings[k] = heldOpening{segment: *s, packet: bytes.Clone(packet), at: now}
	return true
}

// canPlace reports whether routes are known, and agents of the service of the flow's
// route if it has one.
func (r *Router) canPlace(k flow.Key) bool {
	if r.view.Fleet.Routes == nil {
		return false
	}
	route := r.view.Fleet.Routes[k.Route().AddrPort()]
	return route == nil || len(r.view.Agents[config.ServiceID(flow.ServiceOf(route, k))]) > 0
}

// placeHeldOpenings places the flows whose opening packets were kept, once routes and
// agents are known or openingHoldTime has passed.
func (r *Router) placeHeldOpenings(now time.Time) {
	for _, k := range sortedKeys(r.heldOpenings) {
		held := r.heldOpenings[k]
		if now.Sub(held.at) >= openingHoldTime || r.canPlace(k) {
			delete(r.heldOpenings, k)
			r.openFlow(now, k, r.flows[k], &held.segment, held.packet)
		}
	}
}
