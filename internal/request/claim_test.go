package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/admission"
)

// relayedRequest returns a request as relayed to e by a peer agent.
func relayedRequest(e *Engine, id ID, key string, attempt int) Request {
	target := e.SelfAt(testStart)
	r := onceRequest(id, key)
	r.Target, r.Attempt = &target, attempt
	return r
}

func addPeer(e *Engine, n byte) AgentRef {
	p := agentRef(n, 7)
	p.ClockMillis = 1
	e.UpdatePeerLoad(testStart, LoadReport{Peer: p, Load: admission.Load{Slots: 9, Limit: 9}})
	return p
}

func lostResponse() Result {
	return Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true}
}

func retryRequest(id ID, key string, attempt int, owner AgentRef) Request {
	r := onceRequest(id, key)
	r.Attempt, r.Owner = attempt, &owner
	return r
}

// lastReply returns the last action, which must be a Reply.
func lastReply(actions []Action) Reply { return actions[len(actions)-1].(Reply) }

func TestRefusedRelayLeavesClaimWithSender(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	e.Submit(testStart, onceRequest(1, "other")) // the only slot
	e.Drain(testStart)
	is.Equal(lastReply(e.Submit(testStart, relayedRequest(e, 2, "k", 1))).Outcome, OutcomeNotRun)

	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: agentRef(3, 1)}
	is.Equal(e.Resolve(testStart, q).State, ResolvedUnknown) // this agent was never the owner

	sender := agentRef(1, 1)
	actions := e.Submit(testStart, retryRequest(3, "k", 2, sender))
	is.Equal(actions[1].(QueryOwner).Owner, sender)
}

func TestClaimAfterLostResponseStaysWithSender(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	peer := addPeer(e, 3)
	e.Drain(testStart)
	is.Equal(e.Submit(testStart, relayedRequest(e, 1, "k", 1))[0].(RelayTo).Peer, peer)
	is.Equal(e.RelayDone(testStart, 1, lostResponse())[0].(QueryOwner).Owner, peer)
	is.Equal(lastReply(e.QueryDone(testStart, 1, Resolution{State: ResolvedNotRun})).Outcome, OutcomeNotRun)

	// The sender may have run the key since, so only the sender has the outcome.
	actions := e.Submit(testStart, retryRequest(2, "k", 2, agentRef(1, 1)))
	is.Equal(actions[1].(QueryOwner).Owner, agentRef(1, 1))
}

func TestDuplicateRelayAfterLostResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	peer := addPeer(e, 3)
	e.Drain(testStart)
	e.Submit(testStart, relayedRequest(e, 1, "k", 1))
	e.RelayDone(testStart, 1, lostResponse())
	unreachable := Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable}
	is.Equal(lastReply(e.QueryDone(testStart, 1, unreachable)).Outcome, OutcomeUnknown)

	is.Equal(lastReply(e.Submit(testStart, relayedRequest(e, 2, "k", 1))).Outcome, OutcomeUnknown)
	r := e.Resolve(testStart, Query{Key: "k", Attempt: 1, Target: e.SelfAt(testStart), Querier: agentRef(1, 1)})
	is.Equal(r.State, ResolvedMoved)
	is.Equal(*r.Moved, peer)
}

func TestFailedQueryKeepsFirstOwner(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	owner, next := agentRef(1, 1), agentRef(3, 1)
	e.Submit(testStart, retryRequest(1, "k", 2, owner))
	is.Equal(e.QueryDone(testStart, 1, Resolution{State: ResolvedMoved, Moved: &next})[0].(QueryOwner).Owner, next)
	e.QueryDone(testStart, 1, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})

	r := e.Resolve(testStart, Query{Key: "k", Attempt: 3, Target: e.Self(), Querier: agentRef(4, 1)})
	is.True(r.Moved.SameIncarnation(owner)) // next may have granted the key to another since
}

