package request

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/admission"
)

// relayed is a request as a peer agent relays it to e.
func relayed(e *Engine, id ID, key string, attempt int) Request {
	target := e.SelfAt(origin)
	r := once(id, key)
	r.Target, r.Attempt = &target, attempt
	return r
}

func peerOf(e *Engine, n byte) AgentRef {
	p := ref(n, 7)
	p.ClockMillis = 1
	e.UpdatePeerLoad(origin, LoadReport{Peer: p, Load: admission.Load{Slots: 9, Limit: 9}})
	return p
}

func lost() Result {
	return Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true}
}

func retryWithOwner(id ID, key string, attempt int, owner AgentRef) Request {
	r := once(id, key)
	r.Attempt, r.Owner = attempt, &owner
	return r
}

// lastReply returns the reply that ends the actions.
func lastReply(actions []Action) Reply { return actions[len(actions)-1].(Reply) }

func TestRefusedRelayLeavesClaimWithSender(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	e.Submit(origin, once(1, "other")) // the only slot
	e.Drain(origin)
	is.Equal(lastReply(e.Submit(origin, relayed(e, 2, "k", 1))).Outcome, OutcomeNotRun)

	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: ref(3, 1)}
	is.Equal(e.Resolve(origin, q).State, ResolvedUnknown) // this agent was never the owner

	sender := ref(1, 1)
	actions := e.Submit(origin, retryWithOwner(3, "k", 2, sender))
	is.Equal(actions[1].(QueryOwner).Owner, sender)
}

func TestClaimAfterLostRelayStaysWithSender(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	peer := peerOf(e, 3)
	e.Drain(origin)
	is.Equal(e.Submit(origin, relayed(e, 1, "k", 1))[0].(RelayTo).Peer, peer)
	is.Equal(e.RelayDone(origin, 1, lost())[0].(QueryOwner).Owner, peer)
	is.Equal(lastReply(e.QueryDone(origin, 1, Resolution{State: ResolvedNotRun})).Outcome, OutcomeNotRun)

	// The sender may have run it since: only the sender can tell.
	actions := e.Submit(origin, retryWithOwner(2, "k", 2, ref(1, 1)))
	is.Equal(actions[1].(QueryOwner).Owner, ref(1, 1))
}

func TestDoubledRelayOfLostRunIsUnknown(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	peer := peerOf(e, 3)
	e.Drain(origin)
	e.Submit(origin, relayed(e, 1, "k", 1))
	e.RelayDone(origin, 1, lost())
	unreachable := Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable}
	is.Equal(lastReply(e.QueryDone(origin, 1, unreachable)).Outcome, OutcomeUnknown)

	is.Equal(lastReply(e.Submit(origin, relayed(e, 2, "k", 1))).Outcome, OutcomeUnknown)
	r := e.Resolve(origin, Query{Key: "k", Attempt: 1, Target: e.SelfAt(origin), Querier: ref(1, 1)})
	is.Equal(r.State, ResolvedMoved)
	is.Equal(*r.Moved, peer)
}

func TestLostQuestionKeepsFirstPointer(t *testing.T) {
	is := is.New(t)
	e := newEngine(2, 1)
	owner, next := ref(1, 1), ref(3, 1)
	e.Submit(origin, retryWithOwner(1, "k", 2, owner))
	is.Equal(e.QueryDone(origin, 1, Resolution{State: ResolvedMoved, Moved: &next})[0].(QueryOwner).Owner, next)
	e.QueryDone(origin, 1, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})

	r := e.Resolve(origin, Query{Key: "k", Attempt: 3, Target: e.Self(), Querier: ref(4, 1)})
	is.True(r.Moved.SameIncarnation(owner)) // next may have granted the key to another since
}

func TestRetentionIsTyped(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Submit(origin, once(1, "k"))
	e.UpstreamDone(origin, 1, Result{Outcome: OutcomeRan, Status: 200})
	later := origin.Add(time.Minute) // the retention
	e.Tick(later)
	is.Equal(e.Counts().Entries, 0)
	expired := lastReply(e.Submit(later, retryWithOwner(2, "k", 2, e.Self())))
	is.Equal(expired.Outcome, OutcomeUnknown)
	is.Equal(expired.Reason, ReasonKeyExpired)
}

func TestLongerRetentionVouchesLate(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	target := e.SelfAt(origin)
	longer := testTargets
	longer.RetentionMillis *= 10
	e.SetTargets(origin, longer)
	// A tombstone made just before the change lives for the old retention.
	r := once(1, "k")
	r.Target, r.Deadline = &target, origin.Add(time.Hour)
	is.Equal(lastReply(e.Submit(origin.Add(2*time.Minute), r)).Reason, ReasonKeyExpired)
}

func TestRetriesStayInBudget(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	retries := 0
	for id := ID(1); id <= 20; id++ {
		peerOf(e, 2)
		peerOf(e, 3)
		actions := e.Submit(origin, once(id, string(rune('a'+id))))
		for len(actions) > 0 {
			switch x := actions[len(actions)-1].(type) {
			case RunUpstream:
				actions = e.UpstreamDone(origin, id, Result{Outcome: OutcomeNotRun, Reason: ReasonShed})
			case RelayTo:
				if x.Retry {
					retries++
				}
				actions = e.RelayDone(origin, id, Result{Outcome: OutcomeNotRun, Reason: ReasonNoSlot})
			default:
				actions = nil
			}
		}
	}
	is.Equal(retries, initialRetryTokens) // none succeeds, so no token is earned
}

func TestRepeatedAttemptsKeepMemoryBounded(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(origin)
	for i := 1; i <= 10_000; i++ {
		r := once(ID(i), "k")
		r.Attempt = i
		r.Deadline = origin.Add(time.Hour)
		is.Equal(lastReply(e.Submit(origin, r)).Outcome, OutcomeNotRun)
	}
	is.True(len(e.ledger.expiries) <= 3+2*minStaleToCompact)
	is.True(len(e.jobs.deadlines) <= 3+2*minStaleToCompact)
}

func TestGrantIsRepeatedOnlyWhileHolderRemembers(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(origin)
	e.Submit(origin, once(1, "k"))
	holder := ref(2, 1)
	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: holder}
	is.Equal(e.Resolve(origin, q).State, ResolvedNotRun)

	// A retry here asks the holder in vain, which renews the entry but not the
	// grant: the holder may have run the key and forgotten it.
	later := origin.Add(50 * time.Second)
	r := retryWithOwner(2, "k", 3, e.Self())
	r.Deadline = later.Add(time.Second)
	is.Equal(e.Submit(later, r)[1].(QueryOwner).Owner.Addr, holder.Addr)
	e.QueryDone(later, 2, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
	q.Attempt = 4
	is.Equal(e.Resolve(later.Add(50*time.Second), q).State, ResolvedMoved)
}

func TestLateQuestionGetsNoClaim(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	e.Drain(origin)
	e.Submit(origin, once(1, "k"))
	is.Equal(lastReply(e.Submit(origin, retryWithOwner(2, "k", 3, e.Self()))).Outcome, OutcomeNotRun)
	for _, target := range []AgentRef{e.Self(), e.SelfAt(origin)} {
		q := Query{Key: "k", Attempt: 2, Target: target, Querier: ref(2, 1)}
		is.Equal(e.Resolve(origin, q).State, ResolvedUnknown) // attempt 3 was declared not run
	}
	q := Query{Key: "k", Attempt: 4, Target: e.Self(), Querier: ref(2, 1)}
	is.Equal(e.Resolve(origin, q).State, ResolvedNotRun)
}
