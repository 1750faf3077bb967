package agent

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

func TestHandoffDecision(t *testing.T) {
	self, second := addr(1, 1), addr(2, 1)
	low, high := flowLoad{10, 100}, flowLoad{90, 100}
	cases := []struct {
		name   string
		hops   uint8
		second netip.AddrPort
		state  handoffState
		want   netip.AddrPort
	}{
		{"lower load", 0, second, handoffState{own: low, second: high, secondAccepts: true}, self},
		{"equal load", 0, second, handoffState{own: low, second: low, secondAccepts: true}, self},
		{"higher load", 0, second, handoffState{own: high, second: low, secondAccepts: true}, second},
		{"higher share of connections", 0, second, handoffState{own: flowLoad{5, 6}, second: flowLoad{50, 100}, secondAccepts: true}, second},
		{"unknown second load", 0, second, handoffState{own: high}, self},
		{"last hop", wire.MaxHops, second, handoffState{own: high, second: low, secondAccepts: true}, self},
		{"refusing", 0, second, handoffState{refusing: true}, second},
		{"refusing without second", 0, netip.AddrPort{}, handoffState{refusing: true}, self},
		{"second is self", 0, self, handoffState{refusing: true}, self},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			policy := newHandoffPolicy(self)
			key := flowKey{caller: addr(9, 9)}
			now := time.Unix(0, 0)
			header := &wire.Header{Hops: tt.hops, SecondCandidate: tt.second}
			is.Equal(policy.decide(now, key, header, tt.state), tt.want)
			// A retransmitted first packet gets the same decision, even if the
			// loads have changed.
			swapped := handoffState{own: tt.state.second, second: tt.state.own, secondAccepts: true}
			is.Equal(policy.decide(now.Add(minDecisionRetention), key, header, swapped), tt.want)
			is.True(len(policy.current)+len(policy.previous) <= 2)
		})
	}
}

func TestHandoffDecisionsAreBounded(t *testing.T) {
	is := is.New(t)
	policy := newHandoffPolicy(addr(1, 1))
	for i := range 3 * maxDecisions {
		key := flowKey{caller: netip.AddrPortFrom(addr(1, 1).Addr(), uint16(i)), id: [20]byte{byte(i >> 16)}}
		policy.decide(time.Unix(0, 0), key, &wire.Header{}, handoffState{})
	}
	is.True(len(policy.current)+len(policy.previous) <= 2*maxDecisions)
}

func TestPathsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	p := newPathTable()
	now := time.Unix(1000, 0)
	known := addr(1, 1)
	is.True(p.put(known, returnPath{lastSeen: now}, false))
	refused := 0
	for i := range 4 * minPaths {
		if !p.put(netip.AddrPortFrom(addr(2, 1).Addr(), uint16(i)), returnPath{lastSeen: now}, false) {
			refused++
		}
	}
	is.True(p.len() <= minPaths)
	is.True(refused > 0)
	is.True(p.put(known, returnPath{lastSeen: now}, false))     // a known caller is accepted
	is.True(p.put(addr(3, 1), returnPath{lastSeen: now}, true)) // and one with an owner token
	p.expire(now.Add(pathIdleTimeout + 1))
	is.Equal(p.len(), 0)
}

