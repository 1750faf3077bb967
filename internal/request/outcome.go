// Package request decides for each request whether it may run, which peer agent
// it is relayed to and whether it may be retried. It does no I/O.
package request

// HTTP headers between callers and agents, and between agents.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOwner carries, in responses, the agent that has the request's
	// outcome; a caller's retry sends it back unchanged.
	HeaderOwner = "Crocus-Owner"
	// HeaderOutcome carries an Outcome on every response that is not the
	// upstream's.
	HeaderOutcome = "Crocus-Outcome"
	// HeaderReason carries the Reason of an outcome other than OutcomeRan.
	HeaderReason = "Crocus-Reason"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Crocus-Deadline-Ms"
	// HeaderRelays carries, between agents only, the relay addresses of the
	// agents that the request passed through, separated by commas.
	HeaderRelays = "Crocus-Relays"
	// HeaderRetryAfter is the delay before the caller's next attempt, in
	// seconds.
	HeaderRetryAfter = "Retry-After"
)

// Outcome states whether a request has run.
type Outcome string

// Outcomes of requests.
const (
	OutcomeRan     Outcome = "ran"     // the upstream ran it and sent a complete response
	OutcomeNotRun  Outcome = "not-run" // it has not run and never will
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Reason is why a request or a flow was refused, relayed or retried. The set is
// closed: every reason has a counter.
type Reason string

// Reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoSlot           Reason = "no-slot"           // slots and queue are full
	ReasonQueueDeadline    Reason = "queue-deadline"    // could not start before its deadline
	ReasonCold             Reason = "cold"              // the cold-start limit is reached
	ReasonDraining         Reason = "draining"          // the upstream or agent is shutting down
	ReasonZoneOut          Reason = "zone-out"          // operators took the zone out
	ReasonNoUpstream       Reason = "no-upstream"       // no upstream has announced itself
	ReasonShed             Reason = "shed"              // the upstream refused before running
	ReasonUpstreamFailed   Reason = "upstream-failed"   // the upstream failed while running
	ReasonUpstreamTimeout  Reason = "upstream-timeout"  // the deadline passed while running
	ReasonTruncated        Reason = "truncated"         // the upstream's response ended early
	ReasonCancelled        Reason = "cancelled"         // the caller cancelled it
	ReasonRelayLimit       Reason = "relay-limit"       // the maximum number of relays is reached
	ReasonRelayFailed      Reason = "relay-failed"      // the relay to the peer agent failed
	ReasonRetryBudget      Reason = "retry-budget"      // the class's retry budget is used up
	ReasonDuplicate        Reason = "duplicate-running" // a request with the same key is in progress
	ReasonKeyExpired       Reason = "key-expired"       // the key is older than the retention
	ReasonKeyMissing       Reason = "key-missing"       // a non-idempotent request without a key
	ReasonLedgerFull       Reason = "ledger-full"       // the ledger has reached its limits
	ReasonOwnerUnreachable Reason = "owner-unreachable" // the agent that owns the outcome is unreachable
	ReasonConnectionLimit  Reason = "connections"       // the announced connections are all in use
	ReasonNoClass          Reason = "no-class"          // no class of the service matches
	ReasonTombstoned       Reason = "tombstoned"        // an earlier attempt was reported as not run
	ReasonNoConfig         Reason = "no-configuration"  // no configuration received yet
)

// Reasons returns all reasons, for counters and documentation.
func Reasons() []Reason {
	return []Reason{
		ReasonNoSlot, ReasonQueueDeadline, ReasonCold, ReasonDraining, ReasonZoneOut,
		ReasonNoUpstream, ReasonShed, ReasonUpstreamFailed, ReasonUpstreamTimeout,
		ReasonTruncated, ReasonCancelled, ReasonRelayLimit, ReasonRelayFailed,
		ReasonRetryBudget, ReasonDuplicate, ReasonKeyExpired, ReasonKeyMissing,
		ReasonLedgerFull, ReasonOwnerUnreachable, ReasonConnectionLimit, ReasonNoClass,
		ReasonTombstoned, ReasonNoConfig,
	}
}
