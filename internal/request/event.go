package request

import (
	"net/netip"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

// ID identifies one request within one agent process. The shell assigns it and
// never uses it again.
type ID = uint64

// Request is one request as it came from a caller or from a peer agent.
type Request struct {
	ID    ID
	Key   string       // Idempotency-Key; empty for idempotent requests
	Class config.Class // the class of the service that matches
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time
	// Via are the relay addresses of the agents that it came through, from
	// Crocus-Relays; empty for callers.
	Via     []netip.AddrPort
	Attempt int  // the caller's count of tries, from 1; 0 counts as 1
	Owner   *Ref // the caller's Crocus-Owner, nil when there was none
	// Target is the reference that the relaying agent sent in Crocus-Target;
	// nil for callers.
	Target *Ref
}

// Answer is the copy of an upstream's answer that the ledger keeps for
// replays. Body must not be changed afterwards.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxAnswerBytes is the longest body that the ledger keeps. For a longer one
// the shell leaves Result.Answer nil.
const MaxAnswerBytes = 16 << 10

// Result is the end of one run at the upstream or of one relay.
type Result struct {
	Outcome Outcome
	Reason  Reason // when the outcome is not OutcomeRan
	Status  int    // HTTP status of the answer, 0 without one
	// Answer is the copy for replays; nil when it is longer than
	// MaxAnswerBytes or the request is idempotent.
	Answer *Answer
	// Passed is true when a part of the answer went to the caller already, so
	// that no other try may follow.
	Passed bool
	// Lost is true when a peer agent's answer was lost, so that the peer may
	// still know the outcome.
	Lost bool
}

// Action is what the shell has to do. The types are Taken, RunUpstream,
// RelayTo, AskOwner, Reply, ReplayAnswer, CancelUpstream and CancelRelay.
type Action interface{ action() }

// Taken tells that this agent keeps the outcome of a caller's non-idempotent
// request: the shell sends Crocus-Owner in a 103 at once and in the final
// answer. Answers to requests without it carry no Crocus-Owner.
type Taken struct{ ID ID }

// RunUpstream hands the request to the upstream. The shell calls UpstreamDone
// exactly once for it.
type RunUpstream struct {
	ID    ID
	Retry bool // a retry of an earlier run of this request
}

// RelayTo hands the request to a peer agent, with the headers Crocus-Relays
// (FormatVia of Via), Crocus-Target (Peer), the remaining deadline, the key and
// the attempt as they came. The shell sends it once, without a retry of its
// transport, and calls RelayDone exactly once for it.
type RelayTo struct {
	ID     ID
	Peer   Ref
	Via    []netip.AddrPort
	Reason Reason // why it does not run here; ReasonNone when the peer is less loaded
	Retry  bool   // a retry of an earlier run of this request
}

// AskOwner sends the query to the agent's resolve method. The shell calls
// OwnerAnswered exactly once for it; when the agent can't be reached, with
// ResolvedUnknown and ReasonOwnerLost.
type AskOwner struct {
	ID    ID
	Owner Ref
	Query Query
}

// Reply ends a request towards the caller. Every request gets exactly one
// Reply or ReplayAnswer. With OutcomeRan the answer of the upstream or of the
// peer is passed on; when a part of it was passed on already, any other
// outcome resets the stream.
type Reply struct {
	ID         ID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // 0: no hint
}

// ReplayAnswer ends a request with the kept answer of an earlier try. Answer
// is nil when the ledger kept no copy: the shell answers 200 without a body
// and with Crocus-Outcome: ran.
type ReplayAnswer struct {
	ID     ID
	Key    string
	Answer *Answer
}

// CancelUpstream cancels the run at the upstream. UpstreamDone still follows.
type CancelUpstream struct{ ID ID }

// CancelRelay cancels the relay. RelayDone still follows.
type CancelRelay struct{ ID ID }

func (Taken) action()          {}
func (RunUpstream) action()    {}
func (RelayTo) action()        {}
func (AskOwner) action()       {}
func (Reply) action()          {}
func (ReplayAnswer) action()   {}
func (CancelUpstream) action() {}
func (CancelRelay) action()    {}

// Query asks an agent what became of a key. It is the body of the resolve
// method.
type Query struct {
	Key     string `json:"key"`
	Attempt int    `json:"attempt"` // the highest attempt that the question covers
	// Target is the agent as the asker knows it. With a clock it means that
	// the key may never have reached the agent.
	Target Ref `json:"target"`
	// Asker is the agent that may run the key after ResolvedNotRun.
	Asker Ref `json:"asker"`
}

// Resolved is the answer to a Query.
type Resolved string

// Answers to a Query.
const (
	ResolvedRan     Resolved = "ran"     // it ran here; Answer may hold the copy
	ResolvedNotRun  Resolved = "not-run" // tombstoned now; the asker alone may run it
	ResolvedRunning Resolved = "running" // it runs or waits here
	ResolvedMoved   Resolved = "moved"   // Moved may know
	ResolvedUnknown Resolved = "unknown" // nobody can know; Reason tells why
)

// Resolution is the answer to a Query, the body of the resolve method's
// answer.
type Resolution struct {
	State  Resolved `json:"state"`
	Reason Reason   `json:"reason,omitempty"`
	Answer *Answer  `json:"answer,omitempty"`
	Moved  *Ref     `json:"moved,omitempty"`
}

// PeerReport is the load of a peer agent as it reported it.
type PeerReport struct {
	Peer Ref // relay address, incarnation and clock of the report
	Load admission.Load
}
