package fleet

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

// Bounds within which the fleet must react.
const (
	zoneOutBound = 3 * time.Second
	leaveBound   = 3 * time.Second
	failureBound = 12 * time.Second
)

// withSmallFleet runs a test on a small fleet after its formation.
func withSmallFleet(t *testing.T, body func(is *is.I, b *testBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestBench(t)
		defer b.stop()
		startAll(b, smallFleet...)
		time.Sleep(formationTime)
		body(is.New(t), b)
	})
}

func (r *runningNode) stateOf(id string) membership.State {
	for _, m := range r.Members() {
		if m.Addr == memberAddr(id) {
			return m.State
		}
	}
	return 0
}

func TestZoneOutTakesEffectInTime(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		for _, out := range []bool{true, false} {
			z := testZones[0]
			z.Out = out
			b.store.put(b.t, config.KindZone, z.Name, z)
			time.Sleep(zoneOutBound)
			for _, n := range b.nodes {
				is.Equal(n.Config().ZoneOut(z.ID), out)
			}
		}
	})
}

// The first processes of a fleet may start before its first key is available. An
// agent that has joined by then must get the key at once, not only after it has
// missed messages of its peers for a while.
func TestFirstKeyReachesAgentsInTime(t *testing.T) {
	const firstKeyBound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t)
		defer b.stop()
		b.store.setDown(true)
		b.seeds = []netip.AddrPort{memberAddr("e1")}
		startAll(b, "e1@pier", "a1@pier")
		time.Sleep(time.Second)
		is.Equal(b.nodes["a1@pier"].Config().Keys, nil)
		b.store.setDown(false)
		for b.nodes["e1@pier"].Config().Keys == nil {
			time.Sleep(time.Millisecond)
		}
		b.store.setDown(true) // leaves the entry as the only source
		time.Sleep(firstKeyBound)
		is.True(b.nodes["a1@pier"].Config().Keys != nil)
	})
}

func TestLeaveReachesAllNodesInTime(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.nodes["a1@pier"].Leave(context.Background())
		b.kill("a1@pier")
		time.Sleep(leaveBound)
		for _, n := range b.nodes {
			is.Equal(n.stateOf("a1"), membership.State(0))
		}
	})
}

func TestFailureIsDetectedInTime(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.kill("a1@pier")
		time.Sleep(failureBound)
		for _, n := range b.nodes {
			is.Equal(n.stateOf("a1"), membership.State(0))
		}
	})
}

func TestStateChangeReachesPeersAndEntries(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.nodes["a1@pier"].Update(func(r *membership.Record) { r.State = membership.StateDraining })
		time.Sleep(leaveBound)
		for name, n := range b.nodes {
			if name != "a1@pier" {
				is.Equal(n.stateOf("a1"), membership.StateDraining)
			}
		}
	})
}

func TestRestartDuringStoreOutageKeepsTheNewestConfiguration(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		z := testZones[1]
		z.Out = true
		revision := b.store.put(b.t, config.KindZone, z.Name, z)
		time.Sleep(zoneOutBound)
		b.store.setDown(true)
		b.seeds = []netip.AddrPort{memberAddr("e1"), memberAddr("e2")}
		for _, name := range smallFleet {
			b.start(name) // replaces the running process
			time.Sleep(formationTime)
			is.Equal(b.nodes[name].Config().Revision, revision)
		}
	})
}

func TestOlderObjectsDoNotReplaceNewerOnes(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		old := b.store.objects[config.ID{Kind: config.KindZone, Name: "pier"}]
		z := testZones[0]
		z.Out = true
		b.store.put(b.t, config.KindZone, z.Name, z)
		time.Sleep(zoneOutBound)
		for _, n := range b.nodes {
			n.merge(nil, []config.Object{old})
		}
		time.Sleep(formationTime)
		for _, n := range b.nodes {
			is.True(n.Config().ZoneOut(z.ID))
		}
	})
}

func TestInvalidObjectKeepsTheLastValidOneInForce(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.store.put(b.t, config.KindService, "bells", map[string]string{"name": "bells"})
		b.store.put(b.t, config.KindKeys, config.KeysName, map[string]string{})
		time.Sleep(formationTime)
		for _, n := range b.nodes {
			is.Equal(len(n.ConfigProblems()), 2)
			is.Equal(n.Config().Services[7].Name, "bells")
			is.True(n.Config().Keys != nil)
		}
	})
}

func TestLargeObjectIsFetched(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		var addresses []string
		for i := range 200 {
			addresses = append(addresses, memberAddr("e7").Addr().String()+":"+itoa(10000+i))
		}
		b.store.put(b.t, config.KindService, "bells", testService("bells", 7, addresses...))
		time.Sleep(formationTime)
		for _, n := range b.nodes {
			is.Equal(len(n.Config().ByAddress), len(addresses))
		}
	})
}

func TestKeysRotateWithOverlap(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		for signing := uint8(1); signing <= 3; signing++ {
			b.store.put(b.t, config.KindKeys, config.KeysName, testKeys(signing, signing-1, signing, signing+1))
			time.Sleep(formationTime)
			checkConverged(is, b)
			for _, n := range b.nodes {
				is.Equal(n.Config().Keys.SigningGeneration(), signing)
			}
		}
	})
}

func TestControlServiceAnswers(t *testing.T) {
	withSmallFleet(t, func(is *is.I, b *testBench) {
		b.nodes["e1@pier"].SetStatus(func(s *wire.Status) { s.Counters = map[string]uint64{"x": 1} })
		call := b.net.callFrom(memberAddr("e2"))
		var status wire.Status
		is.NoErr(call(context.Background(), memberAddr("e1"), wire.MethodStatus, nil, &status))
		is.Equal(status.Members, len(smallFleet)-1)
		is.Equal(status.Counters["x"], uint64(1))
		is.True(status.StoreReachable)
		is.True(status.ControlBytesIn > 0 && status.ControlBytesOut > 0)

		var events wire.ExplainResult
		params := wire.ExplainParams{Name: memberAddr("a1").String()}
		is.NoErr(call(context.Background(), memberAddr("e1"), wire.MethodExplain, params, &events))
		is.Equal(events.Events[0].Change, "unknown to ready")
		is.True(call(context.Background(), memberAddr("e1"), "fleet.unknown", nil, nil) != nil)

		var where wire.WhereResult
		err := call(context.Background(), memberAddr("e1"), wire.MethodWhere, wire.WhereParams{}, &where)
		var answer *jsonrpc2.Error
		is.True(errors.As(err, &answer))
		is.Equal(answer.Code, int64(jsonrpc2.CodeMethodNotFound)) // no function is set
		b.nodes["e1@pier"].SetWhere(func(p wire.WhereParams) (wire.WhereResult, error) {
			return wire.WhereResult{Address: p.Address}, nil
		})
		is.NoErr(call(context.Background(), memberAddr("e1"), wire.MethodWhere, wire.WhereParams{Address: "a"}, &where))
		is.Equal(where.Address, "a")
	})
}
