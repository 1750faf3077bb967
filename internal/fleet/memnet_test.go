package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/wire"
)

const linkDelay = time.Millisecond

// memNet carries datagrams and control connections between nodes in memory.
type memNet struct {
	mu      sync.Mutex
	conns   map[netip.AddrPort]*memConn
	listens map[netip.AddrPort]*memListener
	blocked func(from, to netip.AddrPort) bool
	zones   map[netip.AddrPort]string
}

func newMemNet() *memNet {
	return &memNet{conns: map[netip.AddrPort]*memConn{}, listens: map[netip.AddrPort]*memListener{}, zones: map[netip.AddrPort]string{}}
}

func (m *memNet) cut(blocked func(from, to netip.AddrPort) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = blocked
}

func (m *memNet) reaches(from, to netip.AddrPort) bool {
	return m.blocked == nil || !m.blocked(from, to)
}

// memConn is a net.PacketConn with one millisecond of delay.
type memConn struct {
	net.PacketConn // nil: only the methods below are used
	m              *memNet
	addr           netip.AddrPort
	inbox          chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (c *memConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbox:
		return copy(b, p), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memConn) WriteTo(b []byte, to net.Addr) (int, error) {
	target := to.(*net.UDPAddr).AddrPort()
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	peer := c.m.conns[target]
	if peer == nil || !c.m.reaches(c.addr, target) {
		return len(b), nil
	}
	p := slices.Clone(b)
	time.AfterFunc(linkDelay, func() {
		select {
		case peer.inbox <- p:
		default:
		}
	})
	return len(b), nil
}

func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.m.mu.Lock()
		defer c.m.mu.Unlock()
		if c.m.conns[c.addr] == c {
			delete(c.m.conns, c.addr)
		}
	})
	return nil
}

// memListener accepts in-memory control connections.
type memListener struct {
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return nil }

func (m *memNet) caller(from netip.AddrPort) CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
		m.mu.Lock()
		l := m.listens[to]
		reach := m.reaches(from, to) && m.reaches(to, from)
		m.mu.Unlock()
		if l == nil || !reach {
			<-ctx.Done() // as when no packet is answered
			return ctx.Err()
		}
		ours, theirs := net.Pipe()
		select {
		case l.accepts <- theirs:
		case <-l.closed:
			return errors.New("refused")
		}
		conn := jsonrpc2.NewConn(ctx, wire.RPCStream(ours), jsonrpc2.HandlerWithError(nil))
		defer conn.Close()
		return conn.Call(ctx, method, params, result)
	}
}

func (m *memNet) open(a netip.AddrPort, zone string) (*memConn, *memListener) {
	c := &memConn{m: m, addr: a, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
	l := &memListener{accepts: make(chan net.Conn), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[a], m.listens[a], m.zones[a] = c, l, zone
	return c, l
}
