package flow

import (
	"math"
	"slices"
	"time"

	"crocusnotch/internal/config"
)

const (
	// otherZone multiplies the load of an agent in another zone: bytes between
	// zones are paid for and take longer, so the own zone serves until it is more
	// than twice as busy: with 2 the bytes cost more, with 2.5 an overload lasts longer
	// (docs/MEASUREMENTS.md).
	otherZone = 2.25
	// openingLoad is what a flow that was placed since the last report counts,
	// in busy slots.
	openingLoad = 0.3
	// baseLoad keeps the ratio of idle agents meaningful, in busy slots.
	baseLoad = 0.5
	// sampleSize bounds the agents that are compared for one flow in a large
	// service. Between one and two times as many are looked at.
	sampleSize = 32
	// ReportTTL is the age at which a report of load says nothing any more.
	ReportTTL = 3 * time.Second
	// avoidFor is how long an agent that did not answer an opening is passed
	// over while others can take it.
	avoidFor = time.Second
)

// Agent is an agent that may take new flows.
type Agent struct {
	Addr    Endpoint
	Zone    string
	Slots   int
	Suspect bool // its watchers get no answer
}

// Load is what an agent reports of its upstream.
type Load struct {
	Busy        float64 // requests without an answer, averaged
	FailureRate float64 // share of its latest requests that failed, 0 to 1
}

// agentLoad is what an entry knows of an agent's load.
type agentLoad struct {
	report   Load
	at       time.Time
	openings int // flows placed since the report
	avoid    time.Time
}

// Placement chooses agents for new flows. It keeps the reported loads.
type Placement struct {
	zone  string
	loads map[Endpoint]*agentLoad
}

// NewPlacement returns a placement for an entry in the zone.
func NewPlacement(zone string) *Placement {
	return &Placement{zone: zone, loads: map[Endpoint]*agentLoad{}}
}

// Report takes an agent's load.
func (p *Placement) Report(now time.Time, agent Endpoint, l Load) {
	a := p.load(agent)
	a.report, a.at, a.openings = l, now, 0
}

// Avoid notes that the agent did not answer an opening.
func (p *Placement) Avoid(now time.Time, agent Endpoint) { p.load(agent).avoid = now.Add(avoidFor) }

func (p *Placement) load(agent Endpoint) *agentLoad {
	a := p.loads[agent]
	if a == nil {
		a = &agentLoad{}
		p.loads[agent] = a
	}
	return a
}

// Choose returns the agent with the lowest load among those not tried before,
// and counts the flow to it. Suspect agents and those that did not answer are
// used only when no others are left. ok is false when all were tried.
func (p *Placement) Choose(now time.Time, k Key, agents []Agent, tried []Endpoint) (agent Agent, ok bool) {
	best, lowest := -1, math.Inf(1)
	hash := k.Hash()
	step := max(1, len(agents)/sampleSize)
	for i := int(hash % uint64(step)); i < len(agents); i += step {
		if contains(tried, agents[i].Addr) {
			continue
		}
		score := p.score(now, &agents[i], hash)
		if score < lowest {
			best, lowest = i, score
		}
	}
	if best < 0 && step > 1 {
		// All of the sample were tried: any other is as good.
		best = slices.IndexFunc(agents, func(a Agent) bool { return !contains(tried, a.Addr) })
	}
	if best < 0 {
		return Agent{}, false
	}
	p.load(agents[best].Addr).openings++
	return agents[best], true
}

// lastResort is above every score of an agent that is not avoided.
const lastResort = 1e6

func (p *Placement) score(now time.Time, a *Agent, hash uint64) float64 {
	l := p.load(a.Addr)
	busy := baseLoad + openingLoad*float64(l.openings)
	failing := 0.0
	if now.Sub(l.at) < ReportTTL {
		busy += l.report.Busy
		failing = l.report.FailureRate
	}
	// Entries with the same reports choose differently for different flows.
	spread := 1 + float64(rank(hash, a.Addr)%256)/256*choiceSpread
	score := busy / float64(max(a.Slots, 1)) * spread * (1 + failingWeight*failing)
	if a.Zone != p.zone {
		score *= otherZone
	}
	if a.Suspect || now.Before(l.avoid) {
		score += lastResort
	}
	return score
}

// choiceSpread is the random part of a score, so that entries with the same
// reports do not all choose the same agent.
const choiceSpread = 0.3

func contains(list []Endpoint, e Endpoint) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

// ServiceOf returns the service of a new flow. Every entry with the same
// configuration chooses the same one.
func ServiceOf(r *config.Route, k Key) string {
	if len(r.Choices) == 1 {
		return r.Choices[0].Service
	}
	total := 0
	for _, c := range r.Choices {
		total += c.Weight
	}
	if total == 0 {
		return r.Choices[0].Service
	}
	point := int(k.Hash() % uint64(total))
	for _, c := range r.Choices {
		point -= c.Weight
		if point < 0 {
			return c.Service
		}
	}
	return r.Choices[len(r.Choices)-1].Service
}
