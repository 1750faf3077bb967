package request

import "time"

// maxQueryHops is how many agents are queried in succession for one key.
const maxQueryHops = 4

// minRetention is the shortest retention that a configuration may set. Every
// agent keeps entries at least this long, whatever its configuration.
const minRetention = time.Second

// Resolve answers a peer agent's query for a key. A key that has not run is
// tombstoned in the same step, and the claim to run it goes to the querier.
func (e *Engine) Resolve(now time.Time, q Query) Resolution {
	e.beginStep(now)
	if !q.Target.SameIncarnation(e.self) {
		return unknownResolution(ReasonOwnerUnreachable)
	}
	entry := e.ledger.find(q.Key)
	if entry == nil {
		return e.resolveMissing(now, q)
	}
	switch entry.state {
	case stateActive:
		return Resolution{State: ResolvedRunning, Reason: ReasonDuplicate}
	case stateRan:
		return Resolution{State: ResolvedRan, Response: entry.response}
	case stateTombstoned:
		return e.resolveTombstoned(now, q, entry)
	case stateMoved:
		return resolveMoved(now, q, entry)
	}
	return unknownResolution(entry.reason)
}

func unknownResolution(reason Reason) Resolution {
	return Resolution{State: ResolvedUnknown, Reason: reason}
}

// resolveMissing answers a query for a key that is not in the ledger. A query
// without a clock is for a key that this agent owned, whose entry has expired;
// one with a clock is for a relay, which may never have arrived.
func (e *Engine) resolveMissing(now time.Time, q Query) Resolution {
	if !e.ledgerCovers(now, q.Target.ClockMillis) {
		return unknownResolution(ReasonKeyExpired)
	}
	if !e.ledger.hasTombstoneCapacity() {
		return unknownResolution(ReasonLedgerFull)
	}
	entry := e.ledger.add(q.Key, q.Attempt, false)
	e.grantClaim(now, entry, q.Querier)
	return Resolution{State: ResolvedNotRun, Reason: ReasonRelayFailed}
}

// resolveTombstoned transfers the claim to the querier. An owner transfers it
// only for a later attempt than those refused here, because their caller may have
// been told that they never run. A refused relay was reported only to the relaying
// agent, which may therefore query the same attempt. Without the claim, this agent
// answers only queries for relays.
func (e *Engine) resolveTombstoned(now time.Time, q Query, entry *ledgerEntry) Resolution {
	relayed := q.Target.ClockMillis > 0 && !entry.hasClaim
	earlier := entry.attempt < q.Attempt || relayed && entry.attempt == q.Attempt
	if !earlier || !relayed && !entry.hasClaim {
		return unknownResolution(ReasonTombstoned)
	}
	entry.attempt = max(entry.attempt, q.Attempt)
	reason := entry.reason
	e.grantClaim(now, entry, q.Querier)
	return Resolution{State: ResolvedNotRun, Reason: reason}
}

// resolveMoved returns the agent that may hold the outcome, or repeats a grant
// whose response was lost. It repeats a grant only within minRetention, while
// the agent that got the claim still has the entry if it ran the key.
func resolveMoved(now time.Time, q Query, entry *ledgerEntry) Resolution {
	granted := !entry.grantedAt.IsZero() && now.Sub(entry.grantedAt) < minRetention
	if granted && entry.movedTo.SameIncarnation(q.Querier) {
		return Resolution{State: ResolvedNotRun, Reason: ReasonTombstoned}
	}
	moved := entry.movedTo
	return Resolution{State: ResolvedMoved, Moved: &moved}
}

// startQuery queries the owner for the job's key.
func (e *Engine) startQuery(j *job, owner AgentRef) {
	j.firstQueried = owner
	j.queries = 0
	e.sendQuery(j, owner)
}

// sendQuery sends one query for the job's key.
func (e *Engine) sendQuery(j *job, owner AgentRef) {
	j.phase = phaseQuerying
	j.queried = owner
	j.queries++
	e.emit(QueryOwner{ID: j.ID, Owner: owner, Query: Query{
		Key:     j.Key,
		Attempt: j.Attempt,
		Target:  owner,
		Querier: e.self,
	}})
}

// QueryDone handles the result of a query.
func (e *Engine) QueryDone(now time.Time, id ID, r Resolution) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseQuerying {
		return nil
	}
	e.beginStep(now)
	switch r.State {
	case ResolvedRan:
		e.replay(now, j, r.Response)
	case ResolvedNotRun:
		e.claimGranted(now, j)
	case ResolvedMoved:
		e.followMoved(now, j, r.Moved)
	case ResolvedRunning:
		e.finish(now, j, OutcomeUnknown, ReasonDuplicate)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
	return e.takeActions()
}

func (e *Engine) replay(now time.Time, j *job, response *Response) {
	delete(e.jobs.byID, j.ID)
	e.ledger.finish(now, j.entry, stateRan, ReasonNone)
	e.ledger.storeResponse(j.entry, response)
	e.emit(ReplayResponse{ID: j.ID, Key: j.Key, Response: j.entry.response})
}

// claimGranted continues a request that only this agent may run now. If the
// request was relayed here, the claim stays with the agent that relayed it.
func (e *Engine) claimGranted(now time.Time, j *job) {
	j.entry.grantedAt = time.Time{}
	if j.Target == nil {
		j.entry.hasClaim = true
	}
	if len(j.triedPeers) > 0 {
		e.relayRefused(now, j)
		return
	}
	e.placeJob(now, j)
}

// followMoved queries the agent that the last response named.
func (e *Engine) followMoved(now time.Time, j *job, to *AgentRef) {
	if to == nil || to.Addr == e.self.Addr || j.queries >= maxQueryHops {
		e.finish(now, j, OutcomeUnknown, ReasonOwnerUnreachable)
		return
	}
	e.sendQuery(j, *to)
}
