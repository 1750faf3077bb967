package request

import (
	"slices"
	"time"

	"crocusnotch/internal/admission"
)

// Submit takes a request from a caller or a peer agent.
func (e *Engine) Submit(now time.Time, r Request) []Action {
	e.begin(now)
	r.Attempt = max(1, r.Attempt)
	j := &job{Request: r}
	if !r.Class.RunAtMostOnce {
		e.jobs.add(j)
		e.place(now, j)
		return e.take()
	}
	e.arriveOnce(now, j)
	return e.take()
}

// arriveOnce takes a non-idempotent request: the ledger decides first.
func (e *Engine) arriveOnce(now time.Time, j *job) {
	if j.Key == "" || len(j.Key) > MaxKeyBytes {
		e.reject(j, OutcomeNotRun, ReasonKeyMissing)
		return
	}
	if j.Target != nil && !e.isTarget(now, j) {
		return
	}
	known := e.ledger.find(j.Key)
	switch {
	case known != nil:
		e.arriveKnown(now, j, known)
	case j.Target != nil || j.Attempt == 1:
		e.arriveNew(now, j)
	default:
		e.arriveRetry(now, j, nil)
	}
}

// isTarget checks that a relay was meant for this incarnation and is young
// enough for the ledger to know of earlier copies. A copy of it may have run
// otherwise, so that the answer is unknown.
func (e *Engine) isTarget(now time.Time, j *job) bool {
	if !j.Target.SameIncarnation(e.self) {
		e.reject(j, OutcomeUnknown, ReasonOwnerUnreachable)
		return false
	}
	if e.ledger.find(j.Key) == nil && !e.vouches(now, j.Target.ClockMillis) {
		e.reject(j, OutcomeUnknown, ReasonKeyExpired)
		return false
	}
	return true
}

// arriveNew takes a key that was never here.
func (e *Engine) arriveNew(now time.Time, j *job) {
	if e.ledger.hasRoom() {
		e.open(j, e.ledger.add(j.Key, j.Attempt, j.Target == nil))
		e.place(now, j)
		return
	}
	if !e.ledger.hasReserve() {
		e.reject(j, OutcomeUnknown, ReasonLedgerFull)
		return
	}
	entry := e.ledger.add(j.Key, j.Attempt, j.Target == nil)
	e.ledger.end(now, entry, stateTombstoned, ReasonLedgerFull)
	e.taken(j)
	e.reject(j, OutcomeNotRun, ReasonLedgerFull)
}

// arriveKnown takes a key that the ledger has.
func (e *Engine) arriveKnown(now time.Time, j *job, known *entry) {
	later := j.Attempt > known.attempt
	switch known.state {
	case stateActive:
		e.reject(j, OutcomeUnknown, ReasonDuplicate)
	case stateRan:
		e.do(ReplayResponse{ID: j.ID, Key: j.Key, Response: known.answer})
	case stateUnknown:
		e.reject(j, OutcomeUnknown, known.reason)
	case stateTombstoned:
		e.arriveTombstoned(now, j, known, later)
	case stateMoved:
		e.arriveMoved(now, j, known, later)
	}
}

func (e *Engine) arriveTombstoned(now time.Time, j *job, known *entry, later bool) {
	switch {
	case !later && (known.claim || j.Target != nil):
		e.reject(j, OutcomeNotRun, ReasonTombstoned)
	case !later:
		e.reject(j, OutcomeUnknown, ReasonTombstoned)
	case j.Target != nil || known.claim:
		e.ledger.reopen(known, j.Attempt)
		e.open(j, known)
		e.place(now, j)
	default:
		e.arriveRetry(now, j, known)
	}
}

func (e *Engine) arriveMoved(now time.Time, j *job, known *entry, later bool) {
	switch {
	case j.Target != nil && (later || !known.granted.IsZero()):
		// No copy of this relay ran or starts here; its sender decides what
		// follows.
		e.reject(j, OutcomeNotRun, ReasonTombstoned)
	case j.Target == nil && later:
		e.arriveRetry(now, j, known)
	default:
		e.reject(j, OutcomeUnknown, ReasonTombstoned)
	}
}

// arriveRetry takes a caller's retry whose key is decided elsewhere: the agent
// that may know the outcome is asked first.
func (e *Engine) arriveRetry(now time.Time, j *job, known *entry) {
	owner, reason := e.ownerOf(j, known)
	if reason != ReasonNone {
		e.reject(j, OutcomeUnknown, reason)
		return
	}
	if known == nil {
		if !e.ledger.hasRoom() {
			e.reject(j, OutcomeUnknown, ReasonLedgerFull)
			return
		}
		known = e.ledger.add(j.Key, j.Attempt, false)
	} else {
		e.ledger.reopen(known, j.Attempt)
	}
	e.open(j, known)
	e.askFirst(j, owner)
}

// ownerOf returns the agent that may know the outcome. What this agent knows
// itself is newer than the caller's word.
func (e *Engine) ownerOf(j *job, known *entry) (AgentRef, Reason) {
	if known != nil && known.state == stateMoved {
		return known.moved, ReasonNone
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

// open ties a request to its entry.
func (e *Engine) open(j *job, known *entry) {
	j.entry = known
	e.jobs.add(j)
	e.taken(j)
}

// taken tells a caller where the outcome is kept.
func (e *Engine) taken(j *job) {
	if j.Target == nil {
		e.do(SendOwner{ID: j.ID})
	}
}

// reject answers a request that never became a job.
func (e *Engine) reject(j *job, outcome Outcome, reason Reason) {
	e.do(Reply{ID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: e.retryAfter(reason)})
}

// place decides where a request runs.
func (e *Engine) place(now time.Time, j *job) {
	if e.zoneOut {
		e.finish(now, j, OutcomeNotRun, ReasonZoneOut)
		return
	}
	if reason := e.closed(); reason != ReasonNone {
		e.elsewhere(now, j, reason)
		return
	}
	if e.relayIfLighter(now, j) {
		return
	}
	e.offer(now, j)
}

// closed tells why this agent takes no new work.
func (e *Engine) closed() Reason {
	switch {
	case e.zoneOut:
		return ReasonZoneOut
	case e.draining, e.leaving:
		return ReasonDraining
	case !e.present:
		return ReasonNoUpstream
	}
	return ReasonNone
}

// offer asks the limiter for a slot.
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
		e.do(RunUpstream{ID: j.ID, Retry: j.retries > 0})
	case admission.VerdictWait:
		j.phase = phaseWaiting
	case admission.VerdictRefuse:
		e.elsewhere(now, j, refusalReason(d.Refusal))
	}
	e.apply(now, d.Change)
}

// apply carries out what changed for waiting works.
func (e *Engine) apply(now time.Time, c admission.Change) {
	for _, id := range c.Started {
		j := e.jobs.byID[id]
		j.phase = phaseRunning
		e.do(RunUpstream{ID: id, Retry: j.retries > 0})
	}
	for _, d := range c.Dropped {
		e.elsewhere(now, e.jobs.byID[d.ID], refusalReason(d.Refusal))
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

// waiting returns the queued requests in the order of their IDs.
func (e *Engine) waiting() []*job {
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
