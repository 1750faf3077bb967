package passthrough

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

var whereCaller = flow.EndpointOf(netip.MustParseAddrPort("100.64.0.7:40001"))

func whereKey(route netip.AddrPort) flow.Key { return flow.KeyOf(whereCaller, flow.EndpointOf(route)) }

// stateOf returns a router without its connections to the outside, for comparison.
func stateOf(r *Router) *Router {
	s := *r
	s.out, s.observe, s.paused = nil, nil, nil
	return &s
}

// Guards against a query that changes an entry's state: of two fleets with the same
// history, the entry of one is queried all the time.
func TestWhereChangesNoState(t *testing.T) {
	is := is.New(t)
	run := func(query bool) *simulation {
		sim := newSimulation(t.Fatalf, 2, 9)
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 200 {
			switch random.IntN(10) {
			case 0:
				sim.fleet.ZonesOut = map[string]bool{"z2": i%2 == 0}
				sim.syncViews()
			case 1:
				sim.advance(time.Duration(random.IntN(500)) * time.Millisecond)
			default:
				sim.sendOpening(sim.entries[random.IntN(2)], i)
			}
			for _, e := range sim.entries {
				if query {
					before := len(sim.queue)
					e.router.Where(sim.now, whereKey(routeA))
					e.router.Where(sim.now, whereKey(addrOf(99, 1)))
					is.Equal(len(sim.queue), before) // nothing is sent
				}
			}
			sim.deliverAll()
		}
		return sim
	}
	asked, other := run(true), run(false)
	for i := range asked.entries {
		is.True(asked.entries[i].router.Flows() > 0)
		is.True(reflect.DeepEqual(stateOf(asked.entries[i].router), stateOf(other.entries[i].router)))
	}
}

// Guards against an answer that names another agent than the one that the next flow is
// offered to.
func TestWhereNamesTheAgentOfTheNextFlow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 30)
	r := sim.entries[0].router
	for i := range 50 {
		c := sim.sendOpening(sim.entries[0], i)
		w := r.Where(sim.now, c.key)
		deliverOpening := sim.queue[0]
		sim.queue = sim.queue[1:]
		deliverOpening()
		is.Equal(w.Choice, r.flows[c.key].owner.String())
		is.Equal(w.Candidates[0].Agent, w.Choice)
		sim.deliverAll()
	}
}

// Guards against an agent that gets no flows without a reason that the answer states.
func TestWhereStatesWhyAnAgentIsExcluded(t *testing.T) {
	for name, tt := range map[string]struct {
		state    membership.State
		zoneOut  bool
		avoided  bool
		want     flow.Exclusion
		compared bool
		chosen   bool // also when no other agent is left
	}{
		"ready":            {state: membership.StateReady, compared: true, chosen: true},
		"cold":             {state: membership.StateCold, compared: true, chosen: true},
		"suspect":          {state: membership.StateSuspect, want: flow.ExcludedSuspect, compared: true, chosen: true},
		"avoided":          {state: membership.StateReady, avoided: true, want: flow.ExcludedAvoided, compared: true, chosen: true},
		"draining":         {state: membership.StateDraining, want: flow.ExcludedDraining},
		"zone out":         {state: membership.StateReady, zoneOut: true, want: flow.ExcludedZoneOut},
		"draining and out": {state: membership.StateDraining, zoneOut: true, want: flow.ExcludedDraining},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 0)
			e := sim.entries[0]
			sim.fleet.ZonesOut = map[string]bool{"z2": tt.zoneOut}
			agent := membership.Record{
				Addr: addrOf(2, 1), Role: membership.RoleAgent, Zone: 2, State: tt.state, Slots: 3, Service: config.ServiceID("alpha"),
			}
			other := agent
			other.Addr, other.Service = addrOf(2, 2), config.ServiceID("beta")
			e.router.SetView(sim.now, e.views.build(sim.now, sim.fleet, []membership.Record{agent, other}, nil))
			if tt.avoided {
				e.router.placement.Avoid(sim.now, flow.EndpointOf(agent.Addr))
			}
			w := e.router.Where(sim.now, whereKey(routeA))
			is.Equal(len(w.Candidates), 1) // not the agent of the other service
			c := w.Candidates[0]
			is.Equal(c.Agent, agent.Addr.String())
			is.Equal(c.Zone, "z2")
			is.Equal(c.Slots, 3)
			is.Equal(c.State, tt.state.String())
			is.Equal(c.Excluded, string(tt.want))
			is.Equal(c.Score > 0, tt.compared)
			is.Equal(w.Choice == c.Agent, tt.chosen)
			is.Equal(w.Choice == "", !tt.chosen)
		})
	}
}

// Guards against a report that is taken for newer than it is, or whose expiry is not
// shown although the score ignores it.
func TestWhereShowsTheAgeOfReports(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 1)
	r := sim.entries[0].router
	candidate := func(age time.Duration) wire.WhereCandidate {
		return r.Where(sim.now.Add(age), whereKey(routeA)).Candidates[0]
	}
	idle := candidate(0)
	is.Equal(idle.ReportAgeMillis, int64(-1)) // no report
	is.Equal(idle.ReportExpired, false)
	r.placement.Report(sim.now, sim.agents[0].addr, flow.Load{Busy: 4, FailureRate: 0.25, ServiceTime: 1500 * time.Microsecond})
	fresh := candidate(flow.ReportTTL - time.Millisecond)
	is.Equal(fresh.ReportAgeMillis, flow.ReportTTL.Milliseconds()-1)
	is.Equal(fresh.ReportExpired, false)
	is.Equal(fresh.Busy, 4.0)
	is.Equal(fresh.FailureRate, 0.25)
	is.Equal(fresh.ServiceMillis, 1.5)
	is.True(fresh.Score > idle.Score)
	expired := candidate(flow.ReportTTL)
	is.Equal(expired.ReportAgeMillis, flow.ReportTTL.Milliseconds())
	is.True(expired.ReportExpired)
	is.Equal(expired.Busy, 4.0)
	is.Equal(expired.Score, idle.Score)
}

// Guards against an unknown address that looks like a route without agents, and against
// a route without agents that looks unknown.
func TestWhereOfAnUnknownRouteAndWithoutAgents(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 0)
	sim.fleet.RoutesVersion = 12
	r := sim.entries[0].router
	unknown := r.Where(sim.now, whereKey(addrOf(99, 1)))
	is.True(unknown.UnknownRoute)
	is.Equal(unknown.RoutesVersion, uint64(12))
	w := r.Where(sim.now, whereKey(routeB))
	is.Equal(w.UnknownRoute, false)
	is.Equal(w.Route, "b")
	is.Equal(w.Address, routeB.String())
	is.Equal(w.Caller, whereCaller.String())
	is.Equal(w.Service, "beta")
	is.Equal(w.Services, []wire.WhereService{{Name: "beta", Weight: 1}})
	is.Equal(w.Choice, "")
	is.Equal(len(w.Candidates), 0)
}

// Guards against a request that makes the entry panic.
func TestWhereRefusesMalformedAddresses(t *testing.T) {
	is := is.New(t)
	var e Entry
	for _, p := range []wire.WhereParams{
		{}, {Address: "a"}, {Address: "[2001:db8::1]:443"}, {Address: routeA.String(), Caller: "[::1]:1"},
	} {
		_, err := e.where(p)
		is.True(err != nil)
	}
}
