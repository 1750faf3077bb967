package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

const linkDelay = time.Millisecond

// memoryNetwork joins processes by datagrams and pipes in memory. A fabric
// sprays the callers' packets over its entries.
type memoryNetwork struct {
	mu        sync.Mutex
	endpoints map[netip.AddrPort]*endpoint
	listeners map[netip.AddrPort]*pipeListener
	rng       *rand.Rand
	ring      *keyring.Ring
	service   uint16
	entries   []*testEntry
	bridge    *net.UDPConn // to agents in other processes, when set
	// split, when set, picks the entry for a packet instead of the spray.
	split func() int
}

func (n *memoryNetwork) setSplit(split func() int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.split = split
}

// testEntry is an entry with a view of its own of the candidates.
type testEntry struct {
	addr       netip.AddrPort
	candidates []netip.AddrPort
}

func newMemoryNetwork(ring *keyring.Ring, service uint16) *memoryNetwork {
	return &memoryNetwork{
		endpoints: map[netip.AddrPort]*endpoint{},
		listeners: map[netip.AddrPort]*pipeListener{},
		rng:       rand.New(rand.NewPCG(1, 2)),
		ring:      ring,
		service:   service,
	}
}

type packet struct {
	data []byte
	from netip.AddrPort
}

// endpoint is one datagram socket. It implements DatagramConn.
type endpoint struct {
	net  *memoryNetwork
	addr netip.AddrPort
	in   chan packet

	mu       sync.Mutex
	deadline chan struct{} // closed when the read deadline has passed
	timer    *time.Timer
	closed   chan struct{}
	once     sync.Once
}

func (n *memoryNetwork) endpoint(addr netip.AddrPort) *endpoint {
	e := &endpoint{
		net: n, addr: addr, in: make(chan packet, 4096),
		deadline: make(chan struct{}), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[addr] = e
	return e
}

func (n *memoryNetwork) ListenDatagrams(addr netip.AddrPort) (DatagramConn, error) {
	return n.endpoint(addr), nil
}

func (n *memoryNetwork) deliver(data []byte, from, to netip.AddrPort) {
	if n.bridge != nil && to == measuredData {
		_, _ = n.bridge.WriteToUDPAddrPort(data, to)
		return
	}
	p := packet{data: append([]byte(nil), data...), from: from}
	time.AfterFunc(linkDelay, func() {
		n.mu.Lock()
		e := n.endpoints[to]
		n.mu.Unlock()
		if e == nil {
			return
		}
		select {
		case e.in <- p:
		default:
		}
	})
}

func (e *endpoint) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	e.mu.Lock()
	deadline := e.deadline
	e.mu.Unlock()
	select {
	case <-e.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case <-deadline:
		return 0, netip.AddrPort{}, os.ErrDeadlineExceeded
	case p := <-e.in:
		return copy(b, p.data), p.from, nil
	}
}

func (e *endpoint) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case <-e.closed:
		return 0, net.ErrClosed
	default:
	}
	if entry := e.net.entryAt(to); entry != nil {
		e.net.answer(entry, b)
		return len(b), nil
	}
	e.net.deliver(b, e.addr, to)
	return len(b), nil
}

func (e *endpoint) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
	select {
	case <-e.deadline:
		e.deadline = make(chan struct{})
	default:
	}
	passed := e.deadline
	switch {
	case t.IsZero():
	case !t.After(time.Now()):
		close(passed)
	default:
		e.timer = time.AfterFunc(time.Until(t), func() { close(passed) })
	}
	return nil
}

func (e *endpoint) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(e.addr) }

func (e *endpoint) Close() error {
	e.once.Do(func() {
		close(e.closed)
		e.net.mu.Lock()
		defer e.net.mu.Unlock()
		if e.net.endpoints[e.addr] == e {
			delete(e.net.endpoints, e.addr)
		}
	})
	return nil
}

// callerConn is a caller's socket: what it sends goes into the fabric.
type callerConn struct{ *endpoint }

func (c callerConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.ReadFromUDPAddrPort(b)
	if err != nil {
		return 0, nil, err
	}
	return n, net.UDPAddrFromAddrPort(from), nil
}

func (c callerConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.net.spray(b, c.addr, to.(*net.UDPAddr).AddrPort())
	return len(b), nil
}

func (c callerConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c callerConn) SetWriteDeadline(time.Time) error { return nil }
func (c callerConn) SetReadBuffer(int) error          { return nil }
func (c callerConn) SetWriteBuffer(int) error         { return nil }

// spray hands a caller's packet to any live entry, which routes it.
func (n *memoryNetwork) spray(b []byte, from, to netip.AddrPort) {
	n.mu.Lock()
	entry := n.entries[n.rng.IntN(len(n.entries))]
	if n.split != nil {
		entry = n.entries[n.split()]
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
			h.Second = candidates[1]
		}
	}
	out := make([]byte, wire.HeaderSize+len(b))
	wire.PutHeader(out, n.ring, &h)
	copy(out[wire.HeaderSize:], b)
	n.deliver(out, entry.addr, agent)
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

// answer passes an agent's datagram on to the caller.
func (n *memoryNetwork) answer(e *testEntry, b []byte) {
	h, verdict := wire.ParseHeader(n.ring, b)
	if verdict != wire.HeaderValid || h.Kind != wire.KindToCaller {
		return
	}
	n.deliver(b[wire.HeaderSize:], h.Destination, h.Caller)
}

type pipeListener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (n *memoryNetwork) Listen(addr netip.AddrPort) (net.Listener, error) {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

func (n *memoryNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[netip.MustParseAddrPort(addr)]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
