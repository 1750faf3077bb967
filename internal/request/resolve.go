package request

import "time"

// maxAsks bounds how many agents are asked in a row for one key.
const maxAsks = 4

// leastRetention is the shortest retention that a configuration may state. It
// holds at every agent, whichever configuration that agent has.
const leastRetention = time.Second

// Resolve answers a peer agent's question after a key. A key that has not run
// is tombstoned in the same step, and the claim to run it goes to the asker.
func (e *Engine) Resolve(now time.Time, q Query) Resolution {
	e.begin(now)
	if !q.Target.SameIncarnation(e.self) {
		return unknown(ReasonOwnerUnreachable)
	}
	known := e.ledger.find(q.Key)
	if known == nil {
		return e.resolveMissing(now, q)
	}
	switch known.state {
	case stateActive:
		return Resolution{State: ResolvedRunning, Reason: ReasonDuplicate}
	case stateRan:
		return Resolution{State: ResolvedRan, Response: known.answer}
	case stateTombstoned:
		return e.resolveTombstoned(now, q, known)
	case stateMoved:
		return resolveMoved(now, q, known)
	}
	return unknown(known.reason)
}

func unknown(reason Reason) Resolution {
	return Resolution{State: ResolvedUnknown, Reason: reason}
}

// resolveMissing answers for a key that is not in the ledger. The owner of a
// key has had it, so that it is forgotten; a relay may never have come.
func (e *Engine) resolveMissing(now time.Time, q Query) Resolution {
	if !e.vouches(now, q.Target.ClockMillis) {
		return unknown(ReasonKeyExpired)
	}
	if !e.ledger.hasReserve() {
		return unknown(ReasonLedgerFull)
	}
	known := e.ledger.add(q.Key, q.Attempt, false)
	e.grant(now, known, q.Querier)
	return Resolution{State: ResolvedNotRun, Reason: ReasonRelayFailed}
}

// resolveTombstoned hands the claim on. An owner's tombstone covers earlier
// attempts only; what it was told of a later one stands.
func (e *Engine) resolveTombstoned(now time.Time, q Query, known *entry) Resolution {
	relayed := q.Target.ClockMillis > 0 && !known.claim
	earlier := known.attempt < q.Attempt || relayed && known.attempt == q.Attempt
	if !earlier || !relayed && !known.claim {
		return unknown(ReasonTombstoned)
	}
	known.attempt = max(known.attempt, q.Attempt)
	reason := known.reason
	e.grant(now, known, q.Querier)
	return Resolution{State: ResolvedNotRun, Reason: reason}
}

// resolveMoved points to the agent that may know, or repeats a grant whose
// answer was lost: only while the holder would still know that it ran.
func resolveMoved(now time.Time, q Query, known *entry) Resolution {
	granted := !known.granted.IsZero() && now.Sub(known.granted) < leastRetention
	if granted && known.moved.SameIncarnation(q.Querier) {
		return Resolution{State: ResolvedNotRun, Reason: ReasonTombstoned}
	}
	moved := known.moved
	return Resolution{State: ResolvedMoved, Moved: &moved}
}

// askFirst begins to ask after the job's key.
func (e *Engine) askFirst(j *job, owner AgentRef) {
	j.pointer = owner
	j.asks = 0
	e.ask(j, owner)
}

// ask sends a question for the job's key.
func (e *Engine) ask(j *job, owner AgentRef) {
	j.phase = phaseAsking
	j.asked = owner
	j.asks++
	e.do(QueryOwner{ID: j.ID, Owner: owner, Query: Query{
		Key:     j.Key,
		Attempt: j.Attempt,
		Target:  owner,
		Querier: e.self,
	}})
}

// QueryDone takes the answer to a question.
func (e *Engine) QueryDone(now time.Time, id ID, r Resolution) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseAsking {
		return nil
	}
	e.begin(now)
	switch r.State {
	case ResolvedRan:
		e.replay(now, j, r.Response)
	case ResolvedNotRun:
		e.claimed(now, j)
	case ResolvedMoved:
		e.follow(now, j, r.Moved)
	case ResolvedRunning:
		e.finish(now, j, OutcomeUnknown, ReasonDuplicate)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
	return e.take()
}

func (e *Engine) replay(now time.Time, j *job, a *Response) {
	delete(e.jobs.byID, j.ID)
	e.ledger.end(now, j.entry, stateRan, ReasonNone)
	e.ledger.keep(j.entry, a)
	e.do(ReplayResponse{ID: j.ID, Key: j.Key, Response: j.entry.answer})
}

// claimed goes on with a request that this agent alone may run now. A relay
// that came back leaves the claim with the agent that relayed it here.
func (e *Engine) claimed(now time.Time, j *job) {
	j.entry.granted = time.Time{}
	if j.Target == nil {
		j.entry.claim = true
	}
	if len(j.tried) > 0 {
		e.relayRefused(now, j)
		return
	}
	e.place(now, j)
}

// follow asks the agent that the last one pointed to.
func (e *Engine) follow(now time.Time, j *job, to *AgentRef) {
	if to == nil || to.Addr == e.self.Addr || j.asks >= maxAsks {
		e.finish(now, j, OutcomeUnknown, ReasonOwnerUnreachable)
		return
	}
	e.ask(j, *to)
}
