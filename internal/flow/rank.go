package flow

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion is why an agent gets no new flows, or only when no other agent is left.
type Exclusion string

// Reasons of an exclusion. The agents of the last two get new flows when no others are
// left.
const (
	ExcludedDraining Exclusion = "draining"    // its process or its upstream stops, or it has no upstream
	ExcludedZoneOut  Exclusion = "zone out"    // operators took its zone out of service
	ExcludedSample   Exclusion = "not sampled" // large service: the flow's hash selects other agents
	ExcludedSuspect  Exclusion = "suspect"     // membership doubts that it runs
	ExcludedAvoided  Exclusion = "avoided"     // it did not answer an opening packet
)

// Candidate is an agent with what determines whether a new flow goes to it.
type Candidate struct {
	Agent    Agent
	Excluded Exclusion // empty if nothing excludes it
	Score    float64   // the lowest is chosen; 0 if the agent is not compared
	Report   Load
	// ReportedAt is the time of the report, zero if there was none. The score ignores a
	// report that is ReportTTL old.
	ReportedAt time.Time
	Openings   int // flows placed since the report
}

// Rank returns the agents in the order in which Choose prefers them for a new flow,
// followed by those that it does not compare. It changes no state.
func (p *Placement) Rank(now time.Time, k Key, agents []Agent) []Candidate {
	out := make([]Candidate, 0, len(agents))
	compared := make(map[Endpoint]bool, len(agents))
	for a, score := range p.candidates(now, k, agents, nil) {
		c := p.Describe(*a, p.exclusion(now, a))
		c.Score = score
		out = append(out, c)
		compared[a.Addr] = true
	}
	slices.SortStableFunc(out, func(x, y Candidate) int { return cmp.Compare(x.Score, y.Score) })
	for _, a := range agents {
		if !compared[a.Addr] {
			out = append(out, p.Describe(a, ExcludedSample))
		}
	}
	return out
}

// Describe returns what is known about an agent that is not compared.
func (p *Placement) Describe(a Agent, why Exclusion) Candidate {
	l := p.known(a.Addr)
	return Candidate{Agent: a, Excluded: why, Report: l.report, ReportedAt: l.reportedAt, Openings: l.openings}
}

func (p *Placement) exclusion(now time.Time, a *Agent) Exclusion {
	switch {
	case a.Suspect:
		return ExcludedSuspect
	case now.Before(p.known(a.Addr).avoidUntil):
		return ExcludedAvoided
	}
	return ""
}
