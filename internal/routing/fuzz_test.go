package routing

import (
	"bytes"
	"net/netip"
	"testing"
)

// FuzzToken checks that a token reads back as written and that no other bytes
// are taken for it.
func FuzzToken(f *testing.F) {
	ring := testKeys(1, 2)
	f.Add(AppendToken(nil, ring, Token{Agent: agentAddr(1), Service: bells, Zone: west1, Incarnation: 7, Nonce: 9}), uint32(1))
	f.Add([]byte{}, uint32(0))
	f.Add(make([]byte, TokenSize), uint32(1<<24))
	f.Fuzz(func(t *testing.T, b []byte, nonce uint32) {
		token, verdict := ParseToken(ring, b)
		if verdict == TokenValid && b[offGeneration] == ring.SigningGeneration() {
			if again := AppendToken(nil, ring, token); !bytes.Equal(again, b) {
				t.Fatalf("%x reads as %+v, which is %x", b, token, again)
			}
		}
		if len(b) < TokenSize {
			return
		}
		want := Token{
			Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[1:])), uint16(b[5])),
			Service: uint16(b[6]), Zone: b[7], Incarnation: uint16(b[8]), Nonce: nonce & nonceMask,
		}
		signed := AppendToken(nil, ring, want)
		if got, verdict := ParseToken(ring, signed); verdict != TokenValid || got != want {
			t.Fatalf("%+v reads back as %+v, verdict %d", want, got, verdict)
		}
		signed[int(nonce)%TokenSize] ^= b[9] | 1
		if _, verdict := ParseToken(ring, signed); verdict == TokenValid {
			t.Fatalf("%+v is valid after a change", want)
		}
	})
}

// FuzzConnectionID checks that the ID lies in the packet, and that decisions
// name agents of the service alone.
func FuzzConnectionID(f *testing.F) {
	fleet := testFleet()
	records := agentRecords(8)
	table := NewTable(fleet, "west-1", records)
	known := map[netip.AddrPort]bool{}
	for _, r := range records {
		known[r.Addr] = true
	}
	f.Add(longPacket(firstID(1)))
	f.Add(shortPacket(AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(1), Service: bells, Zone: west1})))
	f.Add(append([]byte{0xC0, 0, 0, 0, 1, 255}, make([]byte, 300)...))
	f.Fuzz(func(t *testing.T, packet []byte) {
		id, ok := ParseConnectionID(packet)
		if ok && (len(id.ID) == 0 || !bytes.Contains(packet, id.ID)) {
			t.Fatalf("ID %x", id.ID)
		}
		if ok && !id.Long && len(id.ID) != TokenSize {
			t.Fatalf("short header with an ID of %d bytes", len(id.ID))
		}
		d := table.Decide(packet, testCaller, bellsAddress)
		if d.Verdict.Dropped() == d.Agent.IsValid() {
			t.Fatalf("%+v", d)
		}
		if !d.Verdict.Dropped() && !known[d.Agent] {
			t.Fatalf("forwarded to %s", d.Agent)
		}
	})
}
