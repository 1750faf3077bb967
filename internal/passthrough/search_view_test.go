package passthrough

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// An entry that knows only a part of the agents, because no peer has given it a snapshot
// yet, resets no flow, however long no agent was added (an entry of the large deployment
// that found its peers by pings learned four agents a second).
func TestEntryWithoutSnapshotResetsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 9)
	e := sim.entries[0]
	e.router.SetJoined(false)
	sim.advance(time.Second)
	k := flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), flow.EndpointOf(routeA))
	sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
	sim.deliverAll()
	sim.advance(time.Second)
	is.Equal(e.router.flows[k].state, stateSearching)
	e.router.SetJoined(true)
	sim.advance(2 * tickPeriod)
	is.Equal(e.router.flows[k].state, stateUnowned)
}

// All processes are killed while the upstreams keep running (scenario kill_all), after a
// change of the route's service: the restarted entries do not know the former one, and
// its agents can't tell which flows they own. Callers are reset while those agents count
// as just restarted, rather than left to their deadlines; later the flow stays.
func TestFlowOutOfReachAfterAllWereKilled(t *testing.T) {
	for name, tt := range map[string]struct {
		after     time.Duration
		wantReset bool
	}{
		"at once": {0, true},
		"later":   {simDisrupted, false},
	} {
		for _, agents := range []int{15, 66, 195} {
			t.Run(fmt.Sprint(name, " ", agents), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t.Fatalf, 3, agents)
				c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
				is.True(c.open)
				c.open = false // the simulation allows no reset of an open flow
				changed := *sim.fleet
				changed.Routes = maps.Clone(sim.fleet.Routes)
				changed.Routes[routeA] = &config.Route{Name: "a", Address: routeA, Choices: []config.Choice{{Service: "beta", Weight: 1}}}
				sim.fleet = &changed
				sim.restartAllProcesses()
				sim.advance(tt.after)
				sim.request(c, sim.entries[0])
				sim.advance(2 * time.Second)
				is.Equal(c.reset, tt.wantReset)
			})
		}
	}
}

// An upstream ended and its successor opened a flow, whose next packet reaches an entry
// that has not received the agent's new record yet. That entry left the agent out of its
// search, and all others denied the flow: it was reset (soak seed 896044).
func TestFlowOfASuccessorIsNotResetByAnOlderView(t *testing.T) {
	for name, answering := range map[string]bool{"idle": false, "a last answer was on its way": true} {
		t.Run(name, func(t *testing.T) { testFlowOfASuccessor(t, answering) })
	}
}

// testFlowOfASuccessor lets the upstream end, with answering right after a request on one of
// its flows.
func testFlowOfASuccessor(t *testing.T, answering bool) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 3, 4)
	sim.advance(5 * time.Second)
	var a *simAgent // the only agent of the flow's service that accepts it
	for _, other := range sim.agents {
		switch {
		case other.service != "alpha":
		case a == nil:
			a = other
		default:
			other.tracker.Drain()
		}
	}
	if answering {
		sim.request(sim.open(1000, routeA, func() *simEntry { return sim.entries[0] }), sim.entries[0])
	}
	last := a.tracker.Last()
	a.tracker.Announce(sim.now, flow.Announcement{ID: last.ID, Ended: true, StartMillis: last.StartMillis})
	is.Equal(len(a.tracker.ending) > 0, answering)
	a.upstream.down = true
	a.upstream = sim.newUpstream()
	sim.syncViews()
	behind := sim.entries[1]
	behind.behind = true

	a.announce()
	sim.syncViews()
	i := 1 // a flow whose replicas are the other two entries, which have not been told of it yet
	for slices.Contains(replicasOf(sim, i), sim.entries[0].addr) {
		i++
	}
	c := sim.open(i, routeA, func() *simEntry { return sim.entries[0] })
	is.True(c.open)
	sim.request(c, behind)
	sim.advance(4 * tickPeriod)
	is.True(!c.reset)
	is.Equal(behind.router.flows[c.key].state, stateOwned)
}

func replicasOf(sim *simulation, caller int) []flow.Endpoint {
	k := flow.KeyOf(flow.EndpointOf(addrOf(9, caller)), flow.EndpointOf(routeA))
	replicas := flow.ReplicasOf(k, sim.entries[0].router.view.Entries)
	return replicas[:]
}
