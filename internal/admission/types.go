// Package admission limits how many requests run concurrently at one upstream
// and decides which waiting request starts next. It counts the slots in use
// itself, so it needs no load report from the upstream. It does no I/O, starts
// no goroutine and takes the time as an argument.
package admission

import "time"

// State is the condition that an upstream announces.
type State uint8

// States of upstreams.
const (
	StateNone    State = iota // no upstream has announced itself
	StateCold                 // in its cold start
	StateWarm                 // can serve all its slots
	StateLeaving              // finishes running requests, accepts no new ones
)

// Announcement is the capacity and condition that an upstream announces.
type Announcement struct {
	Slots       int // requests that it runs concurrently
	Connections int // flows that it supports
	State       State
}

// Priority orders waiting requests.
type Priority uint8

// Priorities, the lowest first.
const (
	PriorityBulk   Priority = iota // displaced first when the queue is full
	PriorityNormal                 // all other requests
	PriorityHigh                   // stay-connected and non-idempotent requests
)

// Request is one request that needs a slot.
type Request struct {
	ID       uint64 // unique among the requests of the limiter
	Priority Priority
	Deadline time.Time // zero: none
	// Kind groups requests of similar service time, for example by class.
	Kind string
}

// Verdict is the outcome of Offer.
type Verdict uint8

// Outcomes of Offer.
const (
	VerdictStart  Verdict = iota // it holds a slot until Done or Release
	VerdictWait                  // it waits in the queue
	VerdictRefuse                // it holds nothing; Refusal says why
)

// Refusal is why a request was refused or dropped from the queue.
type Refusal uint8

// Refusals.
const (
	RefusalNone       Refusal = iota
	RefusalNoUpstream         // no upstream has announced itself
	RefusalLeaving            // the upstream is shutting down
	RefusalNoSlot             // slots and queue are full
	RefusalCold               // the cold-start limit and the queue are full
	RefusalDeadline           // it could not finish before its deadline
	RefusalDisplaced          // a request of a higher priority took its place in the queue
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	Refusal Refusal // when the verdict is VerdictRefuse
	Change  Change  // other requests that changed in the same step
}

// Result is how a run ended, as a signal for the limit.
type Result uint8

// Results of runs.
const (
	ResultOK        Result = iota // complete response without a server error
	ResultError                   // failed, or the response was a server error
	ResultShed                    // refused by the upstream before it ran
	ResultTimeout                 // passed its deadline
	ResultCancelled               // cancelled by the caller: no signal
)

// Change lists the requests whose state changed in one step.
type Change struct {
	Started []uint64  // waiting requests that now hold a slot
	Dropped []Dropped // waiting requests that were removed
}

// Dropped is a waiting request that was removed.
type Dropped struct {
	ID      uint64
	Refusal Refusal
}

// Load is the state of a limiter.
type Load struct {
	Busy        int // slots in use
	Limit       int // requests currently allowed at once
	Slots       int // announced
	Queued      int
	Connections int  // announced
	Cold        bool // the upstream or the limit is in its cold start
	// Utilization is the mean share of the announced slots in use over the last
	// seconds, waiting requests included.
	Utilization float64
}
