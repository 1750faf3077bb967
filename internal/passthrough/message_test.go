package passthrough

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/keyring"
)

func testRing() *keyring.Ring {
	s := config.Passthrough{Secret: simSecret}
	ring, err := s.Ring()
	if err != nil {
		panic(err)
	}
	return ring
}

var sampleKey = flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), flow.EndpointOf(routeA))

func sampleMessages() []Message {
	owner := flow.EndpointOf(addrOf(2, 1))
	return []Message{
		{Kind: KindOwned, Key: sampleKey, Owner: owner, Load: flow.Load{Busy: 2.25, FailureRate: 0.125}, Packet: []byte{}},
		{Kind: KindRefused, Key: sampleKey, Reason: flow.RefusalCold, Packet: []byte{1, 2, 3}},
		{Kind: KindQuery, Queries: []flow.Key{sampleKey, {1}}},
		{Kind: KindOwned, Key: sampleKey, AcceptedSeq: 0x01020304, Packet: []byte{}},
		{Kind: KindLoad, Load: flow.Load{Busy: 1, ServiceTime: 23500 * time.Microsecond}, Packet: []byte{}},
		{Kind: KindQueryReply, Answers: []Answer{{Key: sampleKey, Holding: HoldingOwned}, {}}, Load: flow.Load{Busy: 1}},
		{
			Kind: KindProbeRelay, Key: sampleKey, Owner: owner, Meta: flow.Metadata{Purpose: flow.PurposeSearch, Service: 7},
			Agents: []flow.Endpoint{{1}, owner}, Packet: []byte{1, 2, 3},
		},
		{Kind: KindProbe, Key: sampleKey, Owner: owner, Meta: flow.Metadata{Purpose: flow.PurposeSearch, Service: 7}, Packet: []byte{4}},
		{Kind: KindRegister, Registrations: []Registration{{Key: sampleKey, Owner: owner}, {Key: sampleKey}}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	ring := testRing()
	for _, m := range sampleMessages() {
		is := is.New(t)
		got, err := DecodeMessage(m.Append(nil, ring), ring)
		is.NoErr(err)
		is.Equal(got, m)
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	ring := testRing()
	m := sampleMessages()[1]
	encoded := m.Append(nil, ring)
	for name, tt := range map[string]struct {
		edit func([]byte) []byte
		want error
	}{
		"empty":                  {func([]byte) []byte { return nil }, ErrMalformed},
		"short":                  {func(b []byte) []byte { return b[:headerSize-1] }, ErrMalformed},
		"other magic":            {func(b []byte) []byte { b[0]++; return b }, ErrMalformed},
		"unknown kind":           {func(b []byte) []byte { b[offKind] = byte(kindLimit); return b }, ErrMalformed},
		"other kind":             {func(b []byte) []byte { b[offKind] = byte(KindNotHeld); return b }, ErrBadMAC},
		"other reason":           {func(b []byte) []byte { b[offReason]++; return b }, ErrBadMAC},
		"other key":              {func(b []byte) []byte { b[offKey]++; return b }, ErrBadMAC},
		"other packet":           {func(b []byte) []byte { b[headerSize]++; return b }, ErrBadMAC},
		"unknown key generation": {func(b []byte) []byte { b[offGeneration]++; return b }, ErrBadMAC},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeMessage(tt.edit(bytes.Clone(encoded)), ring)
			is.True(errors.Is(err, tt.want))
		})
	}
}

func FuzzDecodeMessage(f *testing.F) {
	ring := testRing()
	for _, m := range sampleMessages() {
		f.Add(m.Append(nil, ring))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b, ring)
		if err == nil && !bytes.Equal(m.Append(nil, ring), b) {
			t.Fatal("an accepted message is encoded differently")
		}
	})
}
