package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	retransmitMin   = 200 * time.Millisecond
	retransmitMax   = 1600 * time.Millisecond
	maxRetransmits  = 8
	beatTimeout     = time.Second
	maxBeatResponse = 4 << 10
)

// serverFlow is a flow at a server.
type serverFlow struct {
	iss, next uint32 // own first sequence number, and the next one to send
	received  uint32 // next sequence number expected from the client
	acked     uint32 // highest acknowledgement of the client
	opened    bool
	finSent   bool
	finSeen   bool
	unacked   int // data packets since the last acknowledgement sent
}

func (f *serverFlow) ended() bool { return f.finSent && f.finSeen }

// server is a stand-in of an endpoint on a side machine.
type server struct {
	w       *world
	service string
	zone    string
	slots   int
	app     netip.AddrPort
	out     *net.UDPAddr // where it sends its packets
	control string       // host and port of its heartbeats
	conn    *net.UDPConn
	health  net.Listener
	busy    chan struct{}

	mu         sync.Mutex
	id         string
	born       int64
	sequence   int64
	draining   bool
	drainAcked time.Time // when the node acknowledged that it drains
	gone       bool
	flows      map[flowKey]*serverFlow
	openings   int
	ran        map[string]int
	lastBeat   time.Time // acknowledged
}

func newServer(w *world, service, zone string, slots int, app, out, control netip.AddrPort) (*server, error) {
	s := &server{
		w: w, service: service, zone: zone, slots: slots, app: app, out: net.UDPAddrFromAddrPort(out), control: control.String(),
		busy: make(chan struct{}, slots), flows: map[flowKey]*serverFlow{}, ran: map[string]int{},
	}
	s.id = fmt.Sprintf("i-%08x", rand.Uint32())
	s.born = time.Now().UnixMilli()
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); err != nil {
		return nil, err
	}
	if s.health, err = net.Listen("tcp4", app.String()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = http.Serve(s.health, mux) }()
	go s.receive()
	go s.beats()
	return s, nil
}

// beats sends a heartbeat at the start and then about every interval.
func (s *server) beats() {
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		s.mu.Lock()
		gone := s.gone
		s.mu.Unlock()
		if gone {
			return
		}
		s.beat(client)
		time.Sleep(beatInterval - beatInterval/20 + time.Duration(rand.Int64N(int64(beatInterval/10))))
	}
}

func (s *server) beat(client *http.Client) {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	draining := s.draining
	body, _ := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.app.String(), "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": state, "WarmupLeftMs": 0, "Seq": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	r, _ := http.NewRequest(http.MethodPut, "http://"+s.control+"/instances/"+s.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 || res.ContentLength > maxBeatResponse {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBeat = time.Now()
	if draining && s.drainAcked.IsZero() {
		s.drainAcked = time.Now()
		s.w.record("%s server %s at %s: its node acknowledged that it is draining", s.service, s.id, s.app)
	}
}

// drain makes the server leave: it says so at once and keeps serving.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.w.record("%s server %s at %s: draining", s.service, s.id, s.app)
	s.beat(&http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}})
}

// leave deregisters the server and ends it.
func (s *server) leave() {
	body, _ := json.Marshal(map[string]any{"born": s.born})
	r, _ := http.NewRequest(http.MethodDelete, "http://"+s.control+"/instances/"+s.id, bytes.NewReader(body))
	client := &http.Client{Timeout: beatTimeout}
	if res, err := client.Do(r); err == nil {
		_ = res.Body.Close()
	}
	s.mu.Lock()
	s.gone = true
	s.flows = map[flowKey]*serverFlow{}
	s.mu.Unlock()
	_ = s.conn.Close()
	_ = s.health.Close()
	s.w.record("%s server %s at %s: left", s.service, s.id, s.app)
}

func (s *server) send(p *packet) { _, _ = s.conn.WriteToUDP(p.encode(), s.out) }

func (s *server) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, own, err := decode(b[:n])
		if err != nil || own {
			s.w.broken("UNASKED: server %s got a packet that no client wrote so: %v", s.id, err)
			continue
		}
		s.handle(&p, b[:n])
	}
}

// bounce returns a packet that the server cannot accept, with echo unchanged and pad 0.
func (s *server) bounce(raw []byte) {
	b := append([]byte(nil), raw...)
	b[30] |= flagBounced
	clear(b[31:headerSize])
	_, _ = s.conn.WriteToUDP(b, s.out)
}

