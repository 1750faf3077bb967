package flow

import "math"

const (
	// outcomeDecayTicks is the time constant, in ticks of 25 ms, with which the
	// outcome of a request loses its weight: about 3 s, so that a recovered
	// upstream gets its share of new flows back within some seconds.
	outcomeDecayTicks = 120
	// outcomePrior is the number of successful requests added to each upstream's
	// count, because one failure among few requests is weak evidence.
	outcomePrior = 2
	// failurePenalty multiplies the failure rate in the score of an agent: one
	// whose upstream fails 40 % of its requests gets new flows when the others are
	// nine times as busy. If all upstreams fail equally, the order of the scores
	// is unchanged, so the number of penalized agents needs no limit.
	failurePenalty = 20
)

// outcomeDecay is the factor by which an outcome's weight shrinks with each tick.
var outcomeDecay = math.Exp(-1.0 / outcomeDecayTicks)

// Outcomes estimates the failure rate of an upstream from the outcomes of its
// latest requests. The health that the upstream reports itself is not used,
// because it may be wrong either way.
type Outcomes struct{ succeeded, failed float64 }

// Answered counts a request that was answered.
func (o *Outcomes) Answered() { o.succeeded++ }

// Failed counts a request that was reset, abandoned by its caller or unanswered
// when the upstream ended, or an opening packet without an answer.
func (o *Outcomes) Failed() { o.failed++ }

// Tick reduces the weight of earlier outcomes; it is called every 25 ms.
func (o *Outcomes) Tick() {
	o.succeeded *= outcomeDecay
	o.failed *= outcomeDecay
}

// FailureRate returns the weighted share of recent requests that failed, from 0
// to 1.
func (o *Outcomes) FailureRate() float64 { return o.failed / (o.succeeded + o.failed + outcomePrior) }
