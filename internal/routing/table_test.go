package routing

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
)

func TestDecide(t *testing.T) {
	fleet := testFleet()
	records := []membership.Record{
		agentRecord(1, testService, west1, membership.StateReady),
		agentRecord(2, otherService, west1, membership.StateDraining),
		{Addr: agentAddr(3), Role: membership.RoleEntry, Zone: west1, State: membership.StateReady},
	}
	table := NewTable(fleet, "west-1", records)
	token := func(agent int, service uint16, zone uint8) []byte {
		return AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(agent), Service: service, Zone: zone})
	}
	wrongMAC := token(1, testService, west1)
	wrongMAC[TokenSize-1] ^= 1
	unknownKey := token(1, testService, west1)
	unknownKey[0] = 9
	negotiation := longHeaderPacket(callerChosenID(1))
	negotiation[4] = 0

	for name, c := range map[string]struct {
		packet []byte
		to     netip.AddrPort
		want   Decision
	}{
		"owner":                  {shortHeaderPacket(token(1, testService, west1)), testAddress, Decision{ForwardOwner, testService, agentAddr(1), netip.AddrPort{}}},
		"owner, long header":     {longHeaderPacket(token(1, testService, west1)), testAddress, Decision{ForwardOwner, testService, agentAddr(1), netip.AddrPort{}}},
		"draining owner":         {shortHeaderPacket(token(2, otherService, west1)), otherAddress, Decision{ForwardOwner, otherService, agentAddr(2), netip.AddrPort{}}},
		"owner not yet a member": {shortHeaderPacket(token(99, testService, west1)), testAddress, Decision{ForwardOwner, testService, agentAddr(99), netip.AddrPort{}}},
		"new flow":               {longHeaderPacket(callerChosenID(1)), testAddress, Decision{ForwardCandidates, testService, agentAddr(1), netip.AddrPort{}}},
		"no token, long header":  {longHeaderPacket(wrongMAC), testAddress, Decision{ForwardCandidates, testService, agentAddr(1), netip.AddrPort{}}},
		"bad token":              {shortHeaderPacket(wrongMAC), testAddress, Decision{Verdict: DropBadToken, Service: testService}},
		"unknown key":            {shortHeaderPacket(unknownKey), testAddress, Decision{Verdict: DropUnknownKey, Service: testService}},
		"token of other service": {shortHeaderPacket(token(2, otherService, west1)), testAddress, Decision{Verdict: DropWrongService, Service: testService}},
		"agent of other service": {shortHeaderPacket(token(2, testService, west1)), testAddress, Decision{Verdict: DropWrongService, Service: testService}},
		"token for an entry":     {shortHeaderPacket(token(3, testService, west1)), testAddress, Decision{Verdict: DropNotAgent, Service: testService}},
		"zone out":               {shortHeaderPacket(token(4, testService, eastOut)), testAddress, Decision{Verdict: DropZoneOut, Service: testService}},
		"no upstream":            {longHeaderPacket(callerChosenID(1)), otherAddress, Decision{Verdict: DropNoUpstream, Service: otherService}},
		"unknown address":        {longHeaderPacket(callerChosenID(1)), testCaller, Decision{Verdict: DropUnknownAddress}},
		"empty":                  {nil, testAddress, Decision{Verdict: DropMalformed}},
		"too short":              {shortHeaderPacket(nil)[:TokenSize], testAddress, Decision{Verdict: DropMalformed}},
		"ID longer than packet":  {append([]byte{0xC0, 0, 0, 0, 1, 200}, make([]byte, 30)...), testAddress, Decision{Verdict: DropMalformed}},
		"empty ID":               {append([]byte{0xC0, 0, 0, 0, 1, 0}, make([]byte, 30)...), testAddress, Decision{Verdict: DropMalformed}},
		"version negotiation":    {negotiation, testAddress, Decision{Verdict: DropMalformed}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(table.Decide(c.packet, testCaller, c.to), c.want)
		})
	}
}

