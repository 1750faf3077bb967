package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a client, from the platform's page "Flows".
const (
	synCopy1       = 200 * time.Millisecond
	synCopy2       = 600 * time.Millisecond
	openTimeout    = 1400 * time.Millisecond
	firstRetry     = 200 * time.Millisecond
	requestTimeout = 1200 * time.Millisecond
	closeTimeout   = 300 * time.Millisecond
)

// outcome is how an attempt of a client ended.
type outcome string

const (
	served    outcome = "200"
	wasReset  outcome = "reset"
	noAnswer  outcome = "no answer"
	notOpened outcome = "not opened"
)

// client is a stand-in of a client machine in a zone.
type client struct {
	l    *lab
	zone string
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	flows map[end]*clientFlow // by the client's end; a flow's route is fixed
	next  uint16

	outcomes sync.Map // outcome -> *atomic.Int64
}

type clientFlow struct {
	c                *client
	id               flowID
	sndNext, rcvNext uint32
	open             bool
	in               chan packet
}

var requests atomic.Int64

func (l *lab) newClient(i int, zone string) (*client, error) {
	a := l.addr(kindClient, i, "datagram")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c := &client{l: l, zone: zone, conn: conn, ip: a.Addr(), flows: map[end]*clientFlow{}, next: 1024}
	l.clients = append(l.clients, c)
	go c.receive()
	return c, nil
}

// newPort returns the next port that no flow of the client uses.
func (c *client) newPort() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, intact := decode(b[:n])
		reset := n == headerSize && p.flags&flagRst != 0 && p.sum == 0
		if !intact && !reset {
			c.l.breaks("MIXED: a client got a packet that its sender didn't write so: % x", b[:min(n, headerSize)])
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if f == nil || f.id.key.route != p.src {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.id.key.client, f.id.key.route
	to := f.c.l.router.next(f.c.zone, f.id.key)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), to)
}

// connect opens a flow from a port.
func (c *client) connect(port uint16, route netip.AddrPort) (*clientFlow, outcome) {
	f := &clientFlow{c: c, in: make(chan packet, 64)}
	f.id = flowID{key{endOf(netip.AddrPortFrom(c.ip, port)), endOf(route)}, rand.Uint32()}
	f.sndNext = f.id.isn + 1
	c.mu.Lock()
	c.flows[f.id.key.client] = f
	c.mu.Unlock()
	start := time.Now()
	judge.mu.Lock()
	judge.sent[f.id] = start
	judge.mu.Unlock()
	copies := []time.Duration{0, synCopy1, synCopy2, openTimeout}
	for i, at := range copies {
		if i == len(copies)-1 {
			break
		}
		f.send(packet{flags: flagSyn, seq: f.id.isn, ack: uint32(i)})
		timeout := time.After(time.Until(start.Add(copies[i+1])))
		_ = at
	wait:
		for {
			select {
			case p := <-f.in:
				switch {
				case p.flags&(flagSyn|flagAck) == flagSyn|flagAck && p.ack == f.sndNext:
					f.rcvNext, f.open = p.seq+1, true
					return f, served
				case p.flags&flagRst != 0:
					return f, wasReset
				}
			case <-timeout:
				break wait
			}
		}
	}
	return f, notOpened
}

// request sends one request on the open flow and waits for the answer.
func (f *clientFlow) request(last bool) outcome {
	id := fmt.Sprintf("q%d", requests.Add(1))
	text := "POST /x HTTP/1.1\r\nRequest-Id: " + id + "\r\n"
	if last {
		text += "Connection: close\r\n"
	}
	data := []byte(text + "\r\n")
	seq := f.sndNext
	f.sndNext += uint32(len(data))
	deadline := time.After(requestTimeout)
	retry := firstRetry
	f.send(packet{flags: flagAck, seq: seq, ack: f.rcvNext, data: data})
	for {
		select {
		case p := <-f.in:
			switch {
			case p.flags&flagRst != 0:
				f.sawReset(&p, id)
				return wasReset
			case len(p.data) > 0 && p.seq == f.rcvNext:
				f.rcvNext += uint32(len(p.data))
				if p.flags&flagFin != 0 {
					f.rcvNext++
					f.send(packet{flags: flagFin | flagAck, seq: f.sndNext, ack: f.rcvNext})
					f.open = false
					return served
				}
				f.send(packet{flags: flagAck, seq: f.sndNext, ack: f.rcvNext})
				return served
			}
		case <-time.After(retry):
			retry = min(2*retry, 1600*time.Millisecond)
			f.send(packet{flags: flagAck, seq: seq, ack: f.rcvNext, data: data})
		case <-deadline:
			return noAnswer
		}
	}
}

// sawReset judges a reset of an open flow by rule FLOW (a).
func (f *clientFlow) sawReset(p *packet, id string) {
	judge.mu.Lock()
	owner, own := judge.owner[f.id], judge.resetByEndpoint[f.id]
	judge.mu.Unlock()
	f.c.l.log("client %s got a reset on its flow to %s while it waited for %s (sum %d)", f.id.key.client, f.id.key.route, id, p.sum)
	if owner != nil && !own && p.sum == 0 {
		f.c.l.breaks("FLOW: the open flow of client %s was reset by the system, though its endpoint %s lives, holds it and sent no reset", f.id.key.client, owner.id)
	}
}

// close ends the flow at the client's side.
func (f *clientFlow) close() {
	f.send(packet{flags: flagFin | flagAck, seq: f.sndNext, ack: f.rcvNext})
	f.open = false
}

func (c *client) count(o outcome) {
	n, _ := c.outcomes.LoadOrStore(o, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
}

// runLong keeps a flow open for many requests until the end, with pauses between them, and
// opens a new one from a new port when an attempt has failed.
func (c *client) runLong(route netip.AddrPort, pause time.Duration, until time.Time) {
	for time.Now().Before(until) {
		f, o := c.connect(c.newPort(), route)
		if o != served {
			c.count(o)
			time.Sleep(pause)
			continue
		}
		for time.Now().Before(until) {
			o := f.request(false)
			c.count(o)
			c.l.log("client %s: %s", f.id.key.client, o)
			if o != served || !f.open {
				break
			}
			time.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
		}
		if f.open {
			f.close()
		}
	}
}

// runFresh opens a flow for each request, from the port that ports returns.
func (c *client) runFresh(route netip.AddrPort, perSecond float64, until time.Time, ports func() uint16, done func(uint16)) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		go func() {
			port := ports()
			if port == 0 {
				return
			}
			defer done(port)
			f, o := c.connect(port, route)
			if o == served {
				o = f.request(true)
			}
			c.count(o)
			c.l.log("client %s: %s", f.id.key.client, o)
		}()
	}
}
