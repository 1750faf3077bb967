package passthrough

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// After a power loss six agents come back on instances whose upstreams have left, and
// vanish again. They can't tell what their upstreams hold: without a check all callers
// wait for them, for a second or more where they vanish.
func TestFlowsDoNotWaitForAgentsWithoutUpstream(t *testing.T) {
	const flows, maxWait = 20, 200 * time.Millisecond // up to searchAllLimit agents
	for name, tt := range map[string]struct {
		refused, vanish bool
		wantFast        bool
	}{
		"checked":           {refused: true, wantFast: true},
		"checked, vanish":   {refused: true, vanish: true, wantFast: true},
		"unchecked":         {},
		"unchecked, vanish": {vanish: true},
	} {
		for _, agents := range []int{15, 54, 200} {
			t.Run(fmt.Sprint(name, " ", agents), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t.Fatalf, 2, agents)
				sim.advance(5 * time.Second)
				var back []*simAgent
				for i := range 6 {
					a := sim.addAgent(900+i, "alpha")
					a.upstream.down = true
					a.start()
					if tt.refused {
						a.tracker.SetUpstreamRefused(sim.now, true)
					}
					back = append(back, a)
				}
				sim.syncViews()
				e := sim.entries[0]
				send := func(i int) flow.Key {
					k := nthKey(i)
					sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
					sim.deliverAll()
					return k
				}
				send(0) // the only one that they answer if they vanish
				sim.advance(flow.JoinWaitMax + 2*tickPeriod)
				for _, a := range back {
					a.removed = tt.vanish
				}
				if !tt.refused && !tt.vanish {
					for _, a := range back {
						a.start() // the first search has probed it: forget the result
					}
				}
				var keys []flow.Key
				for i := range flows {
					keys = append(keys, send(1+i))
				}
				unowned := func() bool {
					return !slices.ContainsFunc(keys, func(k flow.Key) bool { return e.router.flows[k].state != stateUnowned })
				}
				start := sim.now
				for !unowned() && sim.now.Sub(start) < 3*time.Second {
					sim.advance(tickPeriod)
				}
				t.Logf("no owner after %v", sim.now.Sub(start))
				if tt.wantFast && agents > searchAllLimit {
					is.True(sim.now.Sub(start) <= searchInterval) // agents of other services are queried later
					return
				}
				is.Equal(sim.now.Sub(start) <= maxWait, tt.wantFast)
			})
		}
	}
}

// Agents without an upstream often vanish before they have answered this entry. Their
// records say that they own no flow: each search waited up to a second for them.
func TestSearchDoesNotWaitForARecordWithoutUpstream(t *testing.T) {
	for name, tt := range map[string]struct {
		noUpstream, answers bool
		want                routedState
	}{
		"published":                        {noUpstream: true, want: stateUnowned},
		"not published":                    {want: stateSearching},
		"published, but it can't tell now": {noUpstream: true, answers: true, want: stateSearching},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 9)
			sim.advance(time.Second)
			a := sim.addAgent(30, "alpha")
			a.upstream.down = true
			a.start()
			sim.syncViews()
			a.removed = !tt.answers
			e := sim.entries[0]
			v := *e.router.view
			v.Owners = maps.Clone(v.Owners)
			o := v.Owners[a.addr]
			o.Announced, o.NoUpstream = false, tt.noUpstream
			v.Owners[a.addr] = o
			e.router.SetView(sim.now, &v)
			sim.advance(flow.JoinWaitMax + tickPeriod)
			a.start() // an agent whose upstream is silent denies flows after a while
			k := nthKey(1)
			sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
			sim.deliverAll()
			sim.advance(tickPeriod)
			is.Equal(e.router.flows[k].state, tt.want)
		})
	}
}

// A refused connection proves that no upstream was running when the check started. The
// result must not outlast a sign of life, or flows of a running upstream would be reset.
func TestRefusedUpstreamOwnsNoFlow(t *testing.T) {
	const checkTook = 3 * time.Millisecond
	for name, tt := range map[string]struct {
		between func(*simAgent) // between the start of the check and its result
		after   func(*simAgent)
		want    Holding
	}{
		"refused":                   {want: HoldingNone},
		"packet during the check":   {between: sendUnknownPacket, want: HoldingUnknown},
		"packet after it":           {after: sendUnknownPacket, want: HoldingUnknown},
		"announced during it":       {between: announceLate, want: HoldingUnknown},
		"announced after it":        {after: announceLate, want: HoldingUnknown},
		"pause during it":           {between: cancelRefusal, want: HoldingUnknown},
		"pause after it":            {after: cancelRefusal, want: HoldingUnknown},
		"first announcement after":  {after: (*simAgent).announce, want: HoldingNone}, // all its flows come through here
		"refused again after pause": {after: refuseAgain, want: HoldingNone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 3)
			a := sim.agents[0]
			a.upstream = sim.newUpstream()
			a.start()
			k := nthKey(1)
			is.Equal(a.tracker.holding(sim.now, k, sim.entries[0].addr), HoldingUnknown)
			started := sim.now
			sim.now = sim.now.Add(checkTook)
			if tt.between != nil {
				tt.between(a)
			}
			a.tracker.SetUpstreamRefused(started, true)
			if tt.after != nil {
				sim.now = sim.now.Add(checkTook)
				tt.after(a)
			}
			is.Equal(a.tracker.holding(sim.now, k, sim.entries[0].addr), tt.want)
		})
	}
}

