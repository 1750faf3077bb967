//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"crocusnotch/platform/platformtest"
)

const (
	slots      = 9
	queueLimit = 36
	maxPayload = 1200
)

// serverFlow is an endpoint's end of a flow.
type serverFlow struct {
	client, route netip.AddrPort
	seq           uint32 // own next sequence number
	isn           uint32
	next          uint32 // next byte expected of the client
	open          bool   // the end of the handshake has arrived
	openedAt      time.Time
	received      int // packets since the last acknowledgement
	buffer        []byte
	unacked       []sent
	finSent       bool
	finSeen       bool
	lastAt        time.Time
	// late is the rule that a request on the flow breaks, since its opening came too late.
	late string
}

// sent is a packet that the other end has not acknowledged.
type sent struct {
	end   uint32
	raw   []byte
	at    time.Time
	pause time.Duration
	tries int
}

// work is one request.
type work struct {
	f     *serverFlow
	id    string
	ms    float64
	n     int  // bytes of the body of the response
	close bool // the client asks the endpoint to close the flow after the response
}

// endpoint is a stand-in server beside an agent.
type endpoint struct {
	w       *world
	i       int
	service string
	speed   float64
	conn    *net.UDPConn
	health  net.Listener
	control *http.Client

	mu    sync.Mutex
	id    string
	born  int64
	seq   int64
	ended bool
	flows map[string]*serverFlow
	busy  int
	queue []work
	ran   map[string]int
	// judgeOpening returns the rule that a request on the flow of the opening packet breaks.
	judgeOpening func(p *packet) string
}

func newEndpoint(w *world, i int, service string, speed float64) *endpoint {
	e := &endpoint{
		w: w, i: i, service: service, speed: speed, flows: map[string]*serverFlow{}, ran: map[string]int{},
		control: &http.Client{Timeout: time.Second}, born: time.Now().UnixMilli(),
	}
	e.id = fmt.Sprintf("i-%d-%x", i+1, e.born)
	var err error
	a := w.addr(netAgent, i, portApp)
	e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	must(err)
	e.health, err = net.Listen("tcp4", a.String())
	must(err)
	go func() {
		_ = http.Serve(e.health, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }))
	}()
	go e.receive()
	go e.retransmit()
	go e.heartbeats()
	return e
}

