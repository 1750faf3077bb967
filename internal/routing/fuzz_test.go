package routing

import (
	"bytes"
	"net/netip"
	"testing"
)

// FuzzToken checks that a token survives encoding and decoding and that a
// changed token is rejected.
func FuzzToken(f *testing.F) {
	keys := testKeys(1, 2)
	f.Add(AppendToken(nil, keys, Token{Agent: agentAddr(1), Service: testService, Zone: west1, Incarnation: 7, Nonce: 9}), uint32(1))
	f.Add([]byte{}, uint32(0))
	f.Add(make([]byte, TokenSize), uint32(1<<24))
	f.Fuzz(func(t *testing.T, b []byte, nonce uint32) {
		token, verdict := ParseToken(keys, b)
		if verdict == TokenValid && b[offGeneration] == keys.SigningGeneration() {
			if encoded := AppendToken(nil, keys, token); !bytes.Equal(encoded, b) {
				t.Fatalf("%x decodes to %+v, which encodes to %x", b, token, encoded)
			}
		}
		if len(b) < TokenSize {
			return
		}
		want := Token{
			Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[1:])), uint16(b[5])),
			Service: uint16(b[6]), Zone: b[7], Incarnation: uint16(b[8]), Nonce: nonce & nonceMask,
		}
		signed := AppendToken(nil, keys, want)
		if got, verdict := ParseToken(keys, signed); verdict != TokenValid || got != want {
			t.Fatalf("%+v decodes to %+v, verdict %d", want, got, verdict)
		}
		signed[int(nonce)%TokenSize] ^= b[9] | 1
		if _, verdict := ParseToken(keys, signed); verdict == TokenValid {
			t.Fatalf("%+v is valid after a change", want)
		}
	})
}

// FuzzConnectionID checks that the ID is part of the packet and that packets are
// forwarded only to agents of the service.
func FuzzConnectionID(f *testing.F) {
	fleet := testFleet()
	records := agentRecords(8)
	table := NewTable(fleet, "west-1", records)
	agents := map[netip.AddrPort]bool{}
	for _, r := range records {
		agents[r.Addr] = true
	}
	f.Add(longHeaderPacket(callerChosenID(1)))
	f.Add(shortHeaderPacket(AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(1), Service: testService, Zone: west1})))
	f.Add(append([]byte{0xC0, 0, 0, 0, 1, 255}, make([]byte, 300)...))
	f.Fuzz(func(t *testing.T, packet []byte) {
		id, ok := ParseConnectionID(packet)
		if ok && (len(id.ID) == 0 || !bytes.Contains(packet, id.ID)) {
			t.Fatalf("ID %x", id.ID)
		}
		if ok && !id.Long && len(id.ID) != TokenSize {
			t.Fatalf("short header with an ID of %d bytes", len(id.ID))
		}
		d := table.Decide(packet, testCaller, testAddress)
		if d.Verdict.Dropped() == d.Agent.IsValid() {
			t.Fatalf("%+v", d)
		}
		if !d.Verdict.Dropped() && !agents[d.Agent] {
			t.Fatalf("forwarded to %s", d.Agent)
		}
	})
}