// sendUnknownPacket makes the upstream send a packet of a flow that the agent does not know.
func sendUnknownPacket(a *simAgent) {
	k := nthKey(2)
	packet := makePacket(k.Route(), k.Caller(), 16, 0, 0, 100)
	s, _ := codec.Decode(packet)
	a.tracker.FromUpstream(a.sim.now, &s, packet, flow.Endpoint{})
}

// announceLate announces an upstream that started long before the agent.
func announceLate(a *simAgent) {
	a.upstream.sequence += laterSequence
	a.announce()
}

func cancelRefusal(a *simAgent) { a.tracker.SetUpstreamRefused(a.sim.now, false) }

func refuseAgain(a *simAgent) {
	cancelRefusal(a)
	a.sim.now = a.sim.now.Add(time.Millisecond)
	a.tracker.SetUpstreamRefused(a.sim.now, true)
}

// An upstream that starts right after a refused check accepts flows through this agent:
// they are found here, also before its first announcement.
func TestUpstreamThatStartsAfterTheCheck(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 1)
	a := sim.agents[0]
	a.upstream = sim.newUpstream()
	a.start()
	a.tracker.SetUpstreamRefused(sim.now, true)
	a.announce()
	sim.syncViews()
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	is.Equal(a.tracker.holding(sim.now, c.key, sim.entries[0].addr), HoldingOwned)
	a.tracker.SetUpstreamRefused(sim.now.Add(time.Second), true) // it has announced itself
	is.Equal(a.tracker.denialReason(), flow.RefusalNotHeld)
}

// An entry that was told that an agent has no upstream waits for that agent again once a
// new process of it runs, its upstream has announced itself, or it says something else.
func TestAgentWithoutUpstreamIsWaitedForAgain(t *testing.T) {
	denial := &Message{Kind: KindQueryReply, Reason: flow.RefusalNoUpstream}
	for name, change := range map[string]func(*Router, flow.Endpoint, *Owner){
		"restarted":    func(_ *Router, _ flow.Endpoint, o *Owner) { o.Incarnation++ },
		"announced":    func(_ *Router, _ flow.Endpoint, o *Owner) { o.Announced = true },
		"other denial": func(r *Router, a flow.Endpoint, _ *Owner) { r.Message(simStart, a, &Message{Kind: KindQueryReply}) },
		"can't tell":   func(r *Router, a flow.Endpoint, _ *Owner) { r.Message(simStart, a, &Message{Kind: KindMayHold}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newSimulation(t.Fatalf, 1, 1).entries[0].router
			agent := r.view.OwnerAddrs[0]
			o := r.view.Owners[agent]
			o.Announced = false
			r.view.Owners[agent] = o
			r.Message(simStart, agent, denial)
			r.Message(simStart, agent, &Message{Kind: KindLoad}) // says nothing about it
			is.True(r.hasNoUpstream(agent))
			change(r, agent, &o)
			r.view.Owners[agent] = o
			is.True(!r.hasNoUpstream(agent))
		})
	}
}

// Checks go on at the start only while they prove nothing, and later only after queries:
// an agent must not connect to its upstream all the time.
func TestTimesOfUpstreamChecks(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	ms := func(times ...int) (out []time.Duration) {
		for _, at := range times {
			out = append(out, time.Duration(at)*time.Millisecond)
		}
		return out
	}
	for name, tt := range map[string]struct {
		err       error
		block     bool // until the timeout
		announced bool
		queries   []int // times in ms
		want      []time.Duration
		result    upstreamCheckResult
	}{
		"refused":            {err: refused, want: ms(0), result: upstreamRefused},
		"connected":          {want: ms(0), result: upstreamConnected},
		"timeout":            {block: true, want: ms(0, 150, 300), result: upstreamInconclusive},
		"other error":        {err: syscall.EHOSTUNREACH, want: ms(0, 50, 100), result: upstreamInconclusive},
		"announced":          {err: refused, announced: true, queries: []int{400}},
		"query soon":         {err: refused, queries: []int{200, 300}, want: ms(0), result: upstreamRefused},
		"query later":        {err: refused, queries: []int{301, 302, 500, 700}, want: ms(0, 301, 700), result: upstreamRefused},
		"query, other error": {err: errors.New("no route"), queries: []int{500, 600}, want: ms(0, 50, 100, 500), result: upstreamInconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				start := time.Now()
				var checks []time.Duration
				c := &upstreamChecker{
					connect: func(ctx context.Context) error {
						if tt.block {
							<-ctx.Done()
							return ctx.Err()
						}
						return tt.err
					},
					needed: func() bool { return !tt.announced },
					report: func(started time.Time, r upstreamCheckResult) {
						checks = append(checks, started.Sub(start))
						is.Equal(r, tt.result)
					},
					queries: make(chan struct{}, 1),
				}
				done := make(chan error)
				go func() { done <- c.run(ctx) }()
				for _, at := range tt.queries {
					time.Sleep(time.Until(start.Add(time.Duration(at) * time.Millisecond)))
					c.queried()
				}
				time.Sleep(time.Second)
				cancel()
				is.NoErr(<-done)
				is.Equal(checks, tt.want)
			})
		})
	}
}

// The kernel refuses a connection where nothing listens, and accepts one otherwise; both
// must be told apart, since a refusal lets the agent deny flows.
func TestConnectionToUpstream(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(connectUpstream(t.Context(), addr))
	is.NoErr(l.Close())
	is.True(errors.Is(connectUpstream(t.Context(), addr), syscall.ECONNREFUSED))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = connectUpstream(ctx, addr)
	is.True(err != nil && !errors.Is(err, syscall.ECONNREFUSED))
}
