package request

import (
	"net/http"
	"time"

	"crocusnotch/internal/admission"
)

const (
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = time.Second
	// retryAfterSpread is the jitter added to Retry-After, so that callers do
	// not retry at the same time.
	retryAfterSpread = 2 * time.Second
)

// UpstreamDone handles the end of a run at the upstream.
func (e *Engine) UpstreamDone(now time.Time, id ID, r Result) []Action {
	j := e.jobs.byID[id]
	if j == nil || (j.phase != phaseRunning && j.phase != phaseEstablished) {
		return nil
	}
	e.beginStep(now)
	change := e.limiter.Done(now, id, limiterResult(j, r))
	if j.replied {
		e.recordRunEnd(now, j, r)
	} else {
		e.handleRunEnd(now, j, r)
	}
	e.applyChange(now, change)
	return e.takeActions()
}

// limiterResult returns how a run ended, as a signal for the limiter.
func limiterResult(j *job, r Result) admission.Result {
	switch {
	case r.Outcome == OutcomeNotRun && r.Reason == ReasonShed:
		return admission.ResultShed
	case r.Reason == ReasonCancelled:
		return admission.ResultCancelled
	case r.Reason == ReasonUpstreamTimeout:
		return admission.ResultTimeout
	case j.Class.StayConnected:
		return admission.ResultCancelled
	case r.Outcome != OutcomeRan || r.Status >= http.StatusInternalServerError:
		return admission.ResultError
	}
	return admission.ResultOK
}

