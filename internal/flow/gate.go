package flow

import (
	"time"
)

// Refusal says why an agent does not take a new flow, or a packet.
type Refusal uint8

// Reasons of refusals.
const (
	RefusalNone        Refusal = iota
	RefusalNoUpstream          // no upstream is announced
	RefusalLeaving             // the upstream or the agent is leaving
	RefusalService             // the upstream belongs to another service
	RefusalZoneOut             // the availability zone is out
	RefusalCold                // the cold start takes no more within this second
	RefusalBusy                // all slots are busy and requests wait
	RefusalConnections         // the upstream holds as many flows as it can
	RefusalReturned            // the upstream returned the opening packet
	RefusalNotHeld             // the agent or its upstream does not hold the flow
	refusalCount
)

var refusalNames = [refusalCount]string{
	"none", "no-upstream", "leaving", "service", "zone-out", "cold", "busy", "connections", "bounced", "not-held",
}

// String names the reason in logs and counters.
func (r Refusal) String() string {
	if r >= refusalCount {
		return "unknown"
	}
	return refusalNames[r]
}

// waitingRequests is how many requests may wait at an upstream before it counts
// as busy while others may have a free slot.
const waitingRequests = 2

// coldWindow is the span in which an upstream in cold start takes a bounded
// number of new flows.
const coldWindow = time.Second

// Limits are what an upstream bears.
type Limits struct {
	Connections   int     // 0: no bound
	ColdPerSecond float64 // new flows a second in cold start, 0: no bound
}

// Admission decides which new flows an upstream gets.
type Admission struct {
	openings []time.Time // of the last second, oldest first
}

// AdmissionRequest is the state of an upstream at the offer of a new flow.
type AdmissionRequest struct {
	State          UpstreamState
	ServiceMatches bool // the flow's service is that of the upstream
	ZoneOut        bool
	Busy           int // requests without an answer
	Slots          int
	Flows          int
	Limits         Limits
	AllowBusy      bool // nobody else takes the flow
}

// Admit decides on a new flow.
func (g *Admission) Admit(now time.Time, o AdmissionRequest) Refusal {
	switch {
	case o.State == UpstreamAbsent:
		return RefusalNoUpstream
	case !o.ServiceMatches:
		return RefusalService
	case o.ZoneOut:
		return RefusalZoneOut
	case o.State == UpstreamLeaving:
		return RefusalLeaving
	case o.Limits.Connections > 0 && o.Flows >= o.Limits.Connections:
		return RefusalConnections
	case o.State == UpstreamCold && !g.coldRoom(now, o.Limits.ColdPerSecond):
		return RefusalCold
	case !o.AllowBusy && o.Busy >= o.Slots+waitingRequests:
		return RefusalBusy
	}
	g.openings = append(g.openings, now)
	return RefusalNone
}

// coldRoom reports whether another flow fits into the last second.
func (g *Admission) coldRoom(now time.Time, perSecond float64) bool {
	g.forget(now)
	if perSecond <= 0 {
		return true
	}
	return len(g.openings) < max(1, int(perSecond))
}

func (g *Admission) forget(now time.Time) {
	n := 0
	for n < len(g.openings) && now.Sub(g.openings[n]) >= coldWindow {
		n++
	}
	g.openings = append(g.openings[:0], g.openings[n:]...)
}
