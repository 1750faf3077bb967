package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// mode is how the proxy treats connections to the store.
type mode int

const (
	pass    mode = iota
	delayed      // each block of bytes waits
	resets       // connections are reset
	silent       // bytes vanish both ways, connections stay open
	oneWay       // requests arrive, answers vanish
	modeCount
)

// proxyDelay is the wait of each block of bytes: a store that answers 75 times
// slower than in 4 ms.
const proxyDelay = 300 * time.Millisecond

// proxy stands between the programs and the store.
type proxy struct {
	l      net.Listener
	target string
	mu     sync.Mutex
	mode   mode
	conns  map[net.Conn]bool
}

func newProxy(t *testing.T, at netip.AddrPort, target string) *proxy {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{l: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode; open connections are reset where it says so.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resets {
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

func (p *proxy) close() { _ = p.l.Close() }

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.get() == resets {
			reset(c)
			continue
		}
		go p.join(c)
	}
}

func (p *proxy) join(c net.Conn) {
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

// copy moves bytes until one side ends. A connection that went silent stays so.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch m := p.get(); {
		case dead || m == silent || m == oneWay && answers:
			dead = true
			continue
		case m == delayed:
			time.Sleep(proxyDelay)
		}
		if _, err := io.Writer(to).Write(b[:n]); err != nil {
			return
		}
	}
}