func TestRetryAfterRetentionIsKeyExpired(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Submit(testStart, onceRequest(1, "k"))
	e.UpstreamDone(testStart, 1, Result{Outcome: OutcomeRan, Status: 200})
	later := testStart.Add(time.Minute) // the retention
	e.Tick(later)
	is.Equal(e.Counts().Entries, 0)
	expired := lastReply(e.Submit(later, retryRequest(2, "k", 2, e.Self())))
	is.Equal(expired.Outcome, OutcomeUnknown)
	is.Equal(expired.Reason, ReasonKeyExpired)
}

func TestLongerRetentionTakesEffectLate(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	target := e.SelfAt(testStart)
	longer := testTargets
	longer.RetentionMillis *= 10
	e.SetTargets(testStart, longer)
	// A tombstone created just before the change expires after the old retention.
	r := onceRequest(1, "k")
	r.Target, r.Deadline = &target, testStart.Add(time.Hour)
	is.Equal(lastReply(e.Submit(testStart.Add(2*time.Minute), r)).Reason, ReasonKeyExpired)
}

func TestRetriesStayInBudget(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	retries := 0
	for id := ID(1); id <= 20; id++ {
		addPeer(e, 2)
		addPeer(e, 3)
		actions := e.Submit(testStart, onceRequest(id, string(rune('a'+id))))
		for len(actions) > 0 {
			switch x := actions[len(actions)-1].(type) {
			case RunUpstream:
				actions = e.UpstreamDone(testStart, id, Result{Outcome: OutcomeNotRun, Reason: ReasonShed})
			case RelayTo:
				if x.Retry {
					retries++
				}
				actions = e.RelayDone(testStart, id, Result{Outcome: OutcomeNotRun, Reason: ReasonNoSlot})
			default:
				actions = nil
			}
		}
	}
	is.Equal(retries, initialRetryTokens) // no request succeeds, so no token is added
}

func TestRepeatedAttemptsKeepMemoryBounded(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(testStart)
	for i := 1; i <= 10_000; i++ {
		r := onceRequest(ID(i), "k")
		r.Attempt = i
		r.Deadline = testStart.Add(time.Hour)
		is.Equal(lastReply(e.Submit(testStart, r)).Outcome, OutcomeNotRun)
	}
	is.True(len(e.ledger.expiries) <= 3+2*minStaleToCompact)
	is.True(len(e.jobs.deadlines) <= 3+2*minStaleToCompact)
}

func TestGrantIsRepeatedOnlyWithinMinRetention(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(testStart)
	e.Submit(testStart, onceRequest(1, "k"))
	holder := agentRef(2, 1)
	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: holder}
	is.Equal(e.Resolve(testStart, q).State, ResolvedNotRun)

	// A retry here queries the holder without success. This restarts the
	// retention of the entry but does not renew the grant: the holder may have
	// run the key and its entry may have expired.
	later := testStart.Add(50 * time.Second)
	r := retryRequest(2, "k", 3, e.Self())
	r.Deadline = later.Add(time.Second)
	is.Equal(e.Submit(later, r)[1].(QueryOwner).Owner.Addr, holder.Addr)
	e.QueryDone(later, 2, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
	q.Attempt = 4
	is.Equal(e.Resolve(later.Add(50*time.Second), q).State, ResolvedMoved)
}

func TestQueryForRefusedAttemptGetsNoClaim(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(testStart)
	e.Submit(testStart, onceRequest(1, "k"))
	is.Equal(lastReply(e.Submit(testStart, retryRequest(2, "k", 3, e.Self()))).Outcome, OutcomeNotRun)
	for _, target := range []AgentRef{e.Self(), e.SelfAt(testStart)} {
		q := Query{Key: "k", Attempt: 2, Target: target, Querier: agentRef(2, 1)}
		is.Equal(e.Resolve(testStart, q).State, ResolvedUnknown) // attempt 3 was reported as not run
	}
	q := Query{Key: "k", Attempt: 4, Target: e.Self(), Querier: agentRef(2, 1)}
	is.Equal(e.Resolve(testStart, q).State, ResolvedNotRun)
}
