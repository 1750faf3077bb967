// Package memnet is an in-memory network of datagram sockets and byte streams.
// It supports delayed datagrams and partitions between any two addresses, and it
// works in virtual time.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// inboxSize is the number of datagrams queued at a socket; more are dropped.
const inboxSize = 4096

// ErrRefused reports an address without a listener.
var ErrRefused = errors.New("memnet: connection refused")

// Options configure a network.
type Options struct {
	Delay time.Duration // of each datagram
	// Blackhole makes Dial block until its context ends, instead of returning
	// ErrRefused, at an address that was never listened on.
	Blackhole bool
	// Intercept, when set, is called first for each datagram; it returns true for
	// those that it handles itself. It must not retain data.
	Intercept func(data []byte, from, to netip.AddrPort) bool
}

// Network connects sockets and listeners. It is safe for concurrent use.
type Network struct {
	opts Options

	mu        sync.Mutex
	sockets   map[netip.AddrPort]*Socket
	listeners map[netip.AddrPort]*listener
	blocked   func(from, to netip.AddrPort) bool
}

// New returns an empty network.
func New(o Options) *Network {
	return &Network{
		opts:      o,
		sockets:   map[netip.AddrPort]*Socket{},
		listeners: map[netip.AddrPort]*listener{},
	}
}

// Partition drops datagrams and blocks new connections between the addresses for
// which blocked returns true; nil ends the partition.
func (n *Network) Partition(blocked func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// reachable must be called with the lock held.
func (n *Network) reachable(from, to netip.AddrPort) bool {
	return n.blocked == nil || !n.blocked(from, to)
}

// Deliver sends one datagram. It is dropped if no socket is open at to.
func (n *Network) Deliver(data []byte, from, to netip.AddrPort) {
	if n.opts.Intercept != nil && n.opts.Intercept(data, from, to) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reachable(from, to) {
		return
	}
	d := datagram{data: slices.Clone(data), from: from}
	time.AfterFunc(n.opts.Delay, func() { n.enqueue(d, to) })
}

// enqueue drops the datagram if the socket is gone or its inbox is full.
func (n *Network) enqueue(d datagram, to netip.AddrPort) {
	n.mu.Lock()
	s := n.sockets[to]
	n.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.inbox <- d:
	default:
	}
}

// Listen accepts connections at the address.
func (n *Network) Listen(a netip.AddrPort) (net.Listener, error) {
	l := &listener{addr: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[a] = l
	return l, nil
}

// Dial connects to a listener. It blocks until ctx ends if the address is
// unreachable; the error is that of ctx or ErrRefused.
func (n *Network) Dial(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	partitioned := !n.reachable(from, to) || !n.reachable(to, from)
	n.mu.Unlock()
	if partitioned || (l == nil && n.opts.Blackhole) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts connections.
type listener struct {
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
