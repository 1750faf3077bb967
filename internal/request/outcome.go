// Package request decides what happens to one request: whether it may run,
// where it is relayed, whether it may be retried. It does no I/O.
package request

// Headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOwner carries, in answers, the agent that has the request's
	// outcome; a caller's retry sends it back unchanged.
	HeaderOwner = "Crocus-Owner"
	// HeaderOutcome carries an Outcome on every answer that is not the
	// upstream's.
	HeaderOutcome = "Crocus-Outcome"
	// HeaderReason carries the Reason of a refusal.
	HeaderReason = "Crocus-Reason"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Crocus-Deadline-Ms"
	// HeaderRelays carries, between agents only, the relay addresses of the
	// agents that the request came through, separated by commas.
	HeaderRelays = "Crocus-Relays"
	// HeaderRetryAfter tells the caller when to come back, in seconds.
	HeaderRetryAfter = "Retry-After"
)

// Outcome is what is known of a request's run.
type Outcome string

// Outcomes of requests.
const (
	OutcomeRan     Outcome = "ran"     // the upstream ran it and answered whole
	OutcomeNotRun  Outcome = "not-run" // it has not run and never will
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Reason tells why a request or a flow was refused, relayed or retried. The
// set is closed: every reason has a counter.
type Reason string

// Reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoSlot           Reason = "no-slot"           // slots and queue are full
	ReasonQueueDeadline    Reason = "queue-deadline"    // could not start before its deadline
	ReasonCold             Reason = "cold"              // the cold-start limit is reached
	ReasonDraining         Reason = "draining"          // the upstream or agent leaves
	ReasonZoneOut          Reason = "zone-out"          // operators took the zone out
	ReasonNoUpstream       Reason = "no-upstream"       // no upstream has announced itself
	ReasonShed             Reason = "shed"              // the upstream refused before running
	ReasonUpstreamFailed   Reason = "upstream-failed"   // the upstream failed while running
	ReasonUpstreamTimeout  Reason = "upstream-timeout"  // the deadline passed while running
	ReasonTruncated        Reason = "truncated"         // the upstream's answer ended early
	ReasonCancelled        Reason = "cancelled"         // the caller gave up
	ReasonRelayLimit       Reason = "relay-limit"       // relays are used up
	ReasonRelayFailed      Reason = "relay-failed"      // the peer agent could not be asked
	ReasonRetryBudget      Reason = "retry-budget"      // the class's retry budget is used up
	ReasonDuplicate        Reason = "duplicate-running" // the same key runs now
	ReasonKeyExpired       Reason = "key-expired"       // the key is older than the retention
	ReasonKeyMissing       Reason = "key-missing"       // a non-idempotent request without a key
	ReasonLedgerFull       Reason = "ledger-full"       // the ledger is at its bound
	ReasonOwnerUnreachable Reason = "owner-unreachable" // the agent that had it first is gone
	ReasonConnectionLimit  Reason = "connections"       // the announced connections are used up
	ReasonNoClass          Reason = "no-class"          // no class of the service matches
	ReasonTombstoned       Reason = "tombstoned"        // an earlier try was declared not run
	ReasonNoConfig         Reason = "no-configuration"  // no configuration is known yet
)

// Reasons lists the closed set, for counters and docs.
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