func TestIneligibleAgents(t *testing.T) {
	is := is.New(t)
	records := agentRecords(2)
	records[0].Slots = 0 // no upstream is registered
	records[1].Addr = netip.MustParseAddrPort("[2001:db8::1]:7000")
	table := NewTable(testFleet(), "west-1", records)
	is.Equal(table.Decide(longHeaderPacket(callerChosenID(1)), testCaller, testAddress).Verdict, DropNoUpstream)
}

func TestDecideWithoutKeys(t *testing.T) {
	is := is.New(t)
	fleet := testFleet()
	fleet.Keys = nil
	table := NewTable(fleet, "west-1", agentRecords(3))
	is.Equal(table.Decide(longHeaderPacket(callerChosenID(1)), testCaller, testAddress).Verdict, DropUnknownKey)
	table = NewTable(config.Empty(), "west-1", agentRecords(3))
	is.Equal(table.Decide(longHeaderPacket(callerChosenID(1)), testCaller, testAddress).Verdict, DropUnknownAddress)
}

func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	fleet := testFleet()
	old := AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(1), Service: testService, Zone: west1})
	fleet.Keys = testKeys(2, 1)
	is.Equal(NewTable(fleet, "west-1", nil).Decide(shortHeaderPacket(old), testCaller, testAddress).Verdict, ForwardOwner)
	fleet.Keys = testKeys(2)
	is.Equal(NewTable(fleet, "west-1", nil).Decide(shortHeaderPacket(old), testCaller, testAddress).Verdict, DropUnknownKey)
}

func TestCandidates(t *testing.T) {
	const ready, cold, draining = membership.StateReady, membership.StateCold, membership.StateDraining
	const suspect, left, dead = membership.StateSuspect, membership.StateLeft, membership.StateDead
	type agent struct {
		zone  uint8
		state membership.State
	}
	for name, c := range map[string]struct {
		zone   string
		agents []agent
		want   []int // indices of the agents that receive new flows
	}{
		"own region only":                   {"west-1", []agent{{west1, ready}, {west2, cold}, {east1, ready}}, []int{0, 1}},
		"other region when none ready":      {"west-1", []agent{{west1, cold}, {west2, draining}, {east1, ready}}, []int{0, 2}},
		"region unknown":                    {"nowhere", []agent{{west1, ready}, {east1, ready}}, []int{0, 1}},
		"zone out":                          {"east-1", []agent{{eastOut, ready}, {east1, ready}}, []int{1}},
		"only the zone that is out":         {"east-1", []agent{{eastOut, ready}}, nil},
		"draining and left":                 {"west-1", []agent{{west1, draining}, {west1, left}, {west1, ready}}, []int{2}},
		"half are suspected":                {"west-1", []agent{{west1, ready}, {west1, suspect}}, []int{0}},
		"more than half are suspected":      {"west-1", []agent{{west1, ready}, {west1, suspect}, {west1, dead}}, []int{0, 1, 2}},
		"all are dead":                      {"west-1", []agent{{west1, dead}, {west2, dead}, {west2, left}}, []int{0, 1}},
		"draining agents are not suspected": {"west-1", []agent{{west1, ready}, {west1, draining}, {west1, draining}, {west1, dead}}, []int{0}},
		"suspected in the other region":     {"west-1", []agent{{west1, ready}, {west1, dead}, {east1, dead}, {east1, dead}}, []int{0}},
		"no upstream":                       {"west-1", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var records []membership.Record
			for i, a := range c.agents {
				records = append(records, agentRecord(i, testService, a.zone, a.state))
			}
			table := NewTable(testFleet(), c.zone, records)
			got := map[netip.AddrPort]bool{}
			for i := range 400 {
				d := table.Decide(longHeaderPacket(callerChosenID(i)), testCaller, testAddress)
				is.Equal(d.Verdict == ForwardCandidates, len(c.want) > 0)
				is.True(!d.Agent.IsValid() || d.Agent != d.SecondCandidate)
				is.Equal(d.SecondCandidate.IsValid(), len(c.want) > 1)
				got[d.Agent] = true
			}
			for _, i := range c.want {
				is.True(got[agentAddr(i)]) // each candidate receives flows
			}
			is.Equal(table.Summary(testService).Candidates, len(c.want))
			if len(c.want) > 0 {
				is.Equal(len(got), len(c.want))
			}
		})
	}
}
