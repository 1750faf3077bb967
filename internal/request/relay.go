package request

import (
	"slices"
	"time"
)

// relayMargin is how much lower than this agent's score a peer's score must be
// to relay a request that could run here.
const relayMargin = 0.4

// mayRelay reports whether the request may be relayed. A long-lived stream stays
// at the agent of its flow while that has an upstream: a peer's GOAWAY does not
// reach the caller, so a relayed stream could keep the peer from finishing a
// drain.
func (e *Engine) mayRelay(j *job) bool {
	return len(j.Via) < MaxRelays && (!j.Class.StayConnected || !e.upstreamPresent)
}

// relayIfLessLoaded relays a request that could run here if a peer is clearly
// less loaded, and reports whether it did.
func (e *Engine) relayIfLessLoaded(now time.Time, j *job) bool {
	if !e.mayRelay(j) {
		return false
	}
	load := e.limiter.Load(now)
	localShare := share(load.Busy+load.Queued+1, load.Limit)
	if len(j.Via) > 0 && localShare <= 1 {
		return false
	}
	best := e.bestPeer(now, j)
	if !best.hasCapacity() || best.score >= localShare+utilizationWeight*load.Utilization-relayMargin {
		return false
	}
	e.relay(now, j, best.peer, e.relayReason(localShare))
	return true
}

func (e *Engine) relayReason(localShare float64) Reason {
	if localShare <= 1 {
		return ReasonNone
	}
	return ReasonNoSlot
}

// relayOrRefuse relays a request that can't run here, or refuses it. Every relay
// after the first attempt takes a token from the class's retry budget.
func (e *Engine) relayOrRefuse(now time.Time, j *job, reason Reason) {
	if e.zoneOut || !e.mayRelay(j) {
		e.finish(now, j, OutcomeNotRun, reason)
		return
	}
	best := e.bestPeer(now, j)
	if !best.hasCapacity() {
		e.finish(now, j, OutcomeNotRun, reason)
		return
	}
	again := len(j.triedPeers) > 0 || j.triedUpstream
	if again && !e.takeRetryToken(j) {
		e.finish(now, j, OutcomeNotRun, ReasonRetryBudget)
		return
	}
	e.relay(now, j, best.peer, reason)
}

// bestPeer returns the least loaded peer that has not had the request yet.
func (e *Engine) bestPeer(now time.Time, j *job) candidate {
	return e.peers.leastLoaded(now, e.maxReportAge(now), e.limiter.MeanServiceTime(), j.triedPeers, j.Via)
}

// maxReportAge returns how old a peer's load report may be. The peer rejects a
// relay whose clock in Crocus-Target is older than its ledger covers.
func (e *Engine) maxReportAge(now time.Time) time.Duration {
	return min(maxPeerReportAge, e.window.coverage(now)/2)
}

func (e *Engine) relay(now time.Time, j *job, p *peer, reason Reason) {
	j.phase = phaseRelayed
	j.relayPeer = p.ref
	j.relayedAt = now
	j.triedPeers = append(j.triedPeers, p.ref.Addr)
	e.peers.relaySent(now, p.ref.Addr)
	via := append(slices.Clone(j.Via), e.self.Addr)
	e.emit(RelayTo{ID: j.ID, Peer: p.ref, Via: via, Reason: reason, Retry: j.retries > 0})
}

// RelayDone handles the end of a relay.
func (e *Engine) RelayDone(now time.Time, id ID, r Result) []Action {
	j := e.jobs.byID[id]
	if j == nil || j.phase != phaseRelayed {
		return nil
	}
	e.beginStep(now)
	e.peers.relayDone(j.relayPeer.Addr, j.relayedAt)
	if j.replied {
		e.recordRelayEnd(now, j, r)
		return e.takeActions()
	}
	switch {
	case r.Outcome == OutcomeRan:
		e.finishRan(now, j, r)
	case r.Outcome == OutcomeNotRun:
		e.relayRefused(now, j)
	case j.entry == nil:
		e.retryIdempotent(now, j, r)
	case r.ResponseLost || r.Reason == ReasonDuplicate:
		e.startQuery(j, j.relayPeer)
	default:
		e.finish(now, j, OutcomeUnknown, r.Reason)
	}
	return e.takeActions()
}

// recordRelayEnd records the outcome of a relay whose caller already has a reply.
func (e *Engine) recordRelayEnd(now time.Time, j *job, r Result) {
	delete(e.jobs.byID, j.ID)
	if j.entry == nil {
		return
	}
	switch {
	case r.Outcome == OutcomeRan:
		e.ledger.finish(now, j.entry, stateRan, ReasonNone)
		e.ledger.storeResponse(j.entry, r.Response)
	case r.Outcome == OutcomeNotRun:
		e.ledger.finish(now, j.entry, stateTombstoned, r.Reason)
	default:
		e.markMoved(now, j.entry, j.relayPeer)
	}
}

// relayRefused handles a request that a peer did not run and never will.
func (e *Engine) relayRefused(now time.Time, j *job) {
	e.peers.relayRefused(j.relayPeer.Addr)
	if reason := e.notAcceptingReason(); reason != ReasonNone {
		e.relayOrRefuse(now, j, reason)
		return
	}
	e.offer(now, j)
}
