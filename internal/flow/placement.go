package flow

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"crocusnotch/internal/config"
)

const (
	// crossZoneFactor multiplies the load of an agent in another zone, because
	// traffic between zones is billed and slower: an agent of the local zone is
	// chosen until it is more than twice as busy. A factor of 2 raises the cost of
	// traffic, 2.5 prolongs an overload (docs/MEASUREMENTS.md).
	crossZoneFactor = 2.25
	// newFlowLoad is the load, in busy slots, assumed for each flow placed since
	// the agent's last report.
	newFlowLoad = 0.3
	// baseLoad, in busy slots, is added to each load so that the scores of idle
	// agents still differ by slots and zone.
	baseLoad = 0.5
	// sampleSize limits how many agents of a large service are compared for one
	// flow, to between one and two times this number.
	sampleSize = 32
	// ReportTTL is the age at which a load report expires.
	ReportTTL = 3 * time.Second
	// avoidDuration is how long an agent that did not answer an opening packet is
	// avoided while others are available.
	avoidDuration = time.Second
)

// Agent is an agent that new flows may be placed on.
type Agent struct {
	Addr    Endpoint
	Zone    string
	Slots   int
	Suspect bool // suspected by membership: its probes are unanswered
	Cold    bool // its upstream is in cold start
}

// Load is the load of an upstream as its agent reports it.
type Load struct {
	Busy        float64 // unanswered requests, averaged
	FailureRate float64 // share of its latest requests that failed, 0 to 1
	// ServiceTime is the time that a request takes once it has a slot, 0 if it is not
	// known. Only load reports carry it.
	ServiceTime time.Duration
}

// agentLoad is an entry's record of an agent's load.
type agentLoad struct {
	report     Load
	reportedAt time.Time
	openings   int // flows placed since the report
	avoidUntil time.Time

	serviceTimeAt time.Time // of the last report with a service time
}

// Placement chooses agents for new flows by their reported load.
type Placement struct {
	zone  string
	loads map[Endpoint]*agentLoad
}

// NewPlacement returns a placement for an entry in the zone.
func NewPlacement(zone string) *Placement {
	return &Placement{zone: zone, loads: map[Endpoint]*agentLoad{}}
}

// Report records the load that an agent reported. Only some reports carry a service time:
// the last one holds until its expiry.
func (p *Placement) Report(now time.Time, agent Endpoint, l Load) {
	a := p.load(agent)
	switch {
	case l.ServiceTime > 0:
		a.serviceTimeAt = now
	case now.Sub(a.serviceTimeAt) < ReportTTL:
		l.ServiceTime = a.report.ServiceTime
	}
	a.report, a.reportedAt, a.openings = l, now, 0
}

// Retain removes the records of all agents but those that keep reports, such as those
// that have left the fleet.
func (p *Placement) Retain(keep func(Endpoint) bool) {
	maps.DeleteFunc(p.loads, func(a Endpoint, _ *agentLoad) bool { return !keep(a) })
}

// Avoid records that the agent did not answer an opening packet.
func (p *Placement) Avoid(now time.Time, agent Endpoint) {
	p.load(agent).avoidUntil = now.Add(avoidDuration)
}

// FreshReports returns the number of the agents whose report has not expired.
func (p *Placement) FreshReports(now time.Time, agents []Agent) int {
	n := 0
	for i := range agents {
		if l := p.loads[agents[i].Addr]; l != nil && now.Sub(l.reportedAt) < ReportTTL {
			n++
		}
	}
	return n
}

func (p *Placement) load(agent Endpoint) *agentLoad {
	a := p.loads[agent]
	if a == nil {
		a = &agentLoad{}
		p.loads[agent] = a
	}
	return a
}

// known returns a copy of what is recorded about an agent, the zero value if nothing is.
func (p *Placement) known(agent Endpoint) agentLoad {
	if a := p.loads[agent]; a != nil {
		return *a
	}
	return agentLoad{}
}

// Choose returns the agent with the lowest score among those not tried before,
// and adds the flow to its load. Suspect agents and those that did not answer are
// used only when no others are left. ok is false when all were tried.
func (p *Placement) Choose(now time.Time, k Key, agents []Agent, tried []Endpoint) (agent Agent, ok bool) {
	lowestScore := math.Inf(1)
	for a, score := range p.candidates(now, k, agents, tried) {
		if score < lowestScore {
			agent, lowestScore, ok = *a, score, true
		}
	}
	if ok {
		p.load(agent.Addr).openings++
	}
	return agent, ok
}

// candidates returns the agents that a new flow may be placed on and their scores: the
// sample of the flow without those tried before or, if none of it is left, any other
// agent.
func (p *Placement) candidates(now time.Time, k Key, agents []Agent, tried []Endpoint) iter.Seq2[*Agent, float64] {
	return func(yield func(*Agent, float64) bool) {
		hash := k.Hash()
		step := max(1, len(agents)/sampleSize)
		none := true
		for i := int(hash % uint64(step)); i < len(agents); i += step {
			if contains(tried, agents[i].Addr) {
				continue
			}
			none = false
			if !yield(&agents[i], p.score(now, &agents[i], hash)) {
				return
			}
		}
		if !none || step == 1 {
			return
		}
		if i := slices.IndexFunc(agents, func(a Agent) bool { return !contains(tried, a.Addr) }); i >= 0 {
			yield(&agents[i], p.score(now, &agents[i], hash))
		}
	}
}

// avoidPenalty exceeds the score of any agent that is not avoided.
const avoidPenalty = 1e6

func (p *Placement) score(now time.Time, a *Agent, hash uint64) float64 {
	l := p.known(a.Addr)
	busy := baseLoad + newFlowLoad*float64(l.openings)
	failureRate := 0.0
	if now.Sub(l.reportedAt) < ReportTTL {
		busy += l.report.Busy
		failureRate = l.report.FailureRate
	}
	// The jitter depends on the flow, so that entries with the same reports choose
	// different agents for different flows.
	jitter := 1 + float64(rank(hash, a.Addr)%256)/256*scoreJitter
	score := busy / float64(max(a.Slots, 1)) * jitter * (1 + failurePenalty*failureRate)
	if a.Zone != p.zone {
		score *= crossZoneFactor
	}
	if a.Suspect || now.Before(l.avoidUntil) {
		score += avoidPenalty
	}
	return score
}

// scoreJitter is the largest relative increase of a score by its jitter, which
// keeps entries with the same reports from all choosing the same agent.
const scoreJitter = 0.3

func contains(list []Endpoint, e Endpoint) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}

// ServiceOf returns the service of a new flow by the weights of the route. Every
// entry with the same configuration returns the same one.
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
