package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// An upstream that is released announces its end while its last requests run, and
// answers them before it exits. Their flows must not be reset before the answers.
func TestLastAnswersOfAnEndedUpstream(t *testing.T) {
	const service = 30 * time.Millisecond
	for name, tt := range map[string]struct {
		answers  bool
		resetMax time.Duration // after the announcement
	}{
		"answered":       {true, service + answerPause + 2*tickPeriod},
		"never answered": {false, answerTimeout + 2*tickPeriod},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 3)
			c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
			sim.request(c, sim.entries[0]) // opens the flow at the upstream
			a := sim.agentOf(c)
			a.upstream.down = true // the test answers in its place
			sim.request(c, sim.entries[0])
			is.Equal(a.tracker.Busy(), 1)
			ended := sim.now
			a.tracker.Announce(ended, flow.Announcement{ID: a.tracker.Last().ID, Ended: true, StartMillis: a.tracker.Last().StartMillis})
			sim.advance(service)
			is.True(!c.reset)
			if tt.answers {
				a.agentReceives(makePacket(c.key.Route(), c.key.Caller(), 16, 0, 0, 100))
				sim.deliverAll()
				is.Equal(a.tracker.Busy(), 0)
			}
			for !c.reset && sim.now.Sub(ended) < time.Second {
				sim.advance(tickPeriod)
			}
			is.True(sim.now.Sub(ended) <= tt.resetMax)
			is.Equal(len(a.tracker.ending), 0)
		})
	}
}

// An upstream that has announced its end accepts no further request: its caller must
// come back at once.
func TestNewRequestOnAnEndingFlowIsReset(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 3)
	c := sim.open(1, routeA, func() *simEntry { return sim.entries[0] })
	sim.request(c, sim.entries[0])
	a := sim.agentOf(c)
	a.upstream.down = true
	a.tracker.Announce(sim.now, flow.Announcement{ID: a.tracker.Last().ID, Ended: true, StartMillis: a.tracker.Last().StartMillis})
	is.True(!c.reset) // its answer was just sent
	sim.request(c, sim.entries[0])
	is.True(c.reset)
}
