package checkpoint

import (
	"bytes"
	"encoding/base64"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRing(t testing.TB, secret byte) *keyring.Ring {
	t.Helper()
	g := keyring.Generation{ID: 1}
	for i := range g.Secret {
		g.Secret[i] = secret
	}
	ring, err := keyring.New([]keyring.Generation{g}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func entryAddr(i int) flow.Endpoint {
	return flow.EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000))
}

func testFlow(i int) Flow {
	caller := flow.EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40_001))
	return Flow{Key: flow.KeyOf(caller, flow.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443"))), Ack: uint32(i) * 77}
}

func testFlows(n int) []Flow {
	flows := make([]Flow, n)
	for i := range flows {
		flows[i] = testFlow(i)
	}
	return flows
}

func TestCheckpointSurvivesItsEncoding(t *testing.T) {
	is := is.New(t)
	c := Checkpoint{Written: start, Members: []Member{
		{Entry: entryAddr(1), Flows: testFlows(3)},
		{Entry: entryAddr(2), Flows: []Flow{}},
		{Entry: entryAddr(3), Flows: testFlows(1)},
	}}
	got, err := Decode(Encode(c, testRing(t, 1)), testRing(t, 1))
	is.NoErr(err)
	is.True(got.Written.Equal(start))
	is.Equal(got.Members, c.Members)
	is.Equal(got.Len(), 4)
	is.Equal(got.FlowsOf(entryAddr(3)), testFlows(1))
	is.Equal(len(got.FlowsOf(entryAddr(4))), 0)
}

// A flow that is reset on the word of a damaged or foreign object may be any caller's.
func TestDamagedAndForeignCheckpointsAreRefused(t *testing.T) {
	ring := testRing(t, 1)
	valid := Encode(Checkpoint{Written: start, Members: []Member{{Entry: entryAddr(1), Flows: testFlows(2)}}}, ring)
	change := func(i int) []byte {
		raw, err := base64.StdEncoding.AppendDecode(nil, valid)
		if err != nil {
			t.Fatal(err)
		}
		raw[i] ^= 3
		return base64.StdEncoding.AppendEncode(nil, raw)
	}
	cases := map[string]struct {
		text []byte
		ring *keyring.Ring
		want error
	}{
		"empty":          {nil, ring, ErrMalformed},
		"no base64":      {[]byte(`{"flows":[]}`), ring, ErrMalformed},
		"cut":            {valid[:8], ring, ErrMalformed},
		"cut at a flow":  {valid[:len(valid)-32], ring, ErrBadMAC},
		"later version":  {change(offVersion), ring, ErrVersion},
		"key generation": {change(offGeneration), ring, ErrBadMAC},
		"MAC":            {change(offMAC), ring, ErrBadMAC},
		"time":           {change(offWritten), ring, ErrBadMAC},
		"flow":           {change(headerSize + memberSize), ring, ErrBadMAC},
		"another secret": {valid, testRing(t, 2), ErrBadMAC},
		"too long":       {bytes.Repeat([]byte("A"), 1<<20+4), ring, ErrMalformed},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(tt.text, tt.ring)
			is.New(t).True(errors.Is(err, tt.want))
		})
	}
}

// An object above 1 MiB is refused by the store, so that nothing at all would be recorded.
func TestCheckpointFitsIntoAnObject(t *testing.T) {
	is := is.New(t)
	ring := testRing(t, 1)
	members := []Member{{Entry: entryAddr(1), Flows: testFlows(40_000)}, {Entry: entryAddr(2), Flows: testFlows(20_000)}, {Entry: entryAddr(3)}}
	text := Encode(Checkpoint{Members: members}, ring)
	is.True(len(text) <= 1<<20)
	c, err := Decode(text, ring)
	is.NoErr(err)
	is.Equal(len(c.FlowsOf(entryAddr(1))), 40_000)
	is.True(c.Len() > 47_000)
}

func FuzzDecode(f *testing.F) {
	ring := testRing(f, 1)
	f.Add(Encode(Checkpoint{Written: start, Members: []Member{{Entry: entryAddr(1), Flows: testFlows(2)}}}, ring))
	f.Add([]byte("AQEAAA=="))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(text, ring)
		if err != nil {
			return
		}
		again, err := Decode(Encode(c, ring), ring)
		if err != nil || again.Len() != c.Len() {
			t.Fatalf("%v, %d flows of %d", err, again.Len(), c.Len())
		}
	})
}

// FuzzDecodeMembers reaches the part that only an authentic object reaches.
func FuzzDecodeMembers(f *testing.F) {
	f.Add([]byte{10, 1, 0, 1, 27, 88, 0, 0, 0, 0})
	f.Add([]byte{10, 1, 0, 1, 27, 88, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		members, err := decodeMembers(b)
		c := Checkpoint{Members: members}
		if err == nil && len(members)*memberSize+c.Len()*flowSize != len(b) {
			t.Fatalf("%d members with %d flows in %d bytes", len(members), c.Len(), len(b))
		}
	})
}
