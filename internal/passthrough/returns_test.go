package passthrough

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// joinInWaves restarts all entries and agents, which join perTick agents at a time, and
// calls atTick after each tick.
func (sim *simulation) joinInWaves(perTick int, atTick func(joined int)) {
	for _, e := range sim.entries {
		e.start()
	}
	for _, a := range sim.agents {
		a.up = false
	}
	for i, a := range sim.agents {
		a.start()
		a.announce()
		if (i+1)%perTick == 0 || i+1 == len(sim.agents) {
			sim.syncViews()
			sim.advance(tickPeriod)
			atTick(i + 1)
		}
	}
}

// After a power loss (scenario power_off_all) the agents are back within 0.3 s, and the
// callers of all flows wait until their set counts as complete. They must not wait for
// half a second more when agents have joined in quick succession.
func TestResetsFollowAFastWaveOfAgents(t *testing.T) {
	for _, tt := range []struct {
		agents, perTick int
		within          time.Duration // after the last agent
	}{
		{60, 5, 150 * time.Millisecond},
		{200, 20, 150 * time.Millisecond},
		{6, 1, flow.JoinWaitMax}, // too few to conclude anything
	} {
		t.Run(fmt.Sprint(tt.agents), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 2, tt.agents)
			e := sim.entries[0]
			for _, a := range sim.agents {
				a.upstream.down = true
				a.upstream = sim.newUpstream()
			}
			k := nthKey(1)
			sim.joinInWaves(tt.perTick, func(int) {})
			var settled []Decision
			e.router.observe = func(d Decision) {
				if d.Kind == DecisionSettled {
					settled = append(settled, d)
				}
			}
			sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
			sim.deliverAll()
			took := tickPeriod // joinInWaves ends a tick after the last agent
			for ; e.router.flows[k].state != stateUnowned && took < time.Second; took += tickPeriod {
				sim.advance(tickPeriod)
			}
			t.Logf("no owner %v after the last agent", took)
			is.True(took <= tt.within+tickPeriod)
			is.Equal(len(settled), 1) // reported once
			is.Equal(settled[0].Tries, tt.agents)
		})
	}
}

// After all processes were killed (scenario kill_all) upstreams keep their flows. The last
// agent, which owns a flow, joins later than the others, but within the wait that their
// gaps call for: its flow must not be reset.
func TestLateAgentOfAWaveKeepsItsFlow(t *testing.T) {
	is := is.New(t)
	const agents, perTick = 61, 10
	sim := newSimulation(t.Fatalf, 2, agents)
	sim.advance(time.Second)
	e := sim.entries[0]
	c := sim.open(1, routeA, func() *simEntry { return e })
	is.True(c.open)
	owner := sim.agentOf(c)
	for i, a := range sim.agents {
		a.upstream.sequence += laterSequence
		if a == owner {
			sim.agents[i], sim.agents[agents-1] = sim.agents[agents-1], a
		}
	}
	sim.joinInWaves(perTick, func(joined int) {
		if joined == agents-1 {
			sim.request(c, e)
			sim.advance(4 * tickPeriod) // the owner joins 125 ms after the others
		}
	})
	sim.advance(time.Second)
	is.True(!c.reset)
	is.Equal(e.router.flows[c.key].owner, owner.addr)
}
