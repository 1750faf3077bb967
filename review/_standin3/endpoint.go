package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"sync"
	"time"
)

// warmupTime is how long an endpoint stays cold, unless the case says otherwise.
const warmupTime = 2 * time.Second

type endpointOptions struct {
	slots int
	work  time.Duration
}

// endpoint is a stand-in of an application endpoint beside an agent. It follows the
// platform's pages "Flows", "Endpoints" and "Service discovery".
type endpoint struct {
	side
	endpointOptions
	l     *lab
	index int
	id    string
	conn  *net.UDPConn
	out   *net.UDPAddr
	slot  chan struct{}

	mu        sync.Mutex
	born      int64
	sequence  int64
	draining  bool
	coldUntil time.Time
	flows     map[key]*endpointFlow
	openings  []opening // that it took
	colds     []coldSpan
}

// opening is an opening packet that an endpoint took.
type opening struct {
	flow    flowID
	sent    time.Time // of the first copy
	arrived time.Time
}

type coldSpan struct{ from, until time.Time }

// flowID identifies a flow by its key and the client's first sequence number, since a port
// may be used again.
type flowID struct {
	key key
	isn uint32
}

type endpointFlow struct {
	id               flowID
	iss              uint32
	open, ended      bool
	rcvNext, sndNext uint32
	response         *packet // the last one
}

func newEndpoint(l *lab, i int, s side, o endpointOptions) (*endpoint, error) {
	e := &endpoint{side: s, endpointOptions: o, l: l, index: i, id: fmt.Sprintf("i-%d", i+1), flows: map[key]*endpointFlow{}, slot: make(chan struct{}, o.slots)}
	var err error
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.addr(kindSide, i, "app"))); err != nil {
		return nil, err
	}
	e.out = net.UDPAddrFromAddrPort(l.addr(kindSide, i, "outbound"))
	health, err := net.Listen("tcp4", l.addr(kindSide, i, "app").String())
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	return e, nil
}

// begin starts the endpoint: it serves, and announces itself about every heartbeat interval,
// for the first time after the delay. One that starts during traffic is cold.
func (e *endpoint) begin(delay, cold time.Duration) {
	e.born = time.Now().UnixMilli()
	e.l.log("endpoint %s starts", e.id)
	if cold > 0 {
		e.turnCold(cold)
	}
	go e.receive()
	go func() {
		time.Sleep(delay)
		for {
			next := time.Now().Add(heartbeatInterval - 20*time.Millisecond + time.Duration(rand.Int64N(int64(40*time.Millisecond))))
			e.heartbeat()
			time.Sleep(time.Until(next))
		}
	}()
}

var heartbeatClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (e *endpoint) heartbeat() {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	left := max(0, time.Until(e.coldUntil).Milliseconds())
	body, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.l.addr(kindSide, e.index, "app").String(), "Zone": e.zone, "Version": "v1",
		"Slots": e.slots, "State": state, "WarmupLeftMs": left, "Seq": e.sequence, "born": e.born,
	})
	sequence := e.sequence
	e.mu.Unlock()
	target := "http://" + e.l.addr(kindSide, e.index, "control").String() + "/instances/" + e.id
	r, _ := http.NewRequest(http.MethodPut, target, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	res, err := heartbeatClient.Do(r)
	outcome := "no answer"
	if err == nil {
		outcome = res.Status
		_ = res.Body.Close()
	}
	e.l.log("heartbeat %s seq %d %s warmup left %d ms: %s", e.id, sequence, state, left, outcome)
}

// turnCold makes the endpoint cold, as when its caches are empty. Its next heartbeat says so.
func (e *endpoint) turnCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.coldUntil = now.Add(d)
	e.colds = append(e.colds, coldSpan{now, e.coldUntil})
	e.l.logAt(now, "endpoint %s is cold for %s", e.id, d)
}

func (e *endpoint) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, intact := decode(b[:n])
		if !intact {
			e.l.breaks("UNASKED: %s got a packet that its sender didn't write so: % x", e.id, b[:min(n, headerSize)])
			continue
		}
		e.handle(&p, b[:n])
	}
}

