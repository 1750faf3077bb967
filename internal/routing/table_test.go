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
		agentRecord(1, bells, west1, membership.StateReady),
		agentRecord(2, chimes, west1, membership.StateDraining),
		{Addr: agentAddr(3), Role: membership.RoleEntry, Zone: west1, State: membership.StateReady},
	}
	table := NewTable(fleet, "west-1", records)
	token := func(agent int, service uint16, zone uint8) []byte {
		return AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(agent), Service: service, Zone: zone})
	}
	broken := token(1, bells, west1)
	broken[TokenSize-1] ^= 1
	unknownKey := token(1, bells, west1)
	unknownKey[0] = 9
	negotiation := longPacket(firstID(1))
	negotiation[4] = 0

	for name, c := range map[string]struct {
		packet []byte
		to     netip.AddrPort
		want   Decision
	}{
		"owner":                  {shortPacket(token(1, bells, west1)), bellsAddress, Decision{ForwardOwner, bells, agentAddr(1), netip.AddrPort{}}},
		"owner, long header":     {longPacket(token(1, bells, west1)), bellsAddress, Decision{ForwardOwner, bells, agentAddr(1), netip.AddrPort{}}},
		"owner that drains":      {shortPacket(token(2, chimes, west1)), chimesAddress, Decision{ForwardOwner, chimes, agentAddr(2), netip.AddrPort{}}},
		"owner not yet known":    {shortPacket(token(99, bells, west1)), bellsAddress, Decision{ForwardOwner, bells, agentAddr(99), netip.AddrPort{}}},
		"new flow":               {longPacket(firstID(1)), bellsAddress, Decision{ForwardCandidates, bells, agentAddr(1), netip.AddrPort{}}},
		"no token, long header":  {longPacket(broken), bellsAddress, Decision{ForwardCandidates, bells, agentAddr(1), netip.AddrPort{}}},
		"bad token":              {shortPacket(broken), bellsAddress, Decision{Verdict: DropBadToken, Service: bells}},
		"unknown key":            {shortPacket(unknownKey), bellsAddress, Decision{Verdict: DropUnknownKey, Service: bells}},
		"token of other service": {shortPacket(token(2, chimes, west1)), bellsAddress, Decision{Verdict: DropWrongService, Service: bells}},
		"agent of other service": {shortPacket(token(2, bells, west1)), bellsAddress, Decision{Verdict: DropWrongService, Service: bells}},
		"token names an entry":   {shortPacket(token(3, bells, west1)), bellsAddress, Decision{Verdict: DropNotAgent, Service: bells}},
		"zone out":               {shortPacket(token(4, bells, eastX)), bellsAddress, Decision{Verdict: DropZoneOut, Service: bells}},
		"no upstream":            {longPacket(firstID(1)), chimesAddress, Decision{Verdict: DropNoUpstream, Service: chimes}},
		"unknown address":        {longPacket(firstID(1)), testCaller, Decision{Verdict: DropUnknownAddress}},
		"empty":                  {nil, bellsAddress, Decision{Verdict: DropMalformed}},
		"too short":              {shortPacket(nil)[:TokenSize], bellsAddress, Decision{Verdict: DropMalformed}},
		"ID longer than packet":  {append([]byte{0xC0, 0, 0, 0, 1, 200}, make([]byte, 30)...), bellsAddress, Decision{Verdict: DropMalformed}},
		"empty ID":               {append([]byte{0xC0, 0, 0, 0, 1, 0}, make([]byte, 30)...), bellsAddress, Decision{Verdict: DropMalformed}},
		"version negotiation":    {negotiation, bellsAddress, Decision{Verdict: DropMalformed}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(table.Decide(c.packet, testCaller, c.to), c.want)
		})
	}
}

