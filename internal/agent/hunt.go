package agent

import (
	"net/netip"
	"time"

	"crocusnotch/internal/wire"
)

const (
	// huntMemory is how long the decision on a flow's first packets is kept at
	// least. It covers the repeats of a handshake.
	huntMemory = 10 * time.Second
	// maxHuntMemory bounds the decisions of one period.
	maxHuntMemory = 1 << 16
	// initialIDSize is the longest connection ID in bytes.
	initialIDSize = 20
)

// flowKey identifies a flow before it has an owner token: the caller's address
// and the connection ID that the caller chose.
type flowKey struct {
	caller netip.AddrPort
	id     [initialIDSize]byte
}

// newFlowKey returns the key of a packet; ok is false when it is not a QUIC
// packet with a long header.
func newFlowKey(caller netip.AddrPort, packet []byte) (flowKey, bool) {
	const (
		longHeader = 0x80
		idLength   = 5
	)
	if len(packet) <= idLength || packet[0]&longHeader == 0 {
		return flowKey{}, false
	}
	id := packet[idLength+1:]
	n := int(packet[idLength])
	if n > initialIDSize || n > len(id) {
		return flowKey{}, false
	}
	k := flowKey{caller: caller}
	copy(k.id[:], id[:n])
	return k, true
}

// flowLoad is an agent's flows in relation to what its upstream bears.
type flowLoad struct {
	flows       int
	connections int
}

// above reports whether l is more loaded than other, by share of the
// connections.
func (l flowLoad) above(other flowLoad) bool {
	return l.flows*other.connections > other.flows*l.connections
}

// full reports whether no flow more is borne.
func (l flowLoad) full() bool { return l.flows >= l.connections }

// huntView is what is known when a first packet arrives.
type huntView struct {
	refusing bool // new flows are not taken here
	own      flowLoad
	second   flowLoad // of candidate 2
	secondOK bool     // candidate 2 is known and takes flows
}

// hunter decides whether the first packets of a flow are kept or handed on to
// candidate 2. It has one owner.
type hunter struct {
	self     netip.AddrPort
	current  map[flowKey]netip.AddrPort // self when kept
	previous map[flowKey]netip.AddrPort
	turned   time.Time
}

func newHunter(self netip.AddrPort) *hunter {
	return &hunter{self: self, current: map[flowKey]netip.AddrPort{}}
}

// recall returns the earlier decision on the flow.
func (h *hunter) recall(k flowKey) (netip.AddrPort, bool) {
	if to, ok := h.current[k]; ok {
		return to, true
	}
	to, ok := h.previous[k]
	return to, ok
}

// decide returns where the packet goes: self keeps it.
func (h *hunter) decide(now time.Time, k flowKey, d *wire.Header, v huntView) netip.AddrPort {
	h.turn(now)
	if to, ok := h.recall(k); ok {
		return to
	}
	to := h.self
	if h.handOn(d, v) {
		to = d.SecondCandidate
	}
	h.current[k] = to
	return to
}

func (h *hunter) handOn(d *wire.Header, v huntView) bool {
	if d.Hops >= wire.MaxHops || !d.SecondCandidate.IsValid() || d.SecondCandidate == h.self {
		return false
	}
	if v.refusing {
		return true
	}
	return v.secondOK && v.own.above(v.second)
}

func (h *hunter) turn(now time.Time) {
	if now.Sub(h.turned) < huntMemory && len(h.current) < maxHuntMemory {
		return
	}
	h.previous = h.current
	h.current = map[flowKey]netip.AddrPort{}
	h.turned = now
}
