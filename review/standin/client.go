package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

func newReader(b []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(b)) }

func signature(id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, "signature of "+id)
	return fmt.Sprintf("%x", h.Sum64())
}

// client is a client machine with one address.
type client struct {
	w    *world
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[flowKey]*clientFlow
}

// clientFlow is a flow at its client.
type clientFlow struct {
	c    *client
	key  flowKey
	in   chan packet
	next uint32 // next sequence number to send
	got  uint32 // next sequence number expected from the server
	open bool

	mu        sync.Mutex
	reset     bool // by the system
	srvReset  bool
	finSeen   bool
	finSent   bool
	gaveUp    bool
	openedAt  time.Time
	lastUseAt time.Time
}

func newClient(w *world, zone string, ip netip.Addr) (*client, error) {
	c := &client{w: w, zone: zone, ip: ip, flows: map[flowKey]*clientFlow{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram)))
	if err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, own, err := decode(b[:n])
		if err != nil {
			c.w.broken("MIXED: a client got a packet that no server wrote so: %v", err)
			continue
		}
		k := flowKey{p.dst, p.src}
		c.mu.Lock()
		f := c.flows[k]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if own {
			f.mu.Lock()
			f.reset = true
			wasOpen := f.open && !f.gaveUp && !(f.finSeen && f.finSent)
			f.mu.Unlock()
			c.w.systemReset(f, wasOpen)
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// send sends a packet through the node that the router selects now.
func (c *client) send(p *packet) {
	to, ok := c.w.route(c.zone, flowKey{p.src, p.dst})
	if !ok {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
}

func (f *clientFlow) packet(flags byte, seq uint32, data []byte) *packet {
	return &packet{src: f.key.client, dst: f.key.route, seq: seq, ack: f.got, flags: flags, data: data}
}

// open opens a flow from the port: the opening packet at once, after 200 ms and after
// 600 ms; it gives up after 1.4 s.
func (c *client) open(port uint16, route netip.AddrPort) (*clientFlow, bool) {
	f := &clientFlow{c: c, key: flowKey{end{c.ip.As4(), port}, endOf(route)}, in: make(chan packet, 64), next: rand.Uint32()}
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	c.w.sentOpening(f.key)
	for n, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.send(&packet{src: f.key.client, dst: f.key.route, seq: f.next, ack: uint32(n), flags: flagSYN})
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.has(flagRST) {
					return f, false
				}
				if p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.next+1 {
					f.next++
					f.got = p.seq + 1
					f.mu.Lock()
					f.open, f.openedAt = true, time.Now()
					f.mu.Unlock()
					c.send(f.packet(flagACK, f.next, nil))
					return f, true
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	return f, false
}

// exchange sends a request and returns its answer. ok is false after a reset or at the deadline.
func (f *clientFlow) exchange(id, method string, workMs int, last bool, deadline time.Duration) (ok bool) {
	header := ""
	if last {
		header = "Connection: close\r\n"
	}
	data := fmt.Appendf(nil, "%s /bell HTTP/1.1\r\nHost: stand-in\r\nRequest-Id: %s\r\nWork-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", method, id, workMs, header)
	f.c.w.sentRequest(id)
	f.mu.Lock()
	f.lastUseAt = time.Now()
	f.mu.Unlock()
	until := time.After(deadline)
	seq := f.next
	f.next += uint32(len(data))
	acked, wait := false, retransmitMin
	f.c.send(f.packet(flagACK, seq, data))
	again := time.After(wait)
	for {
		select {
		case p := <-f.in:
			switch {
			case p.has(flagRST):
				f.mu.Lock()
				f.srvReset = !f.reset
				f.mu.Unlock()
				return false
			case int32(p.ack-f.next) >= 0:
				acked = true
			}
			if len(p.data) > 0 {
				if p.seq != f.got {
					f.c.send(f.packet(flagACK, f.next, nil))
					continue
				}
				f.got += uint32(len(p.data))
				f.c.send(f.packet(flagACK, f.next, nil))
				return f.answered(id, p.data)
			}
			if p.has(flagFIN) && p.seq == f.got {
				f.finish()
				return false
			}
		case <-again:
			if !acked {
				f.c.send(f.packet(flagACK, seq, data))
			}
			wait = min(2*wait, retransmitMax)
			again = time.After(wait)
		case <-until:
			f.giveUp()
			return false
		}
	}
}

// giveUp resets a flow whose request was not answered by its deadline.
func (f *clientFlow) giveUp() {
	f.mu.Lock()
	f.gaveUp = true
	f.mu.Unlock()
	f.c.w.record("flow %s: its client gives it up", f.key)
	f.c.send(f.packet(flagRST|flagACK, f.next, nil))
}

func (f *clientFlow) answered(id string, data []byte) bool {
	res, err := http.ReadResponse(newReader(data), nil)
	if err != nil {
		f.c.w.broken("MIXED: the answer to %s cannot be read: %v", id, err)
		return false
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || res.Header.Get("Request-Id") != id || res.Header.Get("Response-Signature") != signature(id) || string(body) != "done "+id {
		f.c.w.broken("MIXED: a client got a wrong answer to %s", id)
		return false
	}
	f.c.w.answeredRequest(id)
	return true
}

// finish acknowledges the server's FIN and closes the client's side.
func (f *clientFlow) finish() {
	f.got++
	f.mu.Lock()
	f.finSeen, f.finSent = true, true
	f.mu.Unlock()
	f.c.send(f.packet(flagFIN|flagACK, f.next, nil))
	f.next++
}

// awaitClose waits until the server closes the flow, and closes it too. It reports whether
// the server acknowledged the client's FIN.
func (f *clientFlow) awaitClose(limit time.Duration) bool {
	timeout := time.After(limit)
	closed := false
	for {
		select {
		case p := <-f.in:
			switch {
			case p.has(flagRST):
				return false
			case p.has(flagFIN) && p.seq == f.got && !closed:
				f.finish()
				closed = true
			case closed && p.ack == f.next:
				return true
			}
		case <-timeout:
			return false
		}
	}
}

func (f *clientFlow) wasReset() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset || f.srvReset || f.finSeen || f.gaveUp
}
