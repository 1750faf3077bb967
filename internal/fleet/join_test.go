package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/keyring"
)

// An entry that starts together with others finds them by pings, while its requests for
// a snapshot are reset because their listeners start later. It is known to them at once,
// and knows all agents within a second of the first request that succeeds.
func TestEntryThatJoinsByPingsCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ring, err := keyring.New([]keyring.Generation{{ID: 1}}, 1)
		is.NoErr(err)
		b := newTestBench(t)
		defer b.stop()
		b.keys = ring
		startAll(b, "e1@pier", "e2@quay")
		b.seeds = append(b.seeds, memberAddr("e1"), memberAddr("e2"))
		const agents = 60
		for i := range agents {
			b.start(fmt.Sprintf("a%d@pier", i+1))
		}
		time.Sleep(formationTime)
		failing := true
		b.callsFail = func(name string) bool { return name == "e3@hill" && failing }
		late := b.start("e3@hill")
		time.Sleep(time.Second)
		is.True(!late.Joined())
		is.True(len(late.Members()) > 0) // found by pings
		for _, peer := range []string{"e1@pier", "e2@quay"} {
			is.Equal(b.nodes[peer].stateOf("e3").String(), "ready")
		}
		failing = false
		time.Sleep(time.Second)
		is.True(late.Joined())
		is.Equal(len(late.Members()), agents+2)
	})
}
