package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// mode is how the proxy handles connections to the store.
type mode int

const (
	modePass          mode = iota
	modeDelay              // delays each block of bytes
	modeReset              // resets connections
	modeBlackhole          // drops bytes in both directions, keeps connections open
	modeDropResponses      // forwards requests, drops responses
	modeCount
)

// proxyDelay is the delay of each block of bytes. It is 75 times the 4 ms in which
// the store responds otherwise.
const proxyDelay = 300 * time.Millisecond

// proxy is a TCP proxy between the programs and the store.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(t *testing.T, at netip.AddrPort, target string) *proxy {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode; modeReset also resets the open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.copy(s, c, false)
	p.copy(c, s, true)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards bytes until one side closes. After it has dropped bytes, it drops
// all that follow on the connection.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 32<<10)
	blackholed := false
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case blackholed || m == modeBlackhole || m == modeDropResponses && responses:
			blackholed = true
			continue
		case m == modeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := io.Writer(to).Write(b[:n]); err != nil {
			return
		}
	}
}
