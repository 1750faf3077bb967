//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Errors of a request.
var (
	errNotOpen  = errors.New("the flow did not open")
	errReset    = errors.New("the flow was reset")
	errDeadline = errors.New("the deadline passed")
	errClosed   = errors.New("the flow was closed by the endpoint")
)

// client is a machine of callers: one socket, many flows.
type client struct {
	w    *world
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	in   map[string]chan packet
	last map[string]uint32 // last sequence number of the former flow of a port
}

func newClient(w *world, i int) *client {
	c := &client{w: w, ip: w.ip(netClient, i), in: map[string]chan packet{}, last: map[string]uint32{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.addr(netClient, i, portDatagram)))
	must(err)
	go c.receive()
	return c
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decodePacket(b[:n])
		if !ok || !p.systemReset() && (!p.sumOK || !p.clean) {
			c.w.violation("MIXED: client %s got a packet that its sender didn't write so: %x", c.ip, b[:min(n, headerSize)])
			continue
		}
		c.mu.Lock()
		in := c.in[flowName(p.dst, p.src)]
		c.mu.Unlock()
		if in != nil {
			select {
			case in <- p:
			default:
			}
		}
	}
}

// clientFlow is a client's end of a flow. It is used by one goroutine.
type clientFlow struct {
	c            *client
	src, dst     netip.AddrPort
	in           chan packet
	seq, next    uint32 // own next byte, next byte expected of the endpoint
	ahead        map[uint32]packet
	received     int
	buffer       []byte
	closedByPeer bool
	openedAt     time.Time
	// onReset is called for a reset of the system while the flow is open.
	onReset func(f *clientFlow)
}

func (f *clientFlow) name() string { return flowName(f.src, f.dst) }

func (f *clientFlow) send(b []byte) {
	_, _ = f.c.conn.WriteToUDP(b, f.c.w.route(f.src, f.dst))
}

// open opens a flow from the port.
func (c *client) open(port uint16, dst netip.AddrPort) (*clientFlow, error) {
	f := &clientFlow{c: c, src: netip.AddrPortFrom(c.ip, port), dst: dst, in: make(chan packet, 256), ahead: map[uint32]packet{}}
	f.seq = rand.Uint32N(1 << 30)
	c.mu.Lock()
	if last, used := c.last[f.name()]; used {
		f.seq = last + 64000 // a new flow of a port begins behind the former one
	}
	c.in[f.name()] = f.in
	c.mu.Unlock()
	begin := time.Now()
	for n, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(encodePacket(f.src, f.dst, flagSYN, f.seq, uint32(n), nil))
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.has(flagRST) {
					f.forget()
					return nil, errNotOpen
				}
				if p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1 {
					f.seq++
					f.next = p.seq + 1
					f.openedAt = time.Now()
					f.send(encodePacket(f.src, f.dst, flagACK, f.seq, f.next, nil))
					return f, nil
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	f.forget()
	c.w.log("client %s: no answer to the opening for %v", f.src, time.Since(begin).Round(time.Millisecond))
	return nil, errNotOpen
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.c.last[f.name()] = f.seq
	if f.c.in[f.name()] == f.in {
		delete(f.c.in, f.name())
	}
}

// close ends the flow from the client's side, or answers the endpoint's end.
func (f *clientFlow) close() {
	fin := encodePacket(f.src, f.dst, flagFIN|flagACK, f.seq, f.next, nil)
	f.seq++
	for range 3 {
		f.send(fin)
		timeout := time.After(200 * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if f.handle(&p) != nil || p.ack == f.seq && f.closedByPeer {
					f.sendACK()
					f.forget()
					return
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	f.forget()
}

func (f *clientFlow) sendACK() {
	f.received = 0
	f.send(encodePacket(f.src, f.dst, flagACK, f.seq, f.next, nil))
}

// handle takes in a packet of the endpoint.
func (f *clientFlow) handle(p *packet) error {
	if p.has(flagRST) {
		if p.systemReset() && f.onReset != nil {
			f.onReset(f)
		}
		return errReset
	}
	if p.has(flagSYN) {
		return nil
	}
	if len(p.data) > 0 || p.has(flagFIN) {
		f.ahead[p.seq] = *p
		f.received++
	}
	for q, ok := f.ahead[f.next]; ok; q, ok = f.ahead[f.next] {
		delete(f.ahead, f.next)
		f.buffer = append(f.buffer, q.data...)
		f.next += uint32(len(q.data))
		if q.has(flagFIN) {
			f.next++
			f.closedByPeer = true
			f.sendACK()
			break
		}
	}
	if f.received >= 2 {
		f.sendACK()
	}
	return nil
}

// request sends a request and waits for its whole answer. It returns the head of the
// answer. Each of headers is a whole line.
func (f *clientFlow) request(method, id string, workMillis float64, in, out int, deadline time.Duration, headers ...string) (string, error) {
	end := time.Now().Add(deadline)
	body := strings.Repeat("b", in)
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Work-Us: %d\r\nX-Bytes: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, id, f.dst.Addr(), id, int(workMillis*1000), out, strings.Join(headers, ""), in, body)
	raw := encodePacket(f.src, f.dst, flagACK, f.seq, f.next, []byte(text))
	f.seq += uint32(len(text))
	f.c.w.log("client %s sends %s %s", f.src, method, id)
	f.received = 0
	f.send(raw)
	pause := 200 * time.Millisecond
	again := time.NewTimer(pause)
	defer again.Stop()
	acked := false
	for {
		select {
		case p := <-f.in:
			if err := f.handle(&p); err != nil {
				return "", err
			}
			acked = acked || int32(p.ack-f.seq) >= 0
			if i := bytes.Index(f.buffer, []byte("\r\n\r\n")); i >= 0 {
				head := string(f.buffer[:i])
				n := headerInt(head, "Content-Length")
				if len(f.buffer) >= i+4+n {
					f.buffer = f.buffer[i+4+n:]
					if header(head, "Request-Id") != id {
						f.c.w.violation("MIXED: client %s got the answer of %s to %s", f.src, header(head, "Request-Id"), id)
					}
					return head, nil
				}
			}
			if f.closedByPeer {
				return "", errClosed
			}
		case <-again.C:
			if !acked {
				f.send(raw)
			}
			pause = min(2*pause, 1600*time.Millisecond)
			again.Reset(pause)
		case <-time.After(time.Until(end)):
			return "", errDeadline
		}
	}
}

// wait takes in packets for a while, as between two requests.
func (f *clientFlow) wait(d time.Duration) error {
	timeout := time.After(d)
	for {
		select {
		case p := <-f.in:
			if err := f.handle(&p); err != nil {
				return err
			}
			if f.closedByPeer {
				return errClosed
			}
		case <-timeout:
			return nil
		}
	}
}
