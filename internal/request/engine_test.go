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
	origin      = time.Unix(1_700_000_000, 0)
	testTargets = config.Targets{
		FreshShare: 0.2, FreshSteps: 4, FreshIntervalMillis: 100,
		QueuePerSlot: 2, RetryShare: 0.1, RetentionMillis: 60_000,
	}
	onceClass = config.Class{Name: "departure", RunAtMostOnce: true, DeadlineMillis: 1000}
)

func ref(n byte, incarnation uint64) AgentRef {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)
	return AgentRef{Addr: addr, Incarnation: incarnation}
}

// newEngine returns an engine whose upstream bears all of its slots.
func newEngine(n byte, slots int) *Engine {
	t := testTargets
	t.FreshShare = 1
	e := New(Options{Self: ref(n, 1), Start: origin, Targets: t, Random: rand.New(rand.NewPCG(1, uint64(n)))})
	e.Announce(origin, admission.Announcement{Slots: slots, Connections: 10, State: admission.StateWarm})
	return e
}

func once(id ID, key string) Request {
	return Request{ID: id, Key: key, Class: onceClass, Deadline: origin.Add(time.Second)}
}

func TestRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 5)
	is.Equal(e.Submit(origin, once(1, "k")), []Action{SendOwner{ID: 1}, RunUpstream{ID: 1}})

	again := e.Submit(origin, once(2, "k"))
	is.Equal(len(again), 1)
	is.Equal(again[0].(Reply).Reason, ReasonDuplicate)

	answer := &Response{Status: 200, Body: []byte("ok")}
	done := e.UpstreamDone(origin, 1, Result{Outcome: OutcomeRan, Status: 200, Response: answer})
	is.Equal(done, []Action{Reply{ID: 1, Outcome: OutcomeRan}})

	is.Equal(e.Submit(origin, once(3, "k")), []Action{ReplayResponse{ID: 3, Key: "k", Response: answer}})
}

func TestResolveGrantsClaimOnce(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 5)
	e.Drain(origin)
	refused := e.Submit(origin, once(1, "k"))
	is.Equal(refused[1].(Reply).Outcome, OutcomeNotRun)

	q := Query{Key: "k", Attempt: 2, Target: e.Self(), Querier: ref(2, 1)}
	is.Equal(e.Resolve(origin, q).State, ResolvedNotRun)
	is.Equal(e.Resolve(origin, q).State, ResolvedNotRun) // the answer may have been lost
	q.Querier = ref(3, 1)
	r := e.Resolve(origin, q)
	is.Equal(r.State, ResolvedMoved)
	is.True(r.Moved.SameIncarnation(ref(2, 1)))
	q.Target = ref(1, 0)
	is.Equal(e.Resolve(origin, q).State, ResolvedUnknown) // asked for an older incarnation
}

func TestRelaysToLighterPeer(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := ref(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(origin, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	is.Equal(e.Submit(origin, once(1, "k")), []Action{
		SendOwner{ID: 1},
		RelayTo{ID: 1, Peer: peer, Via: []netip.AddrPort{e.Self().Addr}},
	})
	ask := e.RelayDone(origin, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
	is.Equal(ask[0].(QueryOwner).Owner, peer)
	is.Equal(e.QueryDone(origin, 1, Resolution{State: ResolvedNotRun}), []Action{RunUpstream{ID: 1}})
}

// A retry that is refused must not make a request not-run whose first try may
// have run, also when it is idempotent.
func TestRefusedRetryOfAnIdempotentRequestIsUnknown(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := ref(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(origin, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	r := Request{ID: 1, Class: config.Class{Name: "status", DeadlineMillis: 1000}, Deadline: origin.Add(time.Second)}
	relayed := e.Submit(origin, r)
	is.Equal(relayed[len(relayed)-1].(RelayTo).Peer, peer)
	e.Drain(origin) // nothing may start here any more
	last := e.RelayDone(origin, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed})
	is.Equal(last[0].(Reply).Outcome, OutcomeUnknown)

	e = newEngine(1, 1)
	is.Equal(e.Submit(origin, r)[0], RunUpstream{ID: 1})
	e.UpdatePeerLoad(origin, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	again := e.UpstreamDone(origin, 1, Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed})
	is.Equal(again[0].(RelayTo).Peer, peer)
	e.Drain(origin)
	refused := e.RelayDone(origin, 1, Result{Outcome: OutcomeNotRun, Reason: ReasonNoSlot})
	is.Equal(refused[len(refused)-1].(Reply).Outcome, OutcomeUnknown)
}

// A relayed stream would keep the peer from ever finishing a drain.
func TestLongLivedStreamsStayWithTheirFlow(t *testing.T) {
	is := is.New(t)
	e := newEngine(1, 1)
	peer := ref(2, 7)
	peer.ClockMillis = 1
	e.UpdatePeerLoad(origin, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	stream := Request{ID: 1, Class: config.Class{Name: "session", StayConnected: true}}
	is.Equal(e.Submit(origin, stream), []Action{RunUpstream{ID: 1}}) // although the peer is less loaded

	e.Announce(origin, admission.Announcement{}) // the upstream is gone
	stream.ID = 2
	is.Equal(e.Submit(origin, stream)[0].(RelayTo).Peer, peer)

	e = newEngine(1, 1)
	e.UpdatePeerLoad(origin, LoadReport{Peer: peer, Load: admission.Load{Limit: 4}})
	e.Drain(origin)
	refused := e.Submit(origin, stream)
	is.Equal(refused[0].(Reply).Outcome, OutcomeNotRun)
	is.Equal(refused[0].(Reply).Reason, ReasonDraining)
}
