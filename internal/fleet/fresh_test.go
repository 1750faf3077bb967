package fleet

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

// freshNode returns a node of an entry whose loop does not run.
func freshNode(t *testing.T) *Node {
	t.Helper()
	keys := config.Keys{Signing: 1, Generations: []config.Generation{
		{ID: 1, Secret: "0101010101010101010101010101010101010101010101010101010101010101"},
	}}
	ring, err := keys.Ring()
	if err != nil {
		t.Fatal(err)
	}
	network := newMemNet()
	self := netip.MustParseAddrPort("10.0.0.1:1")
	control := netip.MustParseAddrPort("10.0.0.1:2")
	conn, listener := network.open(control, "z")
	n, err := New(Options{
		Self: membership.Record{Addr: self, Control: control, Role: membership.RoleEntry},
		Zone: "z", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Conn: conn, Listener: listener,
		Call: network.caller(control), Keys: ring,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// How fresh the configuration is must not be seen before the configuration: an
// entry would refuse an address that the new one has.
func TestFreshnessIsShownWithTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := freshNode(t)
		defer n.close()
		time.Sleep(time.Second)
		now := time.Now()
		n.published = now // another change was published just now
		n.core.Merge(now, nil, []config.Object{{
			Kind: config.KindRoutes, Name: config.RoutesName, Revision: 3,
			Value: []byte(`{"version":1,"routes":[],"idleMillis":1}`),
		}})
		n.core.MarkFresh(now, now, 3)
		n.act(now)
		n.publishFresh()
		is.True(n.Config().Routes == nil)
		is.True(n.Fresh().IsZero())
		time.Sleep(publishPeriod)
		n.act(time.Now())
		n.publishFresh()
		is.True(n.Config().Routes != nil)
		is.Equal(n.Fresh().UnixNano(), now.UnixNano())
	})
}