func (e *endpoint) send(p *packet) { _, _ = e.conn.WriteToUDP(p.encode(), e.out) }

func (e *endpoint) bounce(raw []byte) {
	b := bytes.Clone(raw)
	b[30] |= flagBounced
	clear(b[31:headerSize])
	_, _ = e.conn.WriteToUDP(b, e.out)
}

func (e *endpoint) handle(p *packet, raw []byte) {
	now := time.Now()
	k := key{p.src, p.dst}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	if p.flags&flagSyn != 0 {
		if f == nil || f.id.isn != p.seq {
			f = &endpointFlow{id: flowID{k, p.seq}, iss: rand.Uint32(), rcvNext: p.seq + 1}
			f.sndNext = f.iss + 1
			e.flows[k] = f
			e.openings = append(e.openings, opening{f.id, e.l.sentAt(f.id), now})
		}
		e.send(&packet{src: p.dst, dst: p.src, flags: flagSyn | flagAck, seq: f.iss, ack: f.rcvNext})
		return
	}
	if f == nil || !f.open && p.ack != f.iss+1 {
		e.bounce(raw)
		return
	}
	if !f.open {
		f.open = true
		e.l.setOwner(f.id, e)
	}
	switch {
	case p.flags&flagRst != 0:
		f.ended = true
	case f.ended && len(p.data) > 0:
		e.send(&packet{src: p.dst, dst: p.src, flags: flagRst | flagAck, seq: f.sndNext, ack: f.rcvNext})
		e.l.ownReset(f.id)
	case len(p.data) > 0 && p.seq == f.rcvNext:
		f.rcvNext += uint32(len(p.data))
		go e.serve(f, p)
	case len(p.data) > 0 && f.response != nil && int32(p.seq-f.rcvNext) < 0:
		e.send(f.response)
	case p.flags&flagFin != 0 && !f.ended:
		f.ended = true
		f.rcvNext = p.seq + 1
		e.send(&packet{src: p.dst, dst: p.src, flags: flagFin | flagAck, seq: f.sndNext, ack: f.rcvNext})
	case p.flags&flagFin != 0:
		e.send(&packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.sndNext, ack: f.rcvNext})
	}
}

var requestID = regexp.MustCompile(`Request-Id: (\S+)`)

// serve works on a request in a slot and answers it.
func (e *endpoint) serve(f *endpointFlow, p *packet) {
	e.slot <- struct{}{}
	id := ""
	if m := requestID.FindSubmatch(p.data); m != nil {
		id = string(m[1])
	}
	e.l.log("run %s at %s on %s", id, e.id, f.id.key.client)
	time.Sleep(e.work)
	<-e.slot
	body := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: " + id + "\r\n\r\n")
	e.mu.Lock()
	defer e.mu.Unlock()
	res := &packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.sndNext, ack: f.rcvNext, data: body}
	f.sndNext += uint32(len(body))
	if e.draining || bytes.Contains(p.data, []byte("Connection: close")) {
		res.flags |= flagFin // the endpoint closes first
		f.sndNext++
	}
	f.response = res
	e.send(res)
}

// sentAt, setOwner and ownReset keep what the judge needs of each flow.
func (l *lab) sentAt(id flowID) time.Time {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	return judge.sent[id]
}

func (l *lab) setOwner(id flowID, e *endpoint) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	judge.owner[id] = e
}

func (l *lab) ownReset(id flowID) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	judge.resetByEndpoint[id] = true
}

// judge holds what clients and endpoints saw of each flow.
var judge = struct {
	mu              sync.Mutex
	sent            map[flowID]time.Time // when the client sent the first copy of the opening packet
	owner           map[flowID]*endpoint // at which the flow is open
	resetByEndpoint map[flowID]bool
}{sent: map[flowID]time.Time{}, owner: map[flowID]*endpoint{}, resetByEndpoint: map[flowID]bool{}}
