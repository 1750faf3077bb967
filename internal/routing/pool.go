package routing

import (
	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

// Summary counts the agents of a service in zones that are in service.
type Summary struct {
	Ready      int // ready or cold
	Suspected  int // suspect or dead
	Candidates int // may receive new flows
	// SuspicionIgnored is true while most agents are suspected; the suspected
	// agents then stay candidates.
	SuspicionIgnored bool
	// OtherRegions is true while agents in other regions are candidates because
	// no agent in the local region is ready.
	OtherRegions bool
}

// pool holds the agents of one service that may receive new flows.
type pool struct {
	ring    *ring
	summary Summary
}

// candidateSelector selects the candidates of one service at a time. Its slices
// are buffers that are reused for each service.
type candidateSelector struct {
	localZones  [256]bool // zones in the local region, by ID
	regionKnown bool      // false if the configuration lacks the process's zone
	endpoints   []endpoint
	local       []*membership.Record
}

func newCandidateSelector(fleet *config.Fleet, zone string) *candidateSelector {
	s := &candidateSelector{}
	z := fleet.ByZone[zone]
	if z == nil {
		return s
	}
	s.regionKnown = true
	for id, other := range fleet.Zones {
		s.localZones[id] = other.Region == z.Region
	}
	return s
}

// selectPool selects the candidates from the agents of the service, which are
// sorted by address and in zones that are in service. While an agent in the
// local region is ready, only agents in that region are candidates. Suspected
// agents stay candidates while they outnumber the ready and cold ones.
func (s *candidateSelector) selectPool(previous *pool, service *config.Service, agents []*membership.Record) *pool {
	inScope, otherRegions := s.agentsInScope(agents)
	sum := Summary{OtherRegions: otherRegions}
	for _, r := range inScope {
		sum.count(r.State)
	}
	sum.SuspicionIgnored = sum.Suspected > sum.Ready
	s.endpoints = s.endpoints[:0]
	for _, r := range inScope {
		if w := weight(r, service, sum.SuspicionIgnored); w > 0 {
			s.endpoints = append(s.endpoints, endpoint{addr: r.Addr, id: hashAddr(r.Addr), weight: w})
		}
	}
	sum.Candidates = len(s.endpoints)
	r := emptyRing
	if previous != nil {
		r = previous.ring
	}
	return &pool{ring: r.rebuild(s.endpoints), summary: sum}
}

// agentsInScope returns the agents in the local region if one of them is ready,
// otherwise all agents. otherRegions is true when the result contains agents in
// other regions.
func (s *candidateSelector) agentsInScope(agents []*membership.Record) (inScope []*membership.Record, otherRegions bool) {
	if !s.regionKnown {
		return agents, false
	}
	s.local = s.local[:0]
	ready := false
	for _, r := range agents {
		if s.localZones[r.Zone] {
			s.local = append(s.local, r)
			ready = ready || r.State == membership.StateReady
		}
	}
	if ready {
		return s.local, false
	}
	return agents, len(s.local) < len(agents)
}

func (s *Summary) count(state membership.State) {
	switch state {
	case membership.StateReady, membership.StateCold:
		s.Ready++
	case membership.StateSuspect, membership.StateDead:
		s.Suspected++
	}
}

// weight returns the agent's weight in the distribution of new flows, in slots;
// 0 excludes it.
func weight(r *membership.Record, service *config.Service, suspicionIgnored bool) float64 {
	switch r.State {
	case membership.StateReady:
		return float64(r.Slots)
	case membership.StateCold:
		return float64(r.Slots) * service.Targets.FreshShare
	case membership.StateSuspect, membership.StateDead:
		if suspicionIgnored {
			return float64(r.Slots)
		}
	}
	return 0
}
