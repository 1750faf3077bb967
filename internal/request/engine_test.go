package request

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

var (
	testStart   = time.Unix(1_700_000_000, 0)
	testTargets = config.Targets{
		FreshShare: 0.2, FreshSteps: 4, FreshIntervalMillis: 100,
		QueuePerSlot: 2, RetryShare: 0.1, RetentionMillis: 60_000,
	}
	onceClass = config.Class{Name: "departure", RunAtMostOnce: true, DeadlineMillis: 1000}
)

func agentRef(n byte, incarnation uint64) AgentRef {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)
	return AgentRef{Addr: addr, Incarnation: incarnation}
}

// newEngine returns an engine with a warm upstream and a limit of all its slots.
func newEngine(n byte, slots int) *Engine {
	t := testTargets
	t.FreshShare = 1
	e := New(Options{Self: agentRef(n, 1), Start: testStart, Targets: t, Random: rand.New(rand.NewPCG(1, uint64(n)))})
	e.Announce(testStart, admission.Announcement{Slots: slots, Connections: 10, State: admission.StateWarm})
	return e
}

func onceRequest(id ID, key string) Request {
	return Request{ID: id, Key: key, Class: onceClass, Deadline: testStart.Add(time.Second)}
}

func TestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 5)
	is.Equal(e.Submit(testStart, onceRequest(1, "k")), []Action{SendOwner{ID: 1}, RunUpstream{ID: 1}})

	again := e.Submit(testStart, onceRequest(2, "k"))
	is.Equal(len(again), 1)
	is.Equal(again[0].(Reply).Reason, ReasonDuplicate)

	response := &Response{Status: 200, Body: []byte("ok")}
	done := e.UpstreamDone(testStart, 1, Result{Outcome: OutcomeRan, Status: 200, Response: response})
	is.Equal(done, []Action{Reply{ID: 1, Outcome: OutcomeRan}})

	is.Equal(e.Submit(testStart, onceRequest(3, "k")), []Action{ReplayResponse{ID: 3, Key: "k", Response: response}})
}

func TestResolveGrantsClaimOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 5)
	e.Drain(testStart)
	refused := e.Submit(testStart, onceRequest(1, "k"))
	is.Equal(refused[1].(Reply).Outcome, OutcomeNotRun)

	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: agentRef(2, 1)}
	is.Equal(e.Resolve(testStart, q).State, ResolvedNotRun)
	is.Equal(e.Resolve(testStart, q).State, ResolvedNotRun) // the response may have been lost
	q.Querier = agentRef(3, 1)
	r := e.Resolve(testStart, q)
	is.Equal(r.State, ResolvedMoved)
	is.True(r.Moved.SameIncarnation(agentRef(2, 1)))
	q.Target = agentRef(1, 0)
	is.Equal(e.Resolve(testStart, q).State, ResolvedUnknown) // the query is for an older incarnation
}

func TestRelaysToLessLoadedPeer(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := agentRef(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(testStart, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	is.Equal(e.Submit(testStart, onceRequest(1, "k")), []Action{
		SendOwner{ID: 1},
		RelayTo{ID: 1, Peer: peer, Via: []netip.AddrPort{e.Self().Addr}},
	})
	query := e.RelayDone(testStart, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
	is.Equal(query[0].(QueryOwner).Owner, peer)
	is.Equal(e.QueryDone(testStart, 1, Resolution{State: ResolvedNotRun}), []Action{RunUpstream{ID: 1}})
}

// If the first attempt of an idempotent request may have run and its retry is
// refused, the request must not be reported as not run.
func TestRefusedRetryOfIdempotentRequestIsUnknown(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := agentRef(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(testStart, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	r := Request{ID: 1, Class: config.Class{Name: "status", DeadlineMillis: 1000}, Deadline: testStart.Add(time.Second)}
	relayed := e.Submit(testStart, r)
	is.Equal(relayed[len(relayed)-1].(RelayTo).Peer, peer)
	e.Drain(testStart) // no request may start here any more
	last := e.RelayDone(testStart, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed})
	is.Equal(last[0].(Reply).Outcome, OutcomeUnknown)

	e = newEngine(1, 1)
	is.Equal(e.Submit(testStart, r)[0], RunUpstream{ID: 1})
	e.UpdatePeerLoad(testStart, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	again := e.UpstreamDone(testStart, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed})
	is.Equal(again[0].(RelayTo).Peer, peer)
	e.Drain(testStart)
	refused := e.RelayDone(testStart, 1, Result{Outcome: OutcomeNotRun, Reason: ReasonNoSlot})
	is.Equal(refused[len(refused)-1].(Reply).Outcome, OutcomeUnknown)
}

// A relayed long-lived stream could keep the peer from finishing a drain, so
// streams are relayed only without a local upstream.
func TestLongLivedStreamsStayAtAgentOfFlow(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := agentRef(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(testStart, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	stream := Request{ID: 1, Class: config.Class{Name: "session", StayConnected: true}}
	is.Equal(e.Submit(testStart, stream), []Action{RunUpstream{ID: 1}}) // although the peer is less loaded

	e.Announce(testStart, admission.Announcement{}) // the upstream's lease has expired
	stream.ID = 2
	is.Equal(e.Submit(testStart, stream)[0].(RelayTo).Peer, peer)

	e = newEngine(1, 1)
	e.UpdatePeerLoad(testStart, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	e.Drain(testStart)
	refused := e.Submit(testStart, stream)
	is.Equal(refused[0].(Reply).Outcome, OutcomeNotRun)
	is.Equal(refused[0].(Reply).Reason, ReasonDraining)
}
