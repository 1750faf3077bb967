package flow

import (
	"time"
)

// Refusal is the reason why an agent does not accept a new flow or a packet.
type Refusal uint8

// Reasons of refusals.
const (
	RefusalNone        Refusal = iota
	RefusalNoUpstream          // no upstream has announced itself
	RefusalLeaving             // the upstream or the agent is leaving
	RefusalService             // the upstream serves another service
	RefusalZoneOut             // the availability zone is out of service
	RefusalCold                // the limit of new flows a second in cold start is reached
	RefusalBusy                // all slots are busy and requests are waiting
	RefusalConnections         // the upstream has reached its limit of flows
	RefusalReturned            // the upstream returned the opening packet
	RefusalNotHeld             // the agent or its upstream does not hold the flow
	RefusalPaused              // the agent was paused and does not know yet what changed
	refusalCount
)

var refusalNames = [refusalCount]string{
	"none", "no-upstream", "leaving", "service", "zone-out", "cold", "busy", "connections", "bounced", "not-held", "paused",
}

// String returns the reason as logs and metrics show it.
func (r Refusal) String() string {
	if r >= refusalCount {
		return "unknown"
	}
	return refusalNames[r]
}

// maxWaitingRequests is the number of requests beyond its slots at which an
// upstream counts as busy, so that another one with a free slot is tried.
const maxWaitingRequests = 2

// coldWindow is the period over which the new flows of an upstream in cold start
// are limited.
const coldWindow = time.Second

// Limits bound the flows of an upstream.
type Limits struct {
	Connections   int     // 0: unlimited
	ColdPerSecond float64 // new flows a second in cold start, 0: unlimited
}

// Admission decides which new flows an upstream accepts.
type Admission struct {
	openings []time.Time // when flows were admitted, oldest first
}

// AdmissionRequest describes a new flow and the state of the upstream that it is
// offered to.
type AdmissionRequest struct {
	State          UpstreamState
	ServiceMatches bool // the upstream serves the flow's service
	ZoneOut        bool
	Busy           int // requests without an answer
	Slots          int
	Flows          int
	Limits         Limits
	AllowBusy      bool // no other agent accepts the flow: a busy upstream is no reason to refuse it
	// Room is set where openings wait for free capacity. Then it decides with the class
	// whether the upstream is busy, instead of Busy, Slots and AllowBusy.
	Room  *Room
	Class Class
}

// busy reports whether the upstream is too busy for the flow.
func (r *AdmissionRequest) busy() bool {
	if r.Room != nil {
		return !r.Room.Allows(r.Class, false)
	}
	return !r.AllowBusy && r.Busy >= r.Slots+maxWaitingRequests
}

// Admit returns RefusalNone and counts the flow, or returns why it is refused.
func (a *Admission) Admit(now time.Time, r AdmissionRequest) Refusal {
	if reason := a.Check(now, r); reason != RefusalNone {
		return reason
	}
	a.expire(now)
	a.openings = append(a.openings, now)
	return RefusalNone
}

// Check returns what Admit would return, and counts nothing.
func (a *Admission) Check(now time.Time, r AdmissionRequest) Refusal {
	switch {
	case r.State == UpstreamAbsent:
		return RefusalNoUpstream
	case !r.ServiceMatches:
		return RefusalService
	case r.ZoneOut:
		return RefusalZoneOut
	case r.State == UpstreamLeaving:
		return RefusalLeaving
	case r.Limits.Connections > 0 && r.Flows >= r.Limits.Connections:
		return RefusalConnections
	case r.State == UpstreamCold && !a.coldStartAllows(now, r.Limits.ColdPerSecond):
		return RefusalCold
	case r.busy():
		return RefusalBusy
	}
	return RefusalNone
}

// coldStartAllows reports whether another flow stays within the limit of the last
// second.
func (a *Admission) coldStartAllows(now time.Time, perSecond float64) bool {
	a.expire(now)
	if perSecond <= 0 {
		return true
	}
	return len(a.openings) < max(1, int(perSecond))
}

func (a *Admission) expire(now time.Time) {
	n := 0
	for n < len(a.openings) && now.Sub(a.openings[n]) >= coldWindow {
		n++
	}
	a.openings = append(a.openings[:0], a.openings[n:]...)
}
