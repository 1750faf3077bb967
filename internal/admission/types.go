// Package admission decides how many requests one upstream gets at once and
// which of the waiting ones starts next. It counts the slots itself, so it
// needs no load report from the upstream. It does no I/O, starts no goroutine
// and takes the time as an argument.
package admission

import "time"

// State is the condition that an upstream announces.
type State uint8

// States of upstreams.
const (
	StateNone    State = iota // no upstream has announced itself
	StateCold                 // in cold start
	StateWarm                 // bears all its slots
	StateLeaving              // finishes what runs, gets nothing new
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	Slots       int // requests that it runs at once
	Connections int // flows that it bears
	State       State
}

// Priority orders waiting work.
type Priority uint8

// Priorities, the lowest first.
const (
	PriorityBulk   Priority = iota // gives way when slots are short
	PriorityNormal                 // neither bulk nor high
	PriorityHigh                   // stay-connected and non-idempotent work
)

// Request is one request that asks for a slot.
type Request struct {
	ID       uint64 // unique among the works of the limiter
	Priority Priority
	Deadline time.Time // zero: none
	// Kind groups works of like service time, for example by class.
	Kind string
}

// Verdict is the outcome of an offer.
type Verdict uint8

// Outcomes of Offer.
const (
	VerdictStart  Verdict = iota // it holds a slot now and must be ended by Done
	VerdictWait                  // it waits in the queue
	VerdictRefuse                // it holds nothing; Refusal tells why
)

// Refusal tells why work was refused or dropped from the queue.
type Refusal uint8

// Refusals.
const (
	RefusalNone       Refusal = iota
	RefusalNoUpstream         // no upstream has announced itself
	RefusalLeaving            // the upstream leaves
	RefusalNoSlot             // slots and queue are full
	RefusalCold               // the cold-start limit and the queue are full
	RefusalDeadline           // it could not start in time
	RefusalDisplaced          // work of a higher priority took its place in the queue
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	Refusal Refusal // when the verdict is VerdictRefuse
	Change  Change  // other works that changed in the same step
}

// Result tells how a run ended, as a signal for the limit.
type Result uint8

// Results of runs.
const (
	ResultOK        Result = iota // answered whole, without a server error
	ResultError                   // failed, or answered with a server error
	ResultShed                    // refused by the upstream before it ran
	ResultTimeout                 // passed its deadline
	ResultCancelled               // cancelled by the caller: no signal
)

// Change lists the works whose state changed in one step.
type Change struct {
	Started []uint64  // waiting works that hold a slot now
	Dropped []Dropped // waiting works that were removed
}

// Dropped is a waiting work that was removed.
type Dropped struct {
	ID      uint64
	Refusal Refusal
}

// Load is the state of a limiter.
type Load struct {
	Busy        int // slots in use
	Limit       int // requests allowed at once now
	Slots       int // announced
	Queued      int
	Connections int // announced
	Cold        bool
	// Utilization is the mean share of the announced slots in use over the last
	// seconds.
	Utilization float64
}
