package request

import (
	"slices"
	"time"

	"crocusnotch/internal/admission"
)

// Submit handles a new request from a caller or a relay from a peer agent.
func (e *Engine) Submit(now time.Time, r Request) []Action {
	e.beginStep(now)
	r.Attempt = max(1, r.Attempt)
	j := &job{Request: r}
	if !r.Class.RunAtMostOnce {
		e.jobs.add(j)
		e.placeJob(now, j)
		return e.takeActions()
	}
	e.submitAtMostOnce(now, j)
	return e.takeActions()
}

// submitAtMostOnce handles a non-idempotent request: the ledger entry of its
// key determines whether it may run.
func (e *Engine) submitAtMostOnce(now time.Time, j *job) {
	if j.Key == "" || len(j.Key) > MaxKeyBytes {
		e.reject(j, OutcomeNotRun, ReasonKeyMissing)
		return
	}
	if j.Target != nil && !e.checkTarget(now, j) {
		return
	}
	entry := e.ledger.find(j.Key)
	switch {
	case entry != nil:
		e.submitKnownKey(now, j, entry)
	case j.Target != nil || j.Attempt == 1:
		e.submitNewKey(now, j)
	default:
		e.submitRetry(now, j, nil)
	}
}

// checkTarget reports whether a relay was addressed to this incarnation and is
// recent enough for the ledger to still hold the entry of an earlier copy. If
// not, it rejects the relay with OutcomeUnknown, since a copy may have run.
func (e *Engine) checkTarget(now time.Time, j *job) bool {
	if !j.Target.SameIncarnation(e.self) {
		e.reject(j, OutcomeUnknown, ReasonOwnerUnreachable)
		return false
	}
	if e.ledger.find(j.Key) == nil && !e.ledgerCovers(now, j.Target.ClockMillis) {
		e.reject(j, OutcomeUnknown, ReasonKeyExpired)
		return false
	}
	return true
}

// submitNewKey handles a request whose key is not in the ledger.
func (e *Engine) submitNewKey(now time.Time, j *job) {
	if e.ledger.hasCapacity() {
		e.trackJob(j, e.ledger.add(j.Key, j.Attempt, j.Target == nil))
		e.placeJob(now, j)
		return
	}
	if !e.ledger.hasTombstoneCapacity() {
		e.reject(j, OutcomeUnknown, ReasonLedgerFull)
		return
	}
	entry := e.ledger.add(j.Key, j.Attempt, j.Target == nil)
	e.ledger.finish(now, entry, stateTombstoned, ReasonLedgerFull)
	e.sendOwner(j)
	e.reject(j, OutcomeNotRun, ReasonLedgerFull)
}

// submitKnownKey handles a request whose key is in the ledger.
func (e *Engine) submitKnownKey(now time.Time, j *job, entry *ledgerEntry) {
	later := j.Attempt > entry.attempt
	switch entry.state {
	case stateActive:
		e.reject(j, OutcomeUnknown, ReasonDuplicate)
	case stateRan:
		e.emit(ReplayResponse{ID: j.ID, Key: j.Key, Response: entry.response})
	case stateUnknown:
		e.reject(j, OutcomeUnknown, entry.reason)
	case stateTombstoned:
		e.submitTombstoned(now, j, entry, later)
	case stateMoved:
		e.submitMoved(now, j, entry, later)
	}
}

func (e *Engine) submitTombstoned(now time.Time, j *job, entry *ledgerEntry, later bool) {
	switch {
	case !later && (entry.hasClaim || j.Target != nil):
		e.reject(j, OutcomeNotRun, ReasonTombstoned)
	case !later:
		e.reject(j, OutcomeUnknown, ReasonTombstoned)
	case j.Target != nil || entry.hasClaim:
		e.ledger.reopen(entry, j.Attempt)
		e.trackJob(j, entry)
		e.placeJob(now, j)
	default:
		e.submitRetry(now, j, entry)
	}
}

func (e *Engine) submitMoved(now time.Time, j *job, entry *ledgerEntry, later bool) {
	switch {
	case j.Target != nil && (later || !entry.grantedAt.IsZero()):
		// No copy of this relay has run or can start here; the relaying agent
		// decides what happens next.
		e.reject(j, OutcomeNotRun, ReasonTombstoned)
	case j.Target == nil && later:
		e.submitRetry(now, j, entry)
	default:
		e.reject(j, OutcomeUnknown, ReasonTombstoned)
	}
}

