package caller

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histogram, in microseconds.
const (
	latencyMin    = 1
	latencyMax    = 120_000_000
	latencyDigits = 3
)

// Cause is the kind of disturbance that broken flows are attributed to.
type Cause string

// Causes of broken flows.
const (
	CausePlanned Cause = "planned" // a planned change or no disturbance
	CauseCrash   Cause = "crash"
	CauseZone    Cause = "zone"
)

// Totals are the sums over all callers.
type Totals struct {
	FlowsOpened        uint64                  `json:"flowsOpened"`
	FlowsFailed        uint64                  `json:"flowsFailed"` // handshakes that did not complete
	FlowsReplaced      uint64                  `json:"flowsMoved"`  // after GOAWAY, with the next flow open before the old one closed
	FlowsBroken        map[Cause]uint64        `json:"flowsBroken"`
	FlowsBrokenByError map[string]uint64       `json:"brokenBy"` // error text to number of flows
	StreamsOpened      uint64                  `json:"streamsOpened"`
	StreamsBroken      map[Cause]uint64        `json:"streamsBroken"`
	Requests           uint64                  `json:"requests"` // logical requests, without retries
	Attempts           uint64                  `json:"attempts"`
	Outcomes           map[string]uint64       `json:"outcomes"` // final outcome and reason
	Refusals           map[string]uint64       `json:"refusals"` // outcome and reason of each retryable attempt; "stream" for long streams
	Mismatched         uint64                  `json:"crossed"`
	Truncated          uint64                  `json:"truncated"` // responses that ended early without an error
	WrongService       uint64                  `json:"wrongService"`
	LatencyMicros      *hdrhistogram.Histogram `json:"-"`
}

// Counters collects the totals. It is safe for concurrent use.
type Counters struct {
	mu     sync.Mutex
	totals Totals
	cause  Cause
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{
		cause: CausePlanned,
		totals: Totals{
			FlowsBroken:        map[Cause]uint64{},
			FlowsBrokenByError: map[string]uint64{},
			StreamsBroken:      map[Cause]uint64{},
			Outcomes:           map[string]uint64{},
			Refusals:           map[string]uint64{},
			LatencyMicros:      hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		},
	}
}

// SetCause sets the cause to which flows and streams that break from now on are
// attributed.
func (c *Counters) SetCause(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cause = cause
}

// Totals returns a copy of the sums.
func (c *Counters) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totals
	t.FlowsBroken = maps.Clone(t.FlowsBroken)
	t.FlowsBrokenByError = maps.Clone(t.FlowsBrokenByError)
	t.StreamsBroken = maps.Clone(t.StreamsBroken)
	t.Outcomes = maps.Clone(t.Outcomes)
	t.Refusals = maps.Clone(t.Refusals)
	t.LatencyMicros = hdrhistogram.Import(t.LatencyMicros.Export())
	return t
}

func (c *Counters) update(change func(*Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.totals)
}

func (c *Counters) flowBroken(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.FlowsBroken[c.cause]++
	c.totals.FlowsBrokenByError[err.Error()]++
}

func (c *Counters) streamBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.StreamsBroken[c.cause]++
}

func (c *Counters) requestFinished(r result, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.Outcomes[r.label()]++
	if r.ran {
		_ = c.totals.LatencyMicros.RecordValue(took.Microseconds())
	}
}
