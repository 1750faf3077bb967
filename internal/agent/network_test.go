package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/standin/memnet"
	"crocusnotch/internal/wire"
)

const linkDelay = time.Millisecond

// memoryNetwork is an in-memory network with entries and a fabric that sprays the
// callers' packets over them.
type memoryNetwork struct {
	*memnet.Network
	ring    *keyring.Ring
	service uint16
	bridge  *net.UDPConn // to agents in other processes, if set

	mu      sync.Mutex
	rng     *rand.Rand
	entries []*testEntry
	// pickEntry, if set, selects the entry for a packet instead of a random
	// choice.
	pickEntry func() int
}

func newMemoryNetwork(ring *keyring.Ring, service uint16) *memoryNetwork {
	n := &memoryNetwork{rng: rand.New(rand.NewPCG(1, 2)), ring: ring, service: service}
	n.Network = memnet.New(memnet.Options{Delay: linkDelay, Intercept: n.divert})
	return n
}

// divert intercepts datagrams to entries and to agents in other processes.
func (n *memoryNetwork) divert(data []byte, _, to netip.AddrPort) bool {
	if n.bridge != nil && to == measuredAgentAddr {
		_, _ = n.bridge.WriteToUDPAddrPort(data, to)
		return true
	}
	entry := n.entryAt(to)
	if entry != nil {
		n.deliverToCaller(entry, data)
	}
	return entry != nil
}

func (n *memoryNetwork) setPickEntry(pick func() int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pickEntry = pick
}

func (n *memoryNetwork) ListenDatagrams(addr netip.AddrPort) (DatagramConn, error) {
	return n.Socket(addr), nil
}

func (n *memoryNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return n.Network.Dial(ctx, netip.AddrPort{}, netip.MustParseAddrPort(addr))
}

// testEntry is an entry with its own list of candidates.
type testEntry struct {
	addr       netip.AddrPort
	candidates []netip.AddrPort
}

// callerConn is a caller's socket, which sends its packets into the fabric.
type callerConn struct {
	*memnet.Socket
	net *memoryNetwork
}

func (c callerConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.net.spray(b, c.Address(), to.(*net.UDPAddr).AddrPort())
	return len(b), nil
}

// spray sends a caller's packet to a random entry, which routes it to an agent.
func (n *memoryNetwork) spray(b []byte, from, to netip.AddrPort) {
	n.mu.Lock()
	entry := n.entries[n.rng.IntN(len(n.entries))]
	if n.pickEntry != nil {
		entry = n.entries[n.pickEntry()]
	}
	candidates := entry.candidates
	n.mu.Unlock()
	h := wire.Header{Kind: wire.KindToAgent, Service: n.service, Caller: from, Destination: to, Entry: entry.addr}
	var agent netip.AddrPort
	id, _ := destinationID(b)
	if token, verdict := routing.ParseToken(n.ring, id); verdict == routing.TokenValid {
		agent = token.Agent
	} else {
		agent = candidates[0]
		if len(candidates) > 1 {
			h.SecondCandidate = candidates[1]
		}
	}
	out := make([]byte, wire.HeaderSize+len(b))
	wire.PutHeader(out, n.ring, &h)
	copy(out[wire.HeaderSize:], b)
	n.Deliver(out, entry.addr, agent)
}

func (n *memoryNetwork) entryAt(a netip.AddrPort) *testEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.entries {
		if e.addr == a {
			return e
		}
	}
	return nil
}

// deliverToCaller delivers the packet in an agent's datagram to the caller.
func (n *memoryNetwork) deliverToCaller(e *testEntry, b []byte) {
	h, verdict := wire.ParseHeader(n.ring, b)
	if verdict != wire.HeaderValid || h.Kind != wire.KindToCaller {
		return
	}
	n.Deliver(b[wire.HeaderSize:], h.Destination, h.Caller)
}