func (s *server) handle(p *packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := flowKey{p.src, p.dst}
	f := s.flows[k]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		s.opening(k, f, p)
		return
	}
	if f == nil || !f.opened && p.ack != f.iss+1 {
		s.w.elsewhere(k, s)
		s.bounce(raw)
		return
	}
	if !f.opened {
		f.opened = true
		s.w.opened(k, s)
	}
	if p.has(flagRST) {
		delete(s.flows, k)
		return
	}
	if f.ended() {
		switch {
		case p.has(flagFIN):
			s.ackLocked(k, f)
		case len(p.data) > 0:
			s.w.serverReset(k)
			s.send(&packet{src: k.route, dst: k.client, seq: f.next, flags: flagRST})
		}
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		f.unacked++
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			go s.run(k, f, p.data)
		}
		if f.unacked >= 2 { // every second packet is acknowledged
			s.ackLocked(k, f)
		}
	}
	if p.has(flagFIN) && p.seq+uint32(len(p.data)) == f.received {
		f.finSeen = true
		f.received++
		s.ackLocked(k, f)
		if !f.finSent {
			s.finLocked(k, f)
		}
	}
}

func (s *server) opening(k flowKey, f *serverFlow, p *packet) {
	s.openings++
	s.w.openingArrived(k, s, p.ack)
	if f != nil && f.ended() {
		f = nil // the client uses the port again
	}
	if f != nil && f.received != p.seq+1 {
		s.ackLocked(k, f)
		return
	}
	if f == nil {
		iss := rand.Uint32()
		f = &serverFlow{iss: iss, next: iss + 1, received: p.seq + 1, acked: iss}
		s.flows[k] = f
	}
	s.send(&packet{src: k.route, dst: k.client, seq: f.iss, ack: f.received, flags: flagSYN | flagACK})
}

func (s *server) ackLocked(k flowKey, f *serverFlow) {
	f.unacked = 0
	s.send(&packet{src: k.route, dst: k.client, seq: f.next, ack: f.received, flags: flagACK})
}

// finLocked closes the server's side of the flow.
func (s *server) finLocked(k flowKey, f *serverFlow) {
	f.finSent = true
	seq := f.next
	f.next++
	s.transmitLocked(k, f, &packet{src: k.route, dst: k.client, seq: seq, flags: flagFIN | flagACK}, f.next)
}

// transmitLocked sends a packet until the client has acknowledged it.
func (s *server) transmitLocked(k flowKey, f *serverFlow, p *packet, until uint32) {
	p.ack = f.received
	f.unacked = 0
	s.send(p)
	go func() {
		wait := retransmitMin
		for range maxRetransmits {
			time.Sleep(wait)
			wait = min(2*wait, retransmitMax)
			s.mu.Lock()
			if s.gone || s.flows[k] != f || int32(f.acked-until) >= 0 {
				s.mu.Unlock()
				return
			}
			p.ack = f.received
			s.send(p)
			s.mu.Unlock()
		}
	}()
}

// run works on a request in one of the slots and answers it.
func (s *server) run(k flowKey, f *serverFlow, data []byte) {
	r, err := http.ReadRequest(newReader(data))
	if err != nil {
		s.w.broken("UNASKED: server %s got a request that no client wrote so: %v", s.id, err)
		return
	}
	id := r.Header.Get("Request-Id")
	work, _ := strconv.Atoi(r.Header.Get("Work-Ms"))
	s.busy <- struct{}{}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.w.ranRequest(id, s)
	time.Sleep(time.Duration(work) * time.Millisecond)
	<-s.busy
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone || s.flows[k] != f {
		return
	}
	closing := s.draining || r.Close
	header := ""
	if closing {
		header = "Connection: close\r\n"
	}
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, signature(id), header, len(body), body)
	seq := f.next
	f.next += uint32(len(answer))
	s.transmitLocked(k, f, &packet{src: k.route, dst: k.client, seq: seq, flags: flagACK, data: []byte(answer)}, f.next)
	if closing && !f.finSent {
		s.finLocked(k, f)
	}
}

// holds reports whether the server lives and has the flow open.
func (s *server) holds(k flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return !s.gone && f != nil && f.opened && !f.ended()
}
