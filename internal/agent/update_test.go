package agent

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/membership"
)

func TestPeerRefIsUnchangedAfterRefutedDeath(t *testing.T) {
	is := is.New(t)
	before := membership.Record{Relay: netip.MustParseAddrPort("127.0.0.1:7004"), Incarnation: 5, Boot: 5}
	after := before
	after.Incarnation = 6
	is.Equal(peerRef(&after), peerRef(&before))
	restarted := membership.Record{Relay: before.Relay, Incarnation: 9, Boot: 9}
	is.True(peerRef(&restarted) != peerRef(&before))
}
