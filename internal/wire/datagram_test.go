package wire

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/keyring"
)

func testKeys(t testing.TB, signing uint8) *keyring.Ring {
	t.Helper()
	keys, err := keyring.New([]keyring.Generation{
		{ID: 1, Secret: [keyring.SecretSize]byte{1}},
		{ID: 2, Secret: [keyring.SecretSize]byte{2}},
	}, signing)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func testHeader() Header {
	return Header{
		Kind: KindToAgent, Hops: 1, Service: 9,
		Caller:          netip.MustParseAddrPort("198.51.100.7:50000"),
		Destination:     netip.MustParseAddrPort("[2001:db8::1]:443"),
		Entry:           netip.MustParseAddrPort("127.21.0.1:7001"),
		SecondCandidate: netip.MustParseAddrPort("127.21.0.2:7001"),
	}
}

func TestHeaderRoundTrip(t *testing.T) {
	is := is.New(t)
	b := make([]byte, HeaderSize)
	want := testHeader()
	PutHeader(b, testKeys(t, 1), &want)
	got, verdict := ParseHeader(testKeys(t, 2), b) // another generation is the signing one
	is.Equal(verdict, HeaderValid)
	is.Equal(got, want)
}

func TestInvalidHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b []byte) []byte
		want   HeaderVerdict
	}{
		"too short":   {func(b []byte) []byte { return b[:HeaderSize-1] }, HeaderTooShort},
		"magic":       {func(b []byte) []byte { b[offMagic]++; return b }, HeaderMalformed},
		"unknown key": {func(b []byte) []byte { b[offGeneration] = 9; return b }, HeaderUnknownKey},
		"other key":   {func(b []byte) []byte { b[offGeneration] = 2; return b }, HeaderBadMAC},
		"caller":      {func(b []byte) []byte { b[offCaller]++; return b }, HeaderBadMAC},
		"second":      {func(b []byte) []byte { b[offMAC-1]++; return b }, HeaderBadMAC},
		"MAC":         {func(b []byte) []byte { b[HeaderSize-1]++; return b }, HeaderBadMAC},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := make([]byte, HeaderSize)
			h := testHeader()
			PutHeader(b, testKeys(t, 1), &h)
			_, verdict := ParseHeader(testKeys(t, 1), c.change(b))
			is.Equal(verdict, c.want)
		})
	}
}

// FuzzHeader checks that an accepted header survives encoding and decoding, and
// that a changed header is rejected.
func FuzzHeader(f *testing.F) {
	keys := testKeys(f, 1)
	b := make([]byte, HeaderSize)
	h := testHeader()
	PutHeader(b, keys, &h)
	f.Add(b, uint16(3), byte(1), false)
	f.Add([]byte{}, uint16(0), byte(0), false)
	f.Add(b, uint16(40), byte(0x80), true)
	f.Fuzz(func(t *testing.T, b []byte, at uint16, flip byte, sign bool) {
		if sign && len(b) >= HeaderSize {
			b[offMagic], b[offGeneration] = headerMagic, keys.SigningGeneration()
			signMAC(keys, b)
		}
		h, verdict := ParseHeader(keys, b)
		if verdict != HeaderValid {
			return
		}
		encoded := make([]byte, HeaderSize)
		PutHeader(encoded, keys, &h)
		if got, verdict := ParseHeader(keys, encoded); verdict != HeaderValid || got != h {
			t.Fatalf("%+v decodes to %+v, verdict %d", h, got, verdict)
		}
		encoded[int(at)%HeaderSize] ^= flip
		if _, verdict := ParseHeader(keys, encoded); flip != 0 && verdict == HeaderValid {
			t.Fatalf("a change of byte %d is accepted", int(at)%HeaderSize)
		}
	})
}

// signMAC writes a valid MAC into the header at the start of b.
func signMAC(keys *keyring.Ring, b []byte) {
	sum, _ := keys.MAC(keys.SigningGeneration(), keyring.PurposeDatagram, b[:offMAC])
	for i := range HeaderSize - offMAC {
		b[offMAC+i] = byte(sum >> (8 * (HeaderSize - offMAC - 1 - i)))
	}
}