func (e *Engine) handleRunEnd(now time.Time, j *job, r Result) {
	switch {
	case r.Outcome == OutcomeRan:
		e.finishRan(now, j, r)
	case r.Outcome == OutcomeNotRun:
		e.retryNotRun(now, j, r.Reason)
	case j.entry == nil:
		e.retryIdempotent(now, j, r)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
}

// recordRunEnd records the outcome of a run whose caller already has a reply.
func (e *Engine) recordRunEnd(now time.Time, j *job, r Result) {
	delete(e.jobs.byID, j.ID)
	if j.entry == nil {
		return
	}
	switch r.Outcome {
	case OutcomeRan:
		e.ledger.finish(now, j.entry, stateRan, ReasonNone)
		e.ledger.storeResponse(j.entry, r.Response)
	case OutcomeNotRun:
		e.ledger.finish(now, j.entry, stateTombstoned, r.Reason)
	default:
		e.ledger.finish(now, j.entry, stateUnknown, r.Reason)
	}
}

// retryNotRun relays a request to a peer after the upstream did not run it, for
// example because it shed the request or was unreachable.
func (e *Engine) retryNotRun(now time.Time, j *job, reason Reason) {
	j.triedUpstream = true
	e.relayOrRefuse(now, j, reason)
}

// retryIdempotent retries a failed idempotent request, provided that no part
// of the response was forwarded: at a peer after a local run, locally after a
// relay.
func (e *Engine) retryIdempotent(now time.Time, j *job, r Result) {
	j.mayHaveRun = true
	final := r.Forwarded || j.Class.StayConnected || r.Reason == ReasonUpstreamTimeout
	switch {
	case final:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	case j.phase == phaseRelayed:
		e.retryLocally(now, j, r.Reason)
	default:
		e.retryAtPeer(now, j, r.Reason)
	}
}

func (e *Engine) retryLocally(now time.Time, j *job, reason Reason) {
	if e.notAcceptingReason() != ReasonNone || !e.takeRetryToken(j) {
		e.finish(now, j, OutcomeUnknown, reason)
		return
	}
	e.offer(now, j)
}

func (e *Engine) retryAtPeer(now time.Time, j *job, reason Reason) {
	best := e.bestPeer(now, j)
	if e.zoneOut || len(j.Via) >= MaxRelays || !best.hasCapacity() || !e.takeRetryToken(j) {
		e.finish(now, j, OutcomeUnknown, reason)
		return
	}
	e.relay(now, j, best.peer, reason)
}

// takeRetryToken takes a token from the class's retry budget and reports
// whether one was available.
func (e *Engine) takeRetryToken(j *job) bool {
	if !e.budgets.withdraw(j.Class.Name) {
		return false
	}
	j.retries++
	return true
}

// finishRan completes a request with the response of the upstream or of a peer.
func (e *Engine) finishRan(now time.Time, j *job, r Result) {
	if r.Status < http.StatusInternalServerError {
		e.budgets.deposit(j.Class.Name)
	}
	if j.entry != nil {
		e.ledger.finish(now, j.entry, stateRan, ReasonNone)
		e.ledger.storeResponse(j.entry, r.Response)
	}
	delete(e.jobs.byID, j.ID)
	e.emit(Reply{ID: j.ID, Outcome: OutcomeRan})
}

// finish completes a request that is not running with a final reply. An
// idempotent request of which an earlier attempt may have run is never
// reported as not run.
func (e *Engine) finish(now time.Time, j *job, outcome Outcome, reason Reason) {
	delete(e.jobs.byID, j.ID)
	if j.mayHaveRun && outcome == OutcomeNotRun {
		outcome = OutcomeUnknown
	}
	if j.entry != nil {
		e.finishEntry(now, j, outcome, reason)
	}
	e.emit(Reply{ID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

func (e *Engine) finishEntry(now time.Time, j *job, outcome Outcome, reason Reason) {
	switch {
	case outcome == OutcomeNotRun:
		e.ledger.finish(now, j.entry, stateTombstoned, reason)
	case j.phase == phaseQuerying:
		e.markMoved(now, j.entry, j.firstQueried)
	case j.phase == phaseRelayed:
		e.markMoved(now, j.entry, j.relayPeer)
	default:
		e.ledger.finish(now, j.entry, stateUnknown, reason)
	}
}

// markMoved finishes an entry with a reference to the agent that may hold the
// outcome. It leaves grantedAt unchanged, since the retention at the agent that
// was granted the claim counts from that time.
func (e *Engine) markMoved(now time.Time, entry *ledgerEntry, to AgentRef) {
	entry.movedTo = to
	e.ledger.finish(now, entry, stateMoved, ReasonNone)
}

// grantClaim transfers the claim to another agent.
func (e *Engine) grantClaim(now time.Time, entry *ledgerEntry, to AgentRef) {
	entry.hasClaim = false
	entry.grantedAt = now
	e.markMoved(now, entry, to)
}

// replyEarly replies to a request whose run or relay has not ended yet.
func (e *Engine) replyEarly(j *job, reason Reason) {
	j.replied = true
	e.emit(Reply{ID: j.ID, Outcome: OutcomeUnknown, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

// expire handles a request whose deadline has passed.
func (e *Engine) expire(now time.Time, j *job) {
	switch j.phase {
	case phaseWaiting:
		e.limiter.Cancel(j.ID)
		e.finish(now, j, OutcomeNotRun, ReasonQueueDeadline)
	case phaseRunning, phaseEstablished:
		e.replyEarly(j, ReasonUpstreamTimeout)
		e.emit(CancelUpstream{ID: j.ID})
	case phaseRelayed:
		e.replyEarly(j, ReasonUpstreamTimeout)
		e.emit(CancelRelay{ID: j.ID})
	case phaseQuerying:
		e.finish(now, j, OutcomeUnknown, ReasonUpstreamTimeout)
	}
}

// Cancelled handles a cancellation by the caller. The ledger still records the
// outcome of a run that has started.
func (e *Engine) Cancelled(now time.Time, id ID) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.replied {
		return nil
	}
	e.beginStep(now)
	switch j.phase {
	case phaseWaiting:
		e.limiter.Cancel(id)
		e.finish(now, j, OutcomeNotRun, ReasonCancelled)
	case phaseRunning, phaseEstablished:
		e.replyEarly(j, ReasonCancelled)
		e.emit(CancelUpstream{ID: id})
	case phaseRelayed:
		e.replyEarly(j, ReasonCancelled)
		e.emit(CancelRelay{ID: id})
	case phaseQuerying:
		e.finish(now, j, OutcomeUnknown, ReasonCancelled)
	}
	return e.takeActions()
}

// Established handles the response header of a stay-connected stream: from
// then on, the stream counts as a connection and releases its slot.
func (e *Engine) Established(now time.Time, id ID) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseRunning || !j.Class.StayConnected {
		return nil
	}
	e.beginStep(now)
	j.phase = phaseEstablished
	e.applyChange(now, e.limiter.Release(now, id))
	return e.takeActions()
}

// retryAfter returns the Retry-After for a refusal, 0 if a retry would not help.
func (e *Engine) retryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonKeyMissing, ReasonKeyExpired, ReasonOwnerUnreachable, ReasonCancelled, ReasonTombstoned:
		return 0
	}
	spread := time.Duration(e.random.Int64N(int64(retryAfterSpread)))
	return minRetryAfter + spread
}
