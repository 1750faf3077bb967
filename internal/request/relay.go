package request

import (
	"slices"
	"time"
)

// relayMargin is how much lower a peer's score must be for a request that could
// run here.
const relayMargin = 0.4

// mayRelay reports whether a peer may get the request. A long-lived stream
// stays with its flow's agent while that has an upstream: at a peer it would
// last as long as the caller likes, and the peer, whose GOAWAY does not reach
// that caller, could not finish a drain.
func (e *Engine) mayRelay(j *job) bool {
	return len(j.Via) < MaxRelays && (!j.Class.StayConnected || !e.present)
}

// relayIfLighter relays a request that this agent could take when a peer is
// clearly less loaded.
func (e *Engine) relayIfLighter(now time.Time, j *job) bool {
	if !e.mayRelay(j) {
		return false
	}
	load := e.limiter.Load(now)
	here := share(load.Busy+load.Queued+1, load.Limit)
	if len(j.Via) > 0 && here <= 1 {
		return false
	}
	best := e.lightest(now, j)
	if !best.hasRoom() || best.score >= here+usageWeight*load.Utilization-relayMargin {
		return false
	}
	e.relay(now, j, best.peer, e.busyReason(here))
	return true
}

func (e *Engine) busyReason(here float64) Reason {
	if here <= 1 {
		return ReasonNone
	}
	return ReasonNoSlot
}

// elsewhere relays a request that can't run here, or refuses it. Every relay
// after the first try costs a token of the class's retry budget.
func (e *Engine) elsewhere(now time.Time, j *job, reason Reason) {
	if e.zoneOut || !e.mayRelay(j) {
		e.finish(now, j, OutcomeNotRun, reason)
		return
	}
	best := e.lightest(now, j)
	if !best.hasRoom() {
		e.finish(now, j, OutcomeNotRun, reason)
		return
	}
	again := len(j.tried) > 0 || j.shed
	if again && !e.spendRetry(j) {
		e.finish(now, j, OutcomeNotRun, ReasonRetryBudget)
		return
	}
	e.relay(now, j, best.peer, reason)
}

// lightest returns the best peer among those that the request has not been at.
func (e *Engine) lightest(now time.Time, j *job) choice {
	return e.peers.least(now, e.peerAge(now), e.limiter.MeanServiceTime(), j.tried, j.Via)
}

// peerAge returns how old a peer's report may be. The peer refuses a relay
// that names a moment its ledger does not reach.
func (e *Engine) peerAge(now time.Time) time.Duration {
	return min(peerFreshFor, e.memory.reach(now)/2)
}

func (e *Engine) relay(now time.Time, j *job, p *peer, reason Reason) {
	j.phase = phaseRelayed
	j.peer = p.ref
	j.sentAt = now
	j.tried = append(j.tried, p.ref.Addr)
	e.peers.send(now, p.ref.Addr)
	via := append(slices.Clone(j.Via), e.self.Addr)
	e.do(RelayTo{ID: j.ID, Peer: p.ref, Via: via, Reason: reason, Retry: j.retries > 0})
}

// RelayDone takes the end of a relay.
func (e *Engine) RelayDone(now time.Time, id ID, r Result) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseRelayed {
		return nil
	}
	e.begin(now)
	e.peers.done(j.peer.Addr, j.sentAt)
	if j.replied {
		e.settleRelay(now, j, r)
		return e.take()
	}
	switch {
	case r.Outcome == OutcomeRan:
		e.success(now, j, r)
	case r.Outcome == OutcomeNotRun:
		e.relayRefused(now, j)
	case j.entry == nil:
		e.retryIdempotent(now, j, r)
	case r.ResponseLost || r.Reason == ReasonDuplicate:
		e.askFirst(j, j.peer)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
	return e.take()
}

// settleRelay records the end of a relay whose request was answered before.
func (e *Engine) settleRelay(now time.Time, j *job, r Result) {
	delete(e.jobs.byID, j.ID)
	if j.entry == nil {
		return
	}
	switch {
	case r.Outcome == OutcomeRan:
		e.ledger.end(now, j.entry, stateRan, ReasonNone)
		e.ledger.keep(j.entry, r.Response)
	case r.Outcome == OutcomeNotRun:
		e.ledger.end(now, j.entry, stateTombstoned, r.Reason)
	default:
		e.pointTo(now, j.entry, j.peer)
	}
}

// relayRefused goes on after a peer's true not-run.
func (e *Engine) relayRefused(now time.Time, j *job) {
	e.peers.refused(j.peer.Addr)
	if reason := e.closed(); reason != ReasonNone {
		e.elsewhere(now, j, reason)
		return
	}
	e.offer(now, j)
}
