package flow

import "math"

const (
	// outcomeSpan is the number of ticks (25 ms each) over which an outcome of a
	// request loses most of its weight: about 3 s, so that an upstream that works
	// again gets its share of new flows back within some seconds.
	outcomeSpan = 120
	// outcomePrior is the number of good outcomes that each upstream is credited
	// with: one failure among few requests says little.
	outcomePrior = 2
	// failingWeight multiplies the share of failed requests in the score of an
	// agent: one whose upstream fails 40 % of its requests gets new flows when the
	// others are nine times as busy. Where all fail alike nothing changes, so
	// there is no need to bound how many are passed over.
	failingWeight = 20
)

// outcomeFade is what is left of an outcome's weight after a tick.
var outcomeFade = math.Exp(-1.0 / outcomeSpan)

// Outcomes judges an upstream by what became of its latest requests. Its own
// statements about its health are not used: they may be wrong either way.
type Outcomes struct{ good, bad float64 }

// Answered counts a request that got an answer.
func (o *Outcomes) Answered() { o.good++ }

// Failed counts a request that was reset, that its caller gave up, or that had no
// answer when the upstream ended, and an opening without an answer.
func (o *Outcomes) Failed() { o.bad++ }

// Tick lets earlier outcomes fade.
func (o *Outcomes) Tick() {
	o.good *= outcomeFade
	o.bad *= outcomeFade
}

// FailureRate returns the share of requests that failed lately, from 0 to 1.
func (o *Outcomes) FailureRate() float64 { return o.bad / (o.good + o.bad + outcomePrior) }
