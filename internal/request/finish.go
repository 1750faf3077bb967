package request

import (
	"net/http"
	"time"

	"crocusnotch/internal/admission"
)

const (
	// minRetryAfter is the shortest hint for a caller's next try.
	minRetryAfter = time.Second
	// retryAfterSpread spreads the callers' next tries.
	retryAfterSpread = 2 * time.Second
)

// UpstreamDone takes the end of a run at the upstream.
func (e *Engine) UpstreamDone(now time.Time, id ID, r Result) []Action {
	j := e.jobs.byID[id]
	if j == nil || (j.phase != phaseRunning && j.phase != phaseEstablished) {
		return nil
	}
	e.begin(now)
	change := e.limiter.Done(now, id, signal(j, r))
	if j.replied {
		e.settleRun(now, j, r)
	} else {
		e.runEnded(now, j, r)
	}
	e.apply(now, change)
	return e.take()
}

// signal tells the limiter how a run ended.
func signal(j *job, r Result) admission.Result {
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

func (e *Engine) runEnded(now time.Time, j *job, r Result) {
	switch {
	case r.Outcome == OutcomeRan:
		e.success(now, j, r)
	case r.Outcome == OutcomeNotRun:
		e.retryNotRun(now, j, r.Reason)
	case j.entry == nil:
		e.retryIdempotent(now, j, r)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
}

// settleRun records the end of a run whose request was answered before.
func (e *Engine) settleRun(now time.Time, j *job, r Result) {
	delete(e.jobs.byID, j.ID)
	if j.entry == nil {
		return
	}
	switch r.Outcome {
	case OutcomeRan:
		e.ledger.end(now, j.entry, stateRan, ReasonNone)
		e.ledger.keep(j.entry, r.Response)
	case OutcomeNotRun:
		e.ledger.end(now, j.entry, stateTombstoned, r.Reason)
	default:
		e.ledger.end(now, j.entry, stateUnknown, r.Reason)
	}
}

// retryNotRun tries another place after the upstream refused before running.
func (e *Engine) retryNotRun(now time.Time, j *job, reason Reason) {
	j.shed = true
	e.elsewhere(now, j, reason)
}

// retryIdempotent tries again after a failure of an idempotent request, if
// nothing of the answer was passed on: at a peer after a run here, here after
// a relay.
func (e *Engine) retryIdempotent(now time.Time, j *job, r Result) {
	j.mayHaveRun = true
	final := r.Forwarded || j.Class.StayConnected || r.Reason == ReasonUpstreamTimeout
	switch {
	case final:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	case j.phase == phaseRelayed:
		e.retryHere(now, j, r.Reason)
	default:
		e.retryAtPeer(now, j, r.Reason)
	}
}

func (e *Engine) retryHere(now time.Time, j *job, reason Reason) {
	if e.closed() != ReasonNone || !e.spendRetry(j) {
		e.finish(now, j, OutcomeUnknown, reason)
		return
	}
	e.offer(now, j)
}

func (e *Engine) retryAtPeer(now time.Time, j *job, reason Reason) {
	best := e.lightest(now, j)
	if e.zoneOut || len(j.Via) >= MaxRelays || !best.hasRoom() || !e.spendRetry(j) {
		e.finish(now, j, OutcomeUnknown, reason)
		return
	}
	e.relay(now, j, best.peer, reason)
}

// spendRetry takes a token of the class's retry budget.
func (e *Engine) spendRetry(j *job) bool {
	if !e.budgets.spend(j.Class.Name) {
		return false
	}
	j.retries++
	return true
}

// success ends a request with the answer of the upstream or of a peer.
func (e *Engine) success(now time.Time, j *job, r Result) {
	if r.Status < http.StatusInternalServerError {
		e.budgets.earn(j.Class.Name)
	}
	if j.entry != nil {
		e.ledger.end(now, j.entry, stateRan, ReasonNone)
		e.ledger.keep(j.entry, r.Response)
	}
	delete(e.jobs.byID, j.ID)
	e.do(Reply{ID: j.ID, Outcome: OutcomeRan})
}

// finish ends a request that holds no run with a final answer.
func (e *Engine) finish(now time.Time, j *job, outcome Outcome, reason Reason) {
	delete(e.jobs.byID, j.ID)
	if j.mayHaveRun && outcome == OutcomeNotRun {
		outcome = OutcomeUnknown
	}
	if j.entry != nil {
		e.endEntry(now, j, outcome, reason)
	}
	e.do(Reply{ID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

func (e *Engine) endEntry(now time.Time, j *job, outcome Outcome, reason Reason) {
	switch {
	case outcome == OutcomeNotRun:
		e.ledger.end(now, j.entry, stateTombstoned, reason)
	case j.phase == phaseAsking:
		e.pointTo(now, j.entry, j.pointer)
	case j.phase == phaseRelayed:
		e.pointTo(now, j.entry, j.peer)
	default:
		e.ledger.end(now, j.entry, stateUnknown, reason)
	}
}

// pointTo ends an entry with the agent that may know. A grant keeps its time,
// since its holder counts its own memory from there.
func (e *Engine) pointTo(now time.Time, known *entry, to AgentRef) {
	known.moved = to
	e.ledger.end(now, known, stateMoved, ReasonNone)
}

// grant gives the claim away.
func (e *Engine) grant(now time.Time, known *entry, to AgentRef) {
	known.claim = false
	known.granted = now
	e.pointTo(now, known, to)
}

// replyEarly answers a request whose run goes on.
func (e *Engine) replyEarly(j *job, reason Reason) {
	j.replied = true
	e.do(Reply{ID: j.ID, Outcome: OutcomeUnknown, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

// expire ends a request whose deadline has passed.
func (e *Engine) expire(now time.Time, j *job) {
	switch j.phase {
	case phaseWaiting:
		e.limiter.Cancel(j.ID)
		e.finish(now, j, OutcomeNotRun, ReasonQueueDeadline)
	case phaseRunning, phaseEstablished:
		e.replyEarly(j, ReasonUpstreamTimeout)
		e.do(CancelUpstream{ID: j.ID})
	case phaseRelayed:
		e.replyEarly(j, ReasonUpstreamTimeout)
		e.do(CancelRelay{ID: j.ID})
	case phaseAsking:
		e.finish(now, j, OutcomeUnknown, ReasonUpstreamTimeout)
	}
}

// Cancelled takes the caller's end of interest. The outcome of a run that has
// begun stays in the ledger.
func (e *Engine) Cancelled(now time.Time, id ID) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.replied {
		return nil
	}
	e.begin(now)
	switch j.phase {
	case phaseWaiting:
		e.limiter.Cancel(id)
		e.finish(now, j, OutcomeNotRun, ReasonCancelled)
	case phaseRunning, phaseEstablished:
		e.replyEarly(j, ReasonCancelled)
		e.do(CancelUpstream{ID: id})
	case phaseRelayed:
		e.replyEarly(j, ReasonCancelled)
		e.do(CancelRelay{ID: id})
	case phaseAsking:
		e.finish(now, j, OutcomeUnknown, ReasonCancelled)
	}
	return e.take()
}

// Established tells that a stay-connected stream has its answer's head, so
// that it counts as a connection and its slot is free again.
func (e *Engine) Established(now time.Time, id ID) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseRunning || !j.Class.StayConnected {
		return nil
	}
	e.begin(now)
	j.phase = phaseEstablished
	e.apply(now, e.limiter.Release(now, id))
	return e.take()
}

// retryAfter tells when to come back after a refusal, 0 when that is of no
// use.
func (e *Engine) retryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonKeyMissing, ReasonKeyExpired, ReasonOwnerUnreachable, ReasonCancelled, ReasonTombstoned:
		return 0
	}
	spread := time.Duration(e.random.Int64N(int64(retryAfterSpread)))
	return minRetryAfter + spread
}
