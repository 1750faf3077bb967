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

// idleNode returns the node of an entry; its loop does not run.
func idleNode(t *testing.T) *Node {
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
		Call: network.callFrom(control), Keys: ring,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// The time of verification must not be published before the configuration that was
// verified: an entry would take the old configuration for current and refuse an
// address that only the new one contains.
func TestVerifiedAtIsPublishedWithTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := idleNode(t)
		defer n.closeSockets()
		time.Sleep(time.Second)
		now := time.Now()
		n.publishedAt = now // another change was published just now
		n.core.Merge(now, nil, []config.Object{{
			Kind: config.KindRoutes, Name: config.RoutesName, Revision: 3,
			Value: []byte(`{"version":1,"routes":[],"idleMillis":1}`),
		}})
		n.core.MarkVerified(now, now, 3)
		n.applyOutput(now)
		n.publishVerifiedAt()
		is.True(n.Config().Routes == nil)
		is.True(n.VerifiedAt().IsZero())
		time.Sleep(maxPublishPeriod)
		n.applyOutput(time.Now())
		n.publishVerifiedAt()
		is.True(n.Config().Routes != nil)
		is.Equal(n.VerifiedAt().UnixNano(), now.UnixNano())
	})
}

// The clock stands still while an instance is suspended, so what was verified before looks
// as recent as ever. An entry that took it for verified until the loop had handled the
// pause would reset a flow to an address that was added meanwhile.
func TestNothingIsVerifiedOnceAPauseIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := idleNode(t)
		defer n.closeSockets()
		time.Sleep(time.Second)
		now := time.Now()
		n.core.MarkVerified(now, now, 3)
		n.publishVerifiedAt()
		is.Equal(n.VerifiedAt(), now)
		go n.Resume()
		synctest.Wait()
		is.True(n.VerifiedAt().IsZero()) // the loop has not handled it yet
		(<-n.commands)(now)
		is.True(n.VerifiedAt().IsZero())
		synctest.Wait()
	})
}
