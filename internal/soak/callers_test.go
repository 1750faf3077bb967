package soak

import (
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

// callers holds the flows of all callers behind one address.
type callers struct {
	f    *fleet
	conn *net.UDPConn
	mu   sync.Mutex
	next uint16
	all  map[flow.Key]*caller

	sent, answered atomic.Int64 // exchanges
}

// caller is one flow.
type caller struct {
	all     *callers
	key     flow.Key
	answers chan flow.Segment
	mu      sync.Mutex
	open    bool
	reset   bool
	seq     uint32
	used    time.Time // last exchange
}

func newCallers(f *fleet) *callers {
	c := &callers{f: f, next: 2000, all: map[flow.Key]*caller{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr(kindCaller, 0, portCallers)))
	f.must(err)
	go c.receive()
	return c
}

func (c *callers) close() { _ = c.conn.Close() }

// payload is the data that a sender writes into a packet.
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
			c.f.t.Errorf("a caller got a packet that can't be read: %v", err)
			continue
		}
		c.mu.Lock()
		to := c.all[s.KeyToCaller()]
		c.mu.Unlock()
		if to == nil {
			c.f.t.Errorf("a caller got a packet of a flow that it does not have: %+v", s)
			continue
		}
		to.take(s)
	}
}

// take handles a packet for the flow. A reset of a flow whose upstream lives
// breaks the promise unless a process or the store was disturbed just before.
func (c *caller) take(s flow.Segment) {
	c.mu.Lock()
	if s.Accepted {
		c.open = true
	}
	if s.Reset {
		wasOpen := c.open
		c.reset, c.open = true, false
		c.mu.Unlock()
		if wasOpen && c.all.f.owned(c.key) && !c.all.f.faults.unplannedWithin(touch) {
			c.all.f.t.Errorf("flow %s was reset while its upstream lives", c.key)
		}
		return
	}
	c.mu.Unlock()
	select {
	case c.answers <- s:
	default:
	}
}

// owned reports whether a living upstream holds the flow.
func (f *fleet) owned(k flow.Key) bool {
	for _, a := range f.agents {
		if a.holds(k) {
			return true
		}
	}
	return false
}

// caller makes a flow that is not open yet.
func (c *callers) caller(route netip.AddrPort) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	from := flow.EndpointOf(netip.AddrPortFrom(c.f.ip(kindCaller, 0), c.next))
	to := &caller{all: c, key: flow.KeyOf(from, flow.EndpointOf(route)), answers: make(chan flow.Segment, 8)}
	c.all[to.key] = to
	return to
}

// copies are the times between the copies of a packet.
var copies = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// exchange sends a packet and its copies by entries that pick draws, and returns
// the answer, if one comes.
func (c *caller) exchange(flags byte, data int, pick func() int) (s flow.Segment, ok bool) {
	c.all.sent.Add(1)
	defer func() {
		if ok {
			c.all.answered.Add(1)
		}
	}()
	c.mu.Lock()
	c.seq++
	c.used = time.Now()
	seq := c.seq
	c.mu.Unlock()
	for len(c.answers) > 0 {
		<-c.answers
	}
	for n, wait := range copies {
		packet := makePacket(c.key.Caller(), c.key.Route(), flags, seq, data)
		if flags == flagOpen {
			packet[7] = byte(n) // counts the copies
		}
		to := c.all.f.addr(kindEntry, pick(), portCallers)
		_, _ = c.all.conn.WriteToUDPAddrPort(packet, to)
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case s = <-c.answers:
				if flags == flagOpen && s.Accepted || flags != flagOpen && s.Seq == seq {
					return s, true
				}
			case <-timeout:
				waiting = false
			}
		}
		if c.ended() {
			return s, false
		}
	}
	return s, false
}

func (c *caller) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// live opens a flow and sends requests on it until stop is closed; then it opens
// another, and so on.
func (c *callers) live(r *rand.Rand, stop chan struct{}) {
	pick := func() int { return r.IntN(entryCount) }
	for {
		k := c.caller(routes[services[r.IntN(len(services))]])
		_, ok := k.exchange(flagOpen, 0, pick)
		for n := 0; ok && n < 40 && !k.ended(); n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(20+r.IntN(200)) * time.Millisecond):
			}
			k.exchange(flagAck, 50+r.IntN(500), pick)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
