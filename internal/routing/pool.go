package routing

import (
	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

// Summary counts the agents of a service whose zones are in.
type Summary struct {
	Ready      int // ready or cold
	Suspected  int // suspect or dead
	Candidates int // may get new flows
	// SuspicionIgnored is true while most agents are suspected, so that these
	// stay candidates.
	SuspicionIgnored bool
	// OtherRegions is true while agents of other regions are candidates because
	// none of the own region is ready.
	OtherRegions bool
}

// pool holds the agents of one service that may get new flows.
type pool struct {
	ring    *ring
	summary Summary
}

// selection selects the candidates of one service after the other.
type selection struct {
	home    [256]bool // zones of the own region, by ID
	regions bool      // the own region is known
	scratch []endpoint
	own     []*membership.Record
}

func newSelection(fleet *config.Fleet, zone string) *selection {
	s := &selection{}
	z := fleet.ByZone[zone]
	if z == nil {
		return s
	}
	s.regions = true
	for id, other := range fleet.Zones {
		s.home[id] = other.Region == z.Region
	}
	return s
}

// pool selects the candidates among the agents of the service, which are in
// the order of their addresses and in zones that are in. Agents of the own
// region come alone while one of them is ready. Suspected agents stay
// candidates while they are the larger part.
func (s *selection) pool(before *pool, service *config.Service, agents []*membership.Record) *pool {
	scope, other := s.scope(agents)
	sum := Summary{OtherRegions: other}
	for _, r := range scope {
		sum.count(r.State)
	}
	sum.SuspicionIgnored = sum.Suspected > sum.Ready
	s.scratch = s.scratch[:0]
	for _, r := range scope {
		if w := weight(r, service, sum.SuspicionIgnored); w > 0 {
			s.scratch = append(s.scratch, endpoint{addr: r.Addr, id: hashAddr(r.Addr), weight: w})
		}
	}
	sum.Candidates = len(s.scratch)
	r := emptyRing
	if before != nil {
		r = before.ring
	}
	return &pool{ring: r.with(s.scratch), summary: sum}
}

// scope returns the agents that come into question: those of the own region
// if one of them is ready, or all. other is true when agents of other regions
// are among them.
func (s *selection) scope(agents []*membership.Record) (scope []*membership.Record, other bool) {
	if !s.regions {
		return agents, false
	}
	s.own = s.own[:0]
	ready := false
	for _, r := range agents {
		if s.home[r.Zone] {
			s.own = append(s.own, r)
			ready = ready || r.State == membership.StateReady
		}
	}
	if ready {
		return s.own, false
	}
	return agents, len(s.own) < len(agents)
}

func (s *Summary) count(state membership.State) {
	switch state {
	case membership.StateReady, membership.StateCold:
		s.Ready++
	case membership.StateSuspect, membership.StateDead:
		s.Suspected++
	}
}

// weight returns the agent's share of new flows, in slots; 0 excludes it.
func weight(r *membership.Record, service *config.Service, suspects bool) float64 {
	switch r.State {
	case membership.StateReady:
		return float64(r.Slots)
	case membership.StateCold:
		return float64(r.Slots) * service.Targets.FreshShare
	case membership.StateSuspect, membership.StateDead:
		if suspects {
			return float64(r.Slots)
		}
	}
	return 0
}
