package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An agent whose entries all failed, for example because it had no keys yet,
// must keep sending heartbeats, so that it recovers as soon as entries answer.
func TestAgentKeepsTryingWhenAllEntriesFailed(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleAgent, 1)
	entry := testCore(RoleEntry, 2).Self()
	now := testStart
	c.Merge(now, []Record{entry}, nil)
	last := now
	longest := time.Duration(0)
	for now.Before(testStart.Add(3 * failedWatcherHeartbeats * c.timing.Heartbeat)) {
		now = now.Add(c.timing.Gossip)
		if c.Isolated(now) {
			c.Merge(now, []Record{entry}, nil) // as from a snapshot of that entry
		}
		c.Tick(now)
		longest = max(longest, now.Sub(last))
		for _, sent := range c.TakeOutput().Sends {
			if sent.Message.Kind == KindHeartbeat {
				last = now
			}
		}
	}
	is.True(longest <= 2*c.timing.Heartbeat)
}
