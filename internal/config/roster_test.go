package config

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func TestRosterRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Roster{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7000")}}
	b, err := Encode(in)
	is.NoErr(err)
	var out Roster
	is.NoErr(Decode(b, &out))
	is.Equal(out.Entries, in.Entries)
	is.True(Decode([]byte(`{"entries":["[::1]:7000"]}`), &out) != nil) // only IPv4
}
