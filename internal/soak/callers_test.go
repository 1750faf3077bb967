package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"crocusnotch/internal/flow"
	"crocusnotch/platform"
	"crocusnotch/platform/platformtest"
)

// callers holds the flows of all callers, which share one address.
type callers struct {
	f        *fleet
	conn     *net.UDPConn
	mu       sync.Mutex
	lastPort uint16 // port of the last new flow
	flows    map[flow.Key]*callerFlow

	sent, succeeded atomic.Int64 // exchanges
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	callers      *callers
	key          flow.Key
	responses    chan flow.Segment
	mu           sync.Mutex
	open         bool
	reset        bool
	closed       bool   // the caller has finished with the flow
	ack          uint32 // acknowledges the acceptance that opened the flow
	seq          uint32
	lastExchange time.Time // start of the last exchange
}

func newCallers(f *fleet) *callers {
	c := &callers{f: f, lastPort: 2000, flows: map[flow.Key]*callerFlow{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr(kindCaller, 0, portCallers)))
	f.must(err)
	go c.receive()
	return c
}

func (c *callers) close() { _ = c.conn.Close() }

// payload returns the data that a sender writes into a packet.
func payload(s *flow.Segment) []byte {
	b := make([]byte, s.Data)
	for i := range b {
		b[i] = byte(s.Seq) ^ byte(i) ^ s.Src[5]
	}
	return b
}

func makePacket(src, dst flow.Endpoint, flags byte, seq uint32, data int) []byte {
	return platformtest.Packet(src, dst, flags, seq, 0, payload(&flow.Segment{Src: src, Seq: seq, Data: data}))
}

func (c *callers) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		s, err := platform.Codec{}.Decode(b[:n])
		if err != nil {
			c.f.t.Errorf("a caller received a packet that cannot be decoded: %v", err)
			continue
		}
		c.mu.Lock()
		f := c.flows[s.KeyToCaller()]
		c.mu.Unlock()
		if f == nil {
			c.f.t.Errorf("a caller received a packet of an unknown flow: %+v", s)
			continue
		}
		f.handle(s)
	}
}

// handle processes a packet of the flow. A reset of a flow whose upstream is running
// violates a guarantee unless a fault was active within faultGrace.
func (c *callerFlow) handle(s flow.Segment) {
	c.mu.Lock()
	if s.Accepted && !c.open && !c.reset && !c.closed {
		c.open, c.ack = true, s.Seq+1
	}
	if s.Reset {
		wasOpen := c.open
		c.reset, c.open = true, false
		ack := c.ack
		c.mu.Unlock()
		c.respond(s)
		if wasOpen && c.callers.f.owned(c.key, ack) && !c.callers.f.faults.activeWithin(faultGrace) {
			c.callers.f.t.Errorf("flow %s was reset while its upstream was running", c.key)
		}
		return
	}
	c.mu.Unlock()
	c.respond(s)
}

func (c *callerFlow) respond(s flow.Segment) {
	select {
	case c.responses <- s:
	default:
	}
}

// close ends the caller's use of the flow, which then times out at its upstream.
func (c *callerFlow) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.closed = false, true
}

// owned reports whether a running upstream has the flow and sent the acceptance that
// ack acknowledges. With hedges another one may have accepted the opening too.
func (f *fleet) owned(k flow.Key, ack uint32) bool {
	for _, a := range f.agents {
		if a.hasFlow(k, ack) {
			return true
		}
	}
	return false
}

// newFlow returns a flow that is not open yet.
func (c *callers) newFlow(route netip.AddrPort) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPort++
	from := flow.EndpointOf(netip.AddrPortFrom(c.f.ip(kindCaller, 0), c.lastPort))
	f := &callerFlow{callers: c, key: flow.KeyOf(from, flow.EndpointOf(route)), responses: make(chan flow.Segment, 8)}
	c.flows[f.key] = f
	return f
}

// retransmitDelays are the times to wait after each transmission of a packet.
var retransmitDelays = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// exchange transmits a packet and counts the exchange.
func (c *callerFlow) exchange(flags byte, data int, pickEntry func() int) (s flow.Segment, ok bool) {
	c.callers.sent.Add(1)
	s, ok = c.transmit(flags, data, pickEntry)
	if ok {
		c.callers.succeeded.Add(1)
	}
	return s, ok
}

// transmit sends a packet and its retransmissions through entries chosen by pickEntry
// and returns the response, if one arrives before a reset.
func (c *callerFlow) transmit(flags byte, data int, pickEntry func() int) (s flow.Segment, ok bool) {
	c.mu.Lock()
	c.seq++
	c.lastExchange = time.Now()
	seq, ack := c.seq, c.ack
	c.mu.Unlock()
	for len(c.responses) > 0 {
		<-c.responses
	}
	for n, wait := range retransmitDelays {
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, seq, data)
		binary.BigEndian.PutUint32(packet[offAck:], ack)
		if flags == flagOpen {
			packet[7] = byte(n) // number of the retransmission, in the acknowledgement number
		}
		to := c.callers.f.addr(kindEntry, pickEntry(), portCallers)
		_, _ = c.callers.conn.WriteToUDPAddrPort(packet, to)
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case s = <-c.responses:
				if s.Reset {
					return s, false
				}
				if flags == flagOpen && s.Accepted || flags != flagOpen && s.Seq == seq {
					return s, true
				}
			case <-timeout:
				waiting = false
			}
		}
		if c.wasReset() {
			return s, false
		}
	}
	return s, false
}

func (c *callerFlow) wasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// runFlows opens flows one after another and sends up to 40 requests on each, until
// stop is closed.
func (c *callers) runFlows(r *rand.Rand, stop chan struct{}) {
	pickEntry := func() int { return r.IntN(entryCount) }
	for {
		f := c.newFlow(routes[services[r.IntN(len(services))]])
		_, ok := f.exchange(flagOpen, 0, pickEntry)
		for n := 0; ok && n < 40 && !f.wasReset(); n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+r.IntN(200)) * time.Millisecond):
			}
			f.exchange(flagAck, 50+r.IntN(500), pickEntry)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
