package routing

import (
	"net/netip"

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

func (p *pool) pick(key uint64) (first, second netip.AddrPort) { return p.ring.pick(key) }

// selection builds the pool of one service.
type selection struct {
	fleet   *config.Fleet
	region  string
	service *config.Service
}

// pool selects the candidates among the agents of the service, whose zones
// are in. Agents of the own region come alone while one of them is ready.
// Suspected agents stay candidates while they are the larger part.
func (s *selection) pool(agents []*membership.Record) *pool {
	scope := s.ownRegion(agents)
	if scope == nil {
		scope = agents
	}
	var sum Summary
	for _, r := range scope {
		sum.count(r.State)
	}
	all := sum.Ready + sum.Suspected
	sum.SuspicionIgnored = sum.Suspected > 0 && 2*sum.Ready < all
	endpoints := s.endpoints(scope, sum.SuspicionIgnored)
	sum.Candidates = len(endpoints)
	sum.OtherRegions = s.region != "" && s.anyElsewhere(scope)
	return &pool{ring: newRing(endpoints), summary: sum}
}

// ownRegion returns the agents of the own region, or nil when none of them is
// ready.
func (s *selection) ownRegion(agents []*membership.Record) []*membership.Record {
	var own []*membership.Record
	ready := false
	for _, r := range agents {
		if s.fleet.Region(r.Zone) != s.region {
			continue
		}
		own = append(own, r)
		ready = ready || r.State == membership.StateReady
	}
	if !ready {
		return nil
	}
	return own
}

func (s *selection) anyElsewhere(agents []*membership.Record) bool {
	for _, r := range agents {
		if s.fleet.Region(r.Zone) != s.region {
			return true
		}
	}
	return false
}

func (s *Summary) count(state membership.State) {
	switch state {
	case membership.StateReady, membership.StateCold:
		s.Ready++
	case membership.StateSuspect, membership.StateDead:
		s.Suspected++
	}
}

func (s *selection) endpoints(agents []*membership.Record, suspects bool) []endpoint {
	var out []endpoint
	for _, r := range agents {
		weight := s.weight(r, suspects)
		if weight > 0 {
			out = append(out, endpoint{addr: r.Addr, id: hashAddr(r.Addr), weight: weight})
		}
	}
	return out
}

// weight returns the agent's share of new flows, in slots; 0 excludes it.
func (s *selection) weight(r *membership.Record, suspects bool) float64 {
	switch r.State {
	case membership.StateReady:
		return float64(r.Slots)
	case membership.StateCold:
		return float64(r.Slots) * s.service.Targets.FreshShare
	case membership.StateSuspect, membership.StateDead:
		if suspects {
			return float64(r.Slots)
		}
	}
	return 0
}
