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

func TestHunting(t *testing.T) {
	self, second := addr(1, 1), addr(2, 1)
	low, high := flowLoad{10, 100}, flowLoad{90, 100}
	cases := []struct {
		name string
		hops uint8
		sec  netip.AddrPort
		view huntView
		want netip.AddrPort
	}{
		{"not above", 0, second, huntView{own: low, second: high, secondOK: true}, self},
		{"equal", 0, second, huntView{own: low, second: low, secondOK: true}, self},
		{"above", 0, second, huntView{own: high, second: low, secondOK: true}, second},
		{"above by share", 0, second, huntView{own: flowLoad{5, 6}, second: flowLoad{50, 100}, secondOK: true}, second},
		{"unknown second", 0, second, huntView{own: high}, self},
		{"last hop", wire.MaxHops, second, huntView{own: high, second: low, secondOK: true}, self},
		{"refusing", 0, second, huntView{refusing: true}, second},
		{"refusing without second", 0, netip.AddrPort{}, huntView{refusing: true}, self},
		{"second is self", 0, self, huntView{refusing: true}, self},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHunter(self)
			k := flowKey{caller: addr(9, 9)}
			now := time.Unix(0, 0)
			d := &wire.Header{Hops: tt.hops, SecondCandidate: tt.sec}
			is.Equal(h.decide(now, k, d, tt.view), tt.want)
			// The repeat of a first packet goes the same way, whatever the
			// loads are by then.
			swapped := huntView{own: tt.view.second, second: tt.view.own, secondOK: true}
			is.Equal(h.decide(now.Add(huntMemory), k, d, swapped), tt.want)
			is.True(len(h.current)+len(h.previous) <= 2)
		})
	}
}

func TestHunterMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHunter(addr(1, 1))
	for i := range 3 * maxHuntMemory {
		k := flowKey{caller: netip.AddrPortFrom(addr(1, 1).Addr(), uint16(i)), id: [20]byte{byte(i >> 16)}}
		h.decide(time.Unix(0, 0), k, &wire.Header{}, huntView{})
	}
	is.True(len(h.current)+len(h.previous) <= 2*maxHuntMemory)
}

func TestPathsAreBoundedAndExpire(t *testing.T) {
	is := is.New(t)
	p := newPathTable()
	now := time.Unix(1000, 0)
	known := addr(1, 1)
	is.True(p.put(known, path{seen: now}, false))
	refused := 0
	for i := range 4 * minPaths {
		if !p.put(netip.AddrPortFrom(addr(2, 1).Addr(), uint16(i)), path{seen: now}, false) {
			refused++
		}
	}
	is.True(p.len() <= minPaths)
	is.True(refused > 0)
	is.True(p.put(known, path{seen: now}, false))     // a known caller stays
	is.True(p.put(addr(3, 1), path{seen: now}, true)) // so does one with an owner token
	p.expire(now.Add(pathIdle + 1))
	is.Equal(p.len(), 0)
}

// TestFlowsSpreadByLoad dials more flows than one agent would take, through
// entries that all name the same first candidate.
func TestFlowsSpreadByLoad(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.route(b.agents[0], b.agents[1])
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

// TestSplitFirstPacketsEndAtOneAgent sends the two packets of a long
// ClientHello through entries that know different agents.
func TestSplitFirstPacketsEndAtOneAgent(t *testing.T) {
	inBubble(t, func(b *bench) {
		for i, e := range b.net.entries {
			e.candidates = []netip.AddrPort{b.agents[i].settings.Data}
		}
		// The first packet goes to the first entry, all later ones to the
		// second.
		var sent atomic.Int64
		b.net.setSplit(func() int { return int(min(sent.Add(1)-1, 1)) })
		c := b.mustDial()
		b.is.True(sent.Load() > 2)
		b.net.setSplit(nil)
		status, _, _, err := c.get("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
		time.Sleep(2 * handshakeTimeout) // half-open flows elsewhere end
		total := 0
		for _, a := range b.agents {
			total += a.flows.len()
		}
		b.is.Equal(total, 1)
	}, echo, echo, echo)
}

func TestLeavingUpstreamSendsFlowsElsewhere(t *testing.T) {
	inBubble(t, func(b *bench) {
		leaving, other := b.agents[0], b.agents[1]
		b.route(leaving, other)
		b.mustDial()
		leaving.silence()
		b.is.Equal(b.announce(leaving, "leaving", 5), 200)
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			b.mustDial()
		}
		time.Sleep(10 * time.Millisecond)
		b.is.Equal(leaving.established(), 0) // its caller got GOAWAY and ended it
		b.is.Equal(other.established(), 5)
		_, progress := b.onAnnounce(leaving, "GET", nil)
		b.is.Equal(progress, `{"flows":0,"running":0,"drained":true}`+"\n")
		b.is.Equal(b.announce(leaving, "cold", 5), 200) // it comes back
		time.Sleep(100 * time.Millisecond)
		c := b.mustDial()
		status, _, _, err := c.get("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo, echo)
}

func TestKeyRotationKeepsFlows(t *testing.T) {
	inBubble(t, func(b *bench) {
		old := b.mustDial()
		b.cluster.setConfig(testConfig(2, false))
		time.Sleep(100 * time.Millisecond)
		for _, c := range []*caller{old, b.mustDial()} {
			status, _, _, err := c.get("GET", "/", nil)
			b.is.NoErr(err)
			b.is.Equal(status, 200)
		}
		var s wire.Status
		b.agents[0].fleet.status(&s)
		b.is.Equal(s.Agent.FlowsByKey, map[string]int{"1": 1, "2": 1})
		b.is.Equal(s.Agent.Flows, 2)
	}, echo)
}

func TestAnswersGoRoundAGoneEntry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := addr(1, 1), addr(2, 1)
	v := &sharedView{entries: []netip.AddrPort{b}, goneEntry: map[netip.AddrPort]time.Time{a: now}}
	is.Equal(v.entryFor(&path{entry: a, seen: now.Add(-1)}, addr(9, 9)), b)
	is.Equal(v.entryFor(&path{entry: a, seen: now.Add(1)}, addr(9, 9)), a) // it is back
	is.Equal(v.entryFor(&path{entry: b}, addr(9, 9)), b)
}

func TestFullAgentHandsFlowsOn(t *testing.T) {
	is := is.New(t)
	ring := testRing(1)
	initial := []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}
	for _, tt := range []struct {
		load flowLoad
		kept bool
	}{{flowLoad{1, 2}, true}, {flowLoad{2, 2}, false}} {
		s := fuzzSocket(ring)
		s.load = func() flowLoad { return tt.load }
		b := make([]byte, wire.HeaderSize, wire.HeaderSize+len(initial))
		wire.PutHeader(b, ring, &wire.Header{
			Kind: wire.KindToAgent, Service: 7, Caller: addr(9, 9),
			Destination: serviceAddr, Entry: addr(100, 1), SecondCandidate: addr(2, 1),
		})
		_, _, kept := s.accept(append(b, initial...), addr(100, 1))
		is.Equal(kept, tt.kept)
	}
}

// FuzzDatagram checks that nothing that arrives makes the socket panic or
// passes a packet to the transport without a valid header for this agent.
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
		h, got, ok := s.accept(b, addr(100, 1))
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
	s.load = func() flowLoad { return flowLoad{1, 2} }
	s.peer = func(netip.AddrPort, time.Time) (flowLoad, bool) { return flowLoad{}, false }
	s.report = func(_ netip.AddrPort, b []byte) { parseLoad(ring, b) }
	s.view.Store(&sharedView{ring: ring, service: 7})
	return s
}
