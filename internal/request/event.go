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
	Attempt int       // the caller's count of tries, from 1; 0 counts as 1
	Owner   *AgentRef // the caller's Crocus-Owner, nil when there was none
	// Target is the reference that the relaying agent sent in Crocus-Target;
	// nil for callers.
	Target *AgentRef
}

// Response is the copy of an upstream's answer that the ledger keeps for
// replays. Body must not be changed afterwards.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxResponseBytes is the longest body that the ledger keeps. For a longer one
// the shell leaves Result.Answer nil.
const MaxResponseBytes = 16 << 10

// Result is the end of one run at the upstream or of one relay.
type Result struct {
	Outcome Outcome
	Reason  Reason // when the outcome is not OutcomeRan
	Status  int    // HTTP status of the answer, 0 without one
	// Response is the copy for replays; nil when it is longer than
	// MaxAnswerBytes or the request is idempotent.
	Response *Response
	// Forwarded is true when a part of the answer went to the caller already, so
	// that no other try may follow.
	Forwarded bool
	// ResponseLost is true when a peer agent's answer was lost, so that the peer may
	// still know the outcome.
	ResponseLost bool
}

// Action is what the shell has to do. The types are Taken, RunUpstream,
// RelayTo, AskOwner, Reply, ReplayAnswer, CancelUpstream and CancelRelay.
type Action interface{ action() }

// SendOwner tells that this agent keeps the outcome of a caller's non-idempotent
// request: the shell sends Crocus-Owner in a 103 at once and in the final
// answer. Answers to requests without it carry no Crocus-Owner.
type SendOwner struct{ ID ID }

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
	Peer   AgentRef
	Via    []netip.AddrPort
	Reason Reason // why it does not run here; ReasonNone when the peer is less loaded
	Retry  bool   // a retry of an earlier run of this request
}

// QueryOwner sends the query to the agent's resolve method. The shell calls
// OwnerAnswered exactly once for it; when the agent can't be reached, with
// ResolvedUnknown and ReasonOwnerLost.
type QueryOwner struct {
	ID    ID
	Owner AgentRef
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

// ReplayResponse ends a request with the kept answer of an earlier try. Answer
// is nil when the ledger kept no copy: the shell answers 200 without a body
// and with Crocus-Outcome: ran.
type ReplayResponse struct {
	ID       ID
	Key      string
	Response *Response
}

// CancelUpstream cancels the run at the upstream. UpstreamDone still follows.
type CancelUpstream struct{ ID ID }

// CancelRelay cancels the relay. RelayDone still follows.
type CancelRelay struct{ ID ID }

func (SendOwner) action()      {}
func (RunUpstream) action()    {}
func (RelayTo) action()        {}
func (QueryOwner) action()     {}
func (Reply) action()          {}
func (ReplayResponse) action() {}
func (CancelUpstream) action() {}
func (CancelRelay) action()    {}

// Query asks an agent what became of a key. It is the body of the resolve
// method.
type Query struct {
	Key     string `json:"key"`
	Attempt int    `json:"attempt"` // the highest attempt that the question covers
	// Target is the agent as the asker knows it. With a clock it means that
	// the key may never have reached the agent.
	Target AgentRef `json:"target"`
	// Querier is the agent that may run the key after ResolvedNotRun.
	Querier AgentRef `json:"asker"`
}

// ResolutionState is the answer to a Query.
type ResolutionState string

// Answers to a Query.
const (
	ResolvedRan     ResolutionState = "ran"     // it ran here; Answer may hold the copy
	ResolvedNotRun  ResolutionState = "not-run" // tombstoned now; the asker alone may run it
	ResolvedRunning ResolutionState = "running" // it runs or waits here
	ResolvedMoved   ResolutionState = "moved"   // Moved may know
	ResolvedUnknown ResolutionState = "unknown" // nobody can know; Reason tells why
)

// Resolution is the answer to a Query, the body of the resolve method's
// answer.
type Resolution struct {
	State    ResolutionState `json:"state"`
	Reason   Reason          `json:"reason,omitempty"`
	Response *Response       `json:"answer,omitempty"`
	Moved    *AgentRef       `json:"moved,omitempty"`
}

// LoadReport is the load of a peer agent as it reported it.
type LoadReport struct {
	Peer AgentRef // relay address, incarnation and clock of the report
	Load admission.Load
}
