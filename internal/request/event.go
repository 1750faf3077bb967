package request

import (
	"net/netip"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

// ID identifies one request within one agent process. The driver assigns it and
// never reuses it.
type ID = uint64

// Request is one request as received from a caller or a peer agent.
type Request struct {
	ID    ID
	Key   string       // Idempotency-Key; empty for idempotent requests
	Class config.Class // the matching class of the service
	// Deadline is when the caller stops waiting; zero means none.
	Deadline time.Time
	// Via are the relay addresses of the agents that the request passed
	// through, from Crocus-Relays; empty for callers.
	Via     []netip.AddrPort
	Attempt int       // the caller's attempt number, from 1; 0 counts as 1
	Owner   *AgentRef // the caller's Crocus-Owner, nil if absent
	// Target is the reference that the relaying agent sent in Crocus-Target;
	// nil for callers.
	Target *AgentRef
}

// Response is the copy of an upstream's response that the ledger keeps for
// replays. Body must not be modified.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxResponseBytes is the longest body that the ledger keeps. For a longer one
// the driver leaves Result.Response nil.
const MaxResponseBytes = 16 << 10

// Result is how one run at the upstream or one relay ended.
type Result struct {
	Outcome Outcome
	Reason  Reason // when the outcome is not OutcomeRan
	Status  int    // HTTP status of the response, 0 without one
	// Response is the copy for replays; nil if it is longer than
	// MaxResponseBytes or the request is idempotent.
	Response *Response
	// Forwarded is true when a part of the response was already sent to the
	// caller, so that the request can't be retried.
	Forwarded bool
	// ResponseLost is true when a peer agent's response was lost, so that the
	// peer may still hold the outcome.
	ResponseLost bool
}

// Action is what the driver must do. The types are SendOwner, RunUpstream,
// RelayTo, QueryOwner, Reply, ReplayResponse, CancelUpstream and CancelRelay.
type Action interface{ action() }

// SendOwner names this agent as the one that keeps the outcome of a caller's
// non-idempotent request: the driver sends Crocus-Owner immediately in a 103
// response and again in the final response. Responses to requests without this
// action carry no Crocus-Owner.
type SendOwner struct{ ID ID }

// RunUpstream sends the request to the upstream. The driver calls UpstreamDone
// exactly once for it.
type RunUpstream struct {
	ID    ID
	Retry bool // a retry of an earlier run of this request
}

// RelayTo sends the request to a peer agent, with the headers Crocus-Relays
// (FormatVia of Via), Crocus-Target (Peer), the remaining deadline, and the key
// and the attempt as received. The driver sends it once, without retries by the
// transport, and calls RelayDone exactly once for it.
type RelayTo struct {
	ID     ID
	Peer   AgentRef
	Via    []netip.AddrPort
	Reason Reason // why it does not run here; ReasonNone when the peer is less loaded
	Retry  bool   // a retry of an earlier run of this request
}

// QueryOwner sends the query to the agent's resolve method. The driver calls
// QueryDone exactly once for it; if the agent is unreachable, with
// ResolvedUnknown and ReasonOwnerUnreachable.
type QueryOwner struct {
	ID    ID
	Owner AgentRef
	Query Query
}

// Reply completes a request towards the caller. Every request gets exactly one
// Reply or ReplayResponse. With OutcomeRan, the response of the upstream or of
// the peer is forwarded; any other outcome resets the stream if a part of the
// response was already forwarded.
type Reply struct {
	ID         ID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // 0: no hint
}

// ReplayResponse completes a request with the stored response of an earlier
// attempt. Response is nil if the ledger has no copy: the driver then sends
// status 200 with Crocus-Outcome: ran and no body.
type ReplayResponse struct {
	ID       ID
	Key      string
	Response *Response
}

// CancelUpstream cancels the run at the upstream. The driver still calls
// UpstreamDone.
type CancelUpstream struct{ ID ID }

// CancelRelay cancels the relay. The driver still calls RelayDone.
type CancelRelay struct{ ID ID }

func (SendOwner) action()      {}
func (RunUpstream) action()    {}
func (RelayTo) action()        {}
func (QueryOwner) action()     {}
func (Reply) action()          {}
func (ReplayResponse) action() {}
func (CancelUpstream) action() {}
func (CancelRelay) action()    {}

// Query asks an agent for the outcome of a key. It is the request body of the
// resolve method.
type Query struct {
	Key     string `json:"key"`
	Attempt int    `json:"attempt"` // the highest attempt that the query covers
	// Target is the queried agent. A clock in it means that the key was
	// relayed to the agent after that time and may never have arrived.
	Target AgentRef `json:"target"`
	// Querier is the agent that may run the key after ResolvedNotRun.
	Querier AgentRef `json:"asker"`
}

// ResolutionState is the outcome that a Resolution reports.
type ResolutionState string

// States of a Resolution.
const (
	ResolvedRan     ResolutionState = "ran"     // it ran here; Response may hold the copy
	ResolvedNotRun  ResolutionState = "not-run" // now tombstoned; only the querier may run it
	ResolvedRunning ResolutionState = "running" // it is running or waiting here
	ResolvedMoved   ResolutionState = "moved"   // the agent in Moved may hold the outcome
	ResolvedUnknown ResolutionState = "unknown" // the outcome can't be determined; Reason says why
)

// Resolution answers a Query. It is the response body of the resolve method.
type Resolution struct {
	State    ResolutionState `json:"state"`
	Reason   Reason          `json:"reason,omitempty"`
	Response *Response       `json:"answer,omitempty"`
	Moved    *AgentRef       `json:"moved,omitempty"`
}

// LoadReport is the load that an agent reports to its peers.
type LoadReport struct {
	Peer AgentRef // the reporting agent, with its clock at the report
	Load admission.Load
}