func (e *endpoint) heartbeats() {
	for {
		ok := e.beat()
		if e.hasEnded() {
			return
		}
		pause := heartbeatInterval + time.Duration(rand.IntN(100)-50)*time.Millisecond
		if !ok {
			pause = 400 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (e *endpoint) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (e *endpoint) beat() bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.seq++
	body := e.heartbeat()
	e.mu.Unlock()
	return e.call(http.MethodPut, e.id, body)
}

// heartbeat returns the body of a heartbeat. The caller holds the lock.
func (e *endpoint) heartbeat() string {
	return platformtest.Announcement(e.service, e.w.addr(netAgent, e.i, portApp).String(), zones[e.i%len(zones)], "ready", slots, e.seq, e.born)
}

// call sends a heartbeat or a removal to the agent.
func (e *endpoint) call(method, id, body string) bool {
	r, err := http.NewRequest(method, "http://"+e.w.addr(netAgent, e.i, portAnnounce).String()+"/instances/"+id, strings.NewReader(body))
	must(err)
	r.Header.Set("Content-Type", "application/json")
	res, err := e.control.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// crash ends the endpoint without a word. It returns the id and the body of a heartbeat that
// the endpoint has sent and that has not arrived yet.
func (e *endpoint) crash() (id, heartbeat string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	heartbeat = e.heartbeat()
	e.ended = true
	_ = e.conn.Close()
	_ = e.health.Close()
	e.w.log("endpoint %s crashes; its heartbeat %d is still on its way", e.id, e.seq)
	return e.id, heartbeat
}

func (e *endpoint) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decodePacket(b[:n])
		if !ok || !p.sumOK || !p.clean || p.has(flagBounced) {
			e.w.violation("UNASKED: endpoint %s got a packet that its sender didn't write so: %x", e.id, b[:min(n, headerSize)])
			continue
		}
		e.handle(&p)
	}
}

func (e *endpoint) send(b []byte) {
	_, _ = e.conn.WriteToUDPAddrPort(b, e.w.addr(netAgent, e.i, portOutbound))
}

func flowName(client, route netip.AddrPort) string { return client.String() + ">" + route.String() }

func (e *endpoint) bounce(p *packet) {
	b := append([]byte(nil), p.raw...)
	b[offFlags] |= flagBounced
	e.send(b)
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name := flowName(p.src, p.dst)
	f := e.flows[name]
	if p.has(flagSYN) {
		if f == nil || f.finSent || f.finSeen {
			f = &serverFlow{client: p.src, route: p.dst, isn: rand.Uint32N(1 << 30), next: p.seq + 1}
			f.seq = f.isn + 1
			if e.judgeOpening != nil {
				f.late = e.judgeOpening(p)
			}
			e.flows[name] = f
		}
		f.lastAt = time.Now()
		e.send(encodePacket(p.dst, p.src, flagSYN|flagACK, f.isn, p.seq+1, nil))
		return
	}
	if f == nil || !f.open && p.ack != f.isn+1 {
		if f == nil || !p.has(flagRST) {
			e.bounce(p)
		}
		return
	}
	if !f.open {
		f.open, f.openedAt = true, time.Now()
		e.w.log("endpoint %s: flow %s is open", e.id, name)
	}
	f.lastAt = time.Now()
	if p.has(flagRST) {
		delete(e.flows, name)
		return
	}
	f.acknowledged(p.ack)
	if len(p.data) == 0 && !p.has(flagFIN) {
		return
	}
	f.received++
	if p.seq == f.next {
		f.next += uint32(len(p.data))
		f.buffer = append(f.buffer, p.data...)
		if p.has(flagFIN) {
			f.next++
			f.finSeen = true
			if !f.finSent {
				e.sendTracked(f, nil, true)
			} else {
				e.sendACK(f)
			}
			return
		}
		e.takeRequests(f)
	}
	if f.received >= 2 {
		e.sendACK(f)
	}
}

func (f *serverFlow) acknowledged(ack uint32) {
	for len(f.unacked) > 0 && int32(f.unacked[0].end-ack) <= 0 {
		f.unacked = f.unacked[1:]
	}
}

func (e *endpoint) sendACK(f *serverFlow) {
	f.received = 0
	e.send(encodePacket(f.route, f.client, flagACK, f.seq, f.next, nil))
}

// sendTracked sends data, or the end of the flow, until it is acknowledged.
func (e *endpoint) sendTracked(f *serverFlow, data []byte, fin bool) {
	flags, length := byte(flagACK), uint32(len(data))
	if fin {
		flags |= flagFIN
		length++
		f.finSent = true
	}
	raw := encodePacket(f.route, f.client, flags, f.seq, f.next, data)
	f.seq += length
	f.received = 0
	f.unacked = append(f.unacked, sent{end: f.seq, raw: raw, at: time.Now(), pause: 200 * time.Millisecond})
	e.send(raw)
}

// retransmit repeats packets that were not acknowledged, at most eight times.
func (e *endpoint) retransmit() {
	for {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if e.ended {
			e.mu.Unlock()
			return
		}
		for name, f := range e.flows {
			for i := range f.unacked {
				s := &f.unacked[i]
				if time.Since(s.at) < s.pause {
					continue
				}
				if s.tries++; s.tries > 8 {
					delete(e.flows, name)
					break
				}
				s.at, s.pause = time.Now(), min(2*s.pause, 1600*time.Millisecond)
				e.send(s.raw)
			}
			if time.Since(f.lastAt) > idleTimeout {
				delete(e.flows, name)
			}
		}
		e.mu.Unlock()
	}
}

// takeRequests takes whole requests from the buffer of the flow.
func (e *endpoint) takeRequests(f *serverFlow) {
	for {
		i := bytes.Index(f.buffer, []byte("\r\n\r\n"))
		if i < 0 {
			return
		}
		head := string(f.buffer[:i])
		length := headerInt(head, "Content-Length")
		if len(f.buffer) < i+4+length {
			return
		}
		f.buffer = f.buffer[i+4+length:]
		w := work{f: f, id: header(head, "Request-Id"), ms: float64(headerInt(head, "X-Work-Us")) / 1000 * e.speed, n: headerInt(head, "X-Bytes")}
		w.close = header(head, "Connection") == "close"
		switch {
		case e.busy < slots:
			e.run(w)
		case len(e.queue) < queueLimit:
			e.queue = append(e.queue, w)
		default:
			e.respond(w, "503 Service Unavailable\r\nNot-Executed: 1", 0)
		}
	}
}

func (e *endpoint) run(w work) {
	e.busy++
	e.ran[w.id]++
	e.w.log("endpoint %s runs %s for %.0f ms", e.id, w.id, w.ms)
	if w.f.late != "" {
		e.w.violation("%s: the endpoint runs %s", w.f.late, w.id)
	}
	if e.ran[w.id] > 1 {
		e.w.violation("UNASKED: endpoint %s runs %s again", e.id, w.id)
	}
	time.AfterFunc(time.Duration(w.ms*float64(time.Millisecond)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy--
		if e.ended {
			return
		}
		if e.flows[flowName(w.f.client, w.f.route)] == w.f {
			e.respond(w, "200 OK\r\nResponse-Signature: "+e.service+"/"+w.id, w.n)
		}
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.run(next)
		}
	})
}

// respond sends a response, and the end of the flow behind it if the client has asked for
// that.
func (e *endpoint) respond(w work, status string, n int) {
	b := []byte(fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", status, w.id, n))
	b = append(b, bytes.Repeat([]byte("x"), n)...)
	for len(b) > 0 {
		part := b[:min(len(b), maxPayload)]
		b = b[len(part):]
		e.sendTracked(w.f, part, false)
	}
	if w.close {
		e.sendTracked(w.f, nil, true)
	}
}

// holds reports whether the endpoint lives and holds the flow open, and for how long.
func (e *endpoint) holds(name string) (open bool, age, idle time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[name]
	if e.ended || f == nil || !f.open || f.finSent || f.finSeen {
		return false, 0, 0
	}
	return true, time.Since(f.openedAt), time.Since(f.lastAt)
}

func header(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && k == name {
			return v
		}
	}
	return ""
}

func headerInt(head, name string) int {
	n := 0
	_, _ = fmt.Sscan(header(head, name), &n)
	return n
}
