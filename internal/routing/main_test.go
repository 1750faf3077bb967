package routing

import (
	"fmt"
	"net/netip"
	"testing"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "checks": "60"})
}

const (
	testService  = 1
	otherService = 2

	west1   = 1 // zones: two in region west and two in region east
	west2   = 2
	east1   = 3
	eastOut = 4 // out of service
)

var (
	testAddress  = netip.MustParseAddrPort("192.0.2.1:443")
	otherAddress = netip.MustParseAddrPort("192.0.2.2:443")
	testCaller   = netip.MustParseAddrPort("198.51.100.7:50000")
)

func testKeys(ids ...uint8) *keyring.Ring {
	var generations []keyring.Generation
	for _, id := range ids {
		generations = append(generations, keyring.Generation{ID: id, Secret: [keyring.SecretSize]byte{id}})
	}
	ring, err := keyring.New(generations, ids[0])
	if err != nil {
		panic(err)
	}
	return ring
}

func testFleet() *config.Fleet {
	f := config.Empty()
	f.Keys = testKeys(1)
	for _, z := range []config.Zone{
		{Name: "west-1", ID: west1, Region: "west"},
		{Name: "west-2", ID: west2, Region: "west"},
		{Name: "east-1", ID: east1, Region: "east"},
		{Name: "east-x", ID: eastOut, Region: "east", Out: true},
	} {
		f.Zones[z.ID] = &z
		f.ByZone[z.Name] = &z
	}
	targets := config.Targets{FreshShare: 0.2}
	f.Services[testService] = &config.Service{Name: "bells", ID: testService, Targets: targets}
	f.Services[otherService] = &config.Service{Name: "chimes", ID: otherService, Targets: targets}
	f.ByAddress[testAddress] = f.Services[testService]
	f.ByAddress[otherAddress] = f.Services[otherService]
	return f
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func agentRecord(i int, service uint16, zone uint8, state membership.State) membership.Record {
	return membership.Record{
		Addr: agentAddr(i), Role: membership.RoleAgent, Service: service, Zone: zone,
		State: state, Incarnation: 1, Slots: 5, Connections: 2000,
	}
}

func agentRecords(n int) []membership.Record {
	records := make([]membership.Record, n)
	for i := range records {
		records[i] = agentRecord(i, testService, uint8(i%2+1), membership.StateReady)
		records[i].Slots = uint16(5 + 4*(i%2))
	}
	return records
}

func longHeaderPacket(id []byte) []byte {
	p := append([]byte{0xC0, 0, 0, 0, 1, byte(len(id))}, id...)
	return append(p, make([]byte, 40)...)
}

func shortHeaderPacket(id []byte) []byte {
	return append(append([]byte{0x40}, id...), make([]byte, 20)...)
}

// callerChosenID is the connection ID in the first packet of flow i.
func callerChosenID(i int) []byte { return fmt.Appendf(nil, "flow%08d", i) }