func TestAgentsThatCannotServe(t *testing.T) {
	is := is.New(t)
	records := agentRecords(2)
	records[0].Slots = 0 // no upstream has announced itself
	records[1].Addr = netip.MustParseAddrPort("[2001:db8::1]:7000")
	table := NewTable(testFleet(), "west-1", records)
	is.Equal(table.Decide(longPacket(firstID(1)), testCaller, bellsAddress).Verdict, DropNoUpstream)
}

func TestDecideWithoutKeys(t *testing.T) {
	is := is.New(t)
	fleet := testFleet()
	fleet.Keys = nil
	table := NewTable(fleet, "west-1", agentRecords(3))
	is.Equal(table.Decide(longPacket(firstID(1)), testCaller, bellsAddress).Verdict, DropUnknownKey)
	table = NewTable(config.Empty(), "west-1", agentRecords(3))
	is.Equal(table.Decide(longPacket(firstID(1)), testCaller, bellsAddress).Verdict, DropUnknownAddress)
}

func TestTokensOfRetiredAndNewKeys(t *testing.T) {
	is := is.New(t)
	fleet := testFleet()
	old := AppendToken(nil, fleet.Keys, Token{Agent: agentAddr(1), Service: bells, Zone: west1})
	fleet.Keys = testKeys(2, 1)
	is.Equal(NewTable(fleet, "west-1", nil).Decide(shortPacket(old), testCaller, bellsAddress).Verdict, ForwardOwner)
	fleet.Keys = testKeys(2)
	is.Equal(NewTable(fleet, "west-1", nil).Decide(shortPacket(old), testCaller, bellsAddress).Verdict, DropUnknownKey)
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
		want   []int // indices of the agents that get new flows
	}{
		"own region alone":              {"west-1", []agent{{west1, ready}, {west2, cold}, {east1, ready}}, []int{0, 1}},
		"other region when none ready":  {"west-1", []agent{{west1, cold}, {west2, draining}, {east1, ready}}, []int{0, 2}},
		"region unknown":                {"nowhere", []agent{{west1, ready}, {east1, ready}}, []int{0, 1}},
		"zone out":                      {"east-1", []agent{{eastX, ready}, {east1, ready}}, []int{1}},
		"only the zone that is out":     {"east-1", []agent{{eastX, ready}}, nil},
		"draining and left":             {"west-1", []agent{{west1, draining}, {west1, left}, {west1, ready}}, []int{2}},
		"half are suspected":            {"west-1", []agent{{west1, ready}, {west1, suspect}}, []int{0}},
		"more than half are suspected":  {"west-1", []agent{{west1, ready}, {west1, suspect}, {west1, dead}}, []int{0, 1, 2}},
		"all are dead":                  {"west-1", []agent{{west1, dead}, {west2, dead}, {west2, left}}, []int{0, 1}},
		"draining are no suspects":      {"west-1", []agent{{west1, ready}, {west1, draining}, {west1, draining}, {west1, dead}}, []int{0}},
		"suspected in the other region": {"west-1", []agent{{west1, ready}, {west1, dead}, {east1, dead}, {east1, dead}}, []int{0}},
		"no upstream":                   {"west-1", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var records []membership.Record
			for i, a := range c.agents {
				records = append(records, agentRecord(i, bells, a.zone, a.state))
			}
			table := NewTable(testFleet(), c.zone, records)
			got := map[netip.AddrPort]bool{}
			for i := range 400 {
				d := table.Decide(longPacket(firstID(i)), testCaller, bellsAddress)
				is.Equal(d.Verdict == ForwardCandidates, len(c.want) > 0)
				is.True(!d.Agent.IsValid() || d.Agent != d.SecondCandidate)
				is.Equal(d.SecondCandidate.IsValid(), len(c.want) > 1)
				got[d.Agent] = true
			}
			for _, i := range c.want {
				is.True(got[agentAddr(i)]) // a candidate gets no flow
			}
			is.Equal(table.Summary(bells).Candidates, len(c.want))
			if len(c.want) > 0 {
				is.Equal(len(got), len(c.want))
			}
		})
	}
}