// TestFlowsSpreadByLoad opens many flows through entries that all have the same
// first candidate, and checks that the second one gets its share.
func TestFlowsSpreadByLoad(t *testing.T) {
	inBubble(t, func(b *testBench) {
		b.setCandidates(b.agents[0], b.agents[1])
		for range 200 {
			b.mustDial()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		first, second := b.agents[0].flows.len(), b.agents[1].flows.len()
		b.is.Equal(first+second, 200)
		b.is.True(first <= 130)
		b.is.True(second >= 70)
	}, echo, echo)
}

// TestSplitClientHelloReachesOneAgent sends the two packets of a long ClientHello
// through entries that have different candidates.
func TestSplitClientHelloReachesOneAgent(t *testing.T) {
	inBubble(t, func(b *testBench) {
		for i, e := range b.net.entries {
			e.candidates = []netip.AddrPort{b.agents[i].settings.Data}
		}
		// The first packet goes to the first entry, all later ones to the
		// second.
		var sent atomic.Int64
		b.net.setPickEntry(func() int { return int(min(sent.Add(1)-1, 1)) })
		c := b.mustDial()
		b.is.True(sent.Load() > 2)
		b.net.setPickEntry(nil)
		status, _, _, err := c.fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
		time.Sleep(2 * handshakeTimeout) // half-open flows at other agents time out
		total := 0
		for _, a := range b.agents {
			total += a.flows.len()
		}
		b.is.Equal(total, 1)
	}, echo, echo, echo)
}

func TestLeavingUpstreamSendsFlowsElsewhere(t *testing.T) {
	inBubble(t, func(b *testBench) {
		leaving, other := b.agents[0], b.agents[1]
		b.setCandidates(leaving, other)
		b.mustDial()
		leaving.stopAnnouncing()
		b.is.Equal(b.announce(leaving, "leaving", 5), 200)
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			b.mustDial()
		}
		time.Sleep(10 * time.Millisecond)
		b.is.Equal(leaving.established(), 0) // its caller received GOAWAY and closed it
		b.is.Equal(other.established(), 5)
		_, progress := b.requestAnnounce(leaving, "GET", nil)
		b.is.Equal(progress, `{"flows":0,"running":0,"drained":true}`+"\n")
		b.is.Equal(b.announce(leaving, "cold", 5), 200) // the upstream returns
		time.Sleep(100 * time.Millisecond)
		c := b.mustDial()
		status, _, _, err := c.fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo, echo)
}

func TestKeyRotationKeepsFlows(t *testing.T) {
	inBubble(t, func(b *testBench) {
		old := b.mustDial()
		b.cluster.setConfig(testConfig(2, false))
		time.Sleep(100 * time.Millisecond)
		for _, c := range []*caller{old, b.mustDial()} {
			status, _, _, err := c.fetch("GET", "/", nil)
			b.is.NoErr(err)
			b.is.Equal(status, 200)
		}
		var s wire.Status
		b.agents[0].fleet.status(&s)
		b.is.Equal(s.Agent.FlowsByKey, map[string]int{"1": 1, "2": 1})
		b.is.Equal(s.Agent.Flows, 2)
	}, echo)
}

func TestReturnPathAvoidsDepartedEntry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := addr(1, 1), addr(2, 1)
	v := &socketView{liveEntries: []netip.AddrPort{b}, departedEntries: map[netip.AddrPort]time.Time{a: now}}
	is.Equal(v.entryFor(&returnPath{entry: a, lastSeen: now.Add(-1)}, addr(9, 9)), b)
	is.Equal(v.entryFor(&returnPath{entry: a, lastSeen: now.Add(1)}, addr(9, 9)), a) // the entry is live again
	is.Equal(v.entryFor(&returnPath{entry: b}, addr(9, 9)), b)
}

func TestFullAgentForwardsNewFlows(t *testing.T) {
	is := is.New(t)
	ring := testRing(1)
	initial := []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}
	for _, tt := range []struct {
		load     flowLoad
		accepted bool
	}{{flowLoad{1, 2}, true}, {flowLoad{2, 2}, false}} {
		s := fuzzSocket(ring)
		s.ownLoad = func() flowLoad { return tt.load }
		b := make([]byte, wire.HeaderSize, wire.HeaderSize+len(initial))
		wire.PutHeader(b, ring, &wire.Header{
			Kind: wire.KindToAgent, Service: 7, Caller: addr(9, 9),
			Destination: serviceAddr, Entry: addr(100, 1), SecondCandidate: addr(2, 1),
		})
		_, _, accepted := s.receive(append(b, initial...), addr(100, 1))
		is.Equal(accepted, tt.accepted)
	}
}

// FuzzDatagram checks that no datagram makes the socket panic, and that only
// packets with a valid header for this agent reach the transport.
func FuzzDatagram(f *testing.F) {
	ring := testRing(1)
	f.Add([]byte{}, uint16(7), uint8(0), true)
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, uint16(7), uint8(1), true)
	f.Add([]byte{0x40, 1, 2, 3}, uint16(8), uint8(3), false)
	token := routing.AppendToken([]byte{0x40}, ring, routing.Token{Agent: addr(1, 1), Service: 7})
	f.Add(token, uint16(7), uint8(9), true)
	s := fuzzSocket(ring)
	f.Fuzz(func(t *testing.T, payload []byte, service uint16, hops uint8, signed bool) {
		b := payload
		if signed {
			b = make([]byte, wire.HeaderSize, wire.HeaderSize+len(payload))
			wire.PutHeader(b, ring, &wire.Header{
				Kind: wire.Kind(1 + hops%4), Hops: hops, Service: service,
				Caller: addr(9, 9), Destination: serviceAddr, Entry: addr(100, 1), SecondCandidate: addr(2, 1),
			})
			b = append(b, payload...)
		}
		h, got, ok := s.receive(b, addr(100, 1))
		if !ok {
			return
		}
		if !signed || h.Service != 7 || h.Kind != wire.KindToAgent {
			t.Fatalf("accepted a datagram that is not for this agent: %+v", h)
		}
		if id, long := destinationID(got); !long {
			if token, v := routing.ParseToken(ring, id); v != routing.TokenValid || token.Agent != s.self {
				t.Fatal("accepted a packet of another owner")
			}
		}
	})
}

func fuzzSocket(ring *keyring.Ring) *socket {
	n := newMemoryNetwork(ring, 7)
	s := newSocket(n.Socket(addr(1, 1)), addr(1, 1), 0, &newMetrics(newTestRegistry()).socket)
	s.ownLoad = func() flowLoad { return flowLoad{1, 2} }
	s.peerLoad = func(netip.AddrPort, time.Time) (flowLoad, bool) { return flowLoad{}, false }
	s.onLoadReport = func(_ netip.AddrPort, b []byte) { parseLoad(ring, b) }
	s.view.Store(&socketView{ring: ring, service: 7})
	return s
}