// submitRetry handles a caller's retry when another agent may hold the outcome
// of the key: it queries that agent first.
func (e *Engine) submitRetry(now time.Time, j *job, entry *ledgerEntry) {
	owner, reason := e.ownerToQuery(j, entry)
	if reason != ReasonNone {
		e.reject(j, OutcomeUnknown, reason)
		return
	}
	if entry == nil {
		if !e.ledger.hasCapacity() {
			e.reject(j, OutcomeUnknown, ReasonLedgerFull)
			return
		}
		entry = e.ledger.add(j.Key, j.Attempt, false)
	} else {
		e.ledger.reopen(entry, j.Attempt)
	}
	e.trackJob(j, entry)
	e.startQuery(j, owner)
}

// ownerToQuery returns the agent that may hold the outcome, or why there is none
// to query. The ledger takes precedence over the caller's Crocus-Owner, since it
// is more recent.
func (e *Engine) ownerToQuery(j *job, entry *ledgerEntry) (AgentRef, Reason) {
	if entry != nil && entry.state == stateMoved {
		return entry.movedTo, ReasonNone
	}
	if j.Owner == nil {
		return AgentRef{}, ReasonOwnerUnreachable
	}
	if j.Owner.SameIncarnation(e.self) {
		return AgentRef{}, ReasonKeyExpired
	}
	if j.Owner.Addr == e.self.Addr {
		return AgentRef{}, ReasonOwnerUnreachable
	}
	owner := *j.Owner
	owner.ClockMillis = 0
	return owner, ReasonNone
}

// trackJob links a request to its ledger entry and registers it as a job.
func (e *Engine) trackJob(j *job, entry *ledgerEntry) {
	j.entry = entry
	e.jobs.add(j)
	e.sendOwner(j)
}

// sendOwner names this agent to a caller as the owner of the outcome. It does
// nothing for a relay.
func (e *Engine) sendOwner(j *job) {
	if j.Target == nil {
		e.emit(SendOwner{ID: j.ID})
	}
}

// reject replies to a request that was not registered as a job.
func (e *Engine) reject(j *job, outcome Outcome, reason Reason) {
	e.emit(Reply{ID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

// placeJob runs a request here, relays it to a peer, or refuses it.
func (e *Engine) placeJob(now time.Time, j *job) {
	if e.zoneOut {
		e.finish(now, j, OutcomeNotRun, ReasonZoneOut)
		return
	}
	if reason := e.notAcceptingReason(); reason != ReasonNone {
		e.relayOrRefuse(now, j, reason)
		return
	}
	if e.relayIfLessLoaded(now, j) {
		return
	}
	e.offer(now, j)
}

// notAcceptingReason returns why this agent accepts no new requests, or
// ReasonNone if it does.
func (e *Engine) notAcceptingReason() Reason {
	switch {
	case e.zoneOut:
		return ReasonZoneOut
	case e.draining, e.upstreamLeaving:
		return ReasonDraining
	case !e.upstreamPresent:
		return ReasonNoUpstream
	}
	return ReasonNone
}

// offer requests a slot from the limiter.
func (e *Engine) offer(now time.Time, j *job) {
	d := e.limiter.Offer(now, admission.Request{
		ID:       j.ID,
		Priority: priority(j),
		Deadline: j.Deadline,
		Kind:     j.Class.Name,
	})
	switch d.Verdict {
	case admission.VerdictStart:
		j.phase = phaseRunning
		e.emit(RunUpstream{ID: j.ID, Retry: j.retries > 0})
	case admission.VerdictWait:
		j.phase = phaseWaiting
	case admission.VerdictRefuse:
		e.relayOrRefuse(now, j, refusalReason(d.Refusal))
	}
	e.applyChange(now, d.Change)
}

// applyChange runs the queued requests that the limiter started, and relays or
// refuses those that it dropped.
func (e *Engine) applyChange(now time.Time, c admission.Change) {
	for _, id := range c.Started {
		j := e.jobs.byID[id]
		j.phase = phaseRunning
		e.emit(RunUpstream{ID: id, Retry: j.retries > 0})
	}
	for _, d := range c.Dropped {
		e.relayOrRefuse(now, e.jobs.byID[d.ID], refusalReason(d.Refusal))
	}
}

func priority(j *job) admission.Priority {
	switch {
	case j.Class.StayConnected, j.Class.RunAtMostOnce:
		return admission.PriorityHigh
	case j.Class.Bulk:
		return admission.PriorityBulk
	}
	return admission.PriorityNormal
}

func refusalReason(r admission.Refusal) Reason {
	switch r {
	case admission.RefusalNoUpstream:
		return ReasonNoUpstream
	case admission.RefusalLeaving:
		return ReasonDraining
	case admission.RefusalCold:
		return ReasonCold
	case admission.RefusalDeadline:
		return ReasonQueueDeadline
	}
	return ReasonNoSlot
}

// waitingJobs returns the queued requests, ordered by ID.
func (e *Engine) waitingJobs() []*job {
	var out []*job
	for _, j := range e.jobs.byID {
		if j.phase == phaseWaiting {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
