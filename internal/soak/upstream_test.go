package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"crocusnotch/internal/flow"
	"crocusnotch/platform"
	"crocusnotch/platform/platformtest"
)

// Packet flags and offsets, as in the platform's documentation.
const (
	flagOpen     = 1
	flagReturned = 4
	flagAck      = 16
	headerSize   = 36
	offAck       = 4
	offFlags     = 30
)

// drainSlack is how long packets that an agent forwarded before it acknowledged the
// drain may wait in the upstream's socket buffer.
const drainSlack = 200 * time.Millisecond

// agent is a crocus-agent process and its upstream, which the test implements.
type agent struct {
	*process
	f        *fleet
	index    int
	service  string
	zone     string
	conn     *net.UDPConn
	outbound *net.UDPAddr

	mu           sync.Mutex
	incarnation  int64
	sequence     int64
	flows        map[flow.Key]*upstreamFlow
	listener     net.Listener // of the check whether an upstream runs, while it does
	busy         int          // requests being served
	queue        []queued     // requests that wait for a slot
	draining     bool
	drainAckedAt time.Time // when the agent acknowledged the draining state
	silent       bool      // sends no announcements and drops all packets
}

func newAgent(f *fleet, i int) *agent {
	a := &agent{f: f, index: i, service: services[i%len(services)], zone: zones[i%len(zones)]}
	specific := map[string]any{
		"service": a.service, "upstream": f.addr(kindAgent, i, portUpstream).String(),
		"outbound": f.addr(kindAgent, i, portOutbound).String(), "announce": f.addr(kindAgent, i, portAnnounce).String(),
		"announceMillis": announcePeriod.Milliseconds(), "checkUpstream": f.options.checkUpstream,
	}
	if f.options.agentScarce {
		specific["scarceSlots"] = scarceSlots
	}
	a.process = f.newProcess("crocus-agent", kindAgent, i, specific)
	var err error
	a.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr(kindAgent, i, portUpstream)))
	f.must(err)
	a.outbound = net.UDPAddrFromAddrPort(f.addr(kindAgent, i, portOutbound))
	a.restartUpstream()
	stop := make(chan struct{})
	f.t.Cleanup(func() {
		close(stop)
		_ = a.conn.Close()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.stopUpstream()
	})
	go a.receive()
	go a.runAnnouncements(stop)
	return a
}

// restartUpstream starts a new incarnation of the upstream without flows.
func (a *agent) restartUpstream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation = max(time.Now().UnixMilli(), a.incarnation+1)
	a.sequence, a.flows, a.draining, a.drainAckedAt, a.silent = 0, map[flow.Key]*upstreamFlow{}, false, time.Time{}, false
	a.busy, a.queue = 0, nil
	if a.listener != nil {
		return
	}
	// A program that starts at this moment holds the closed listener until its exec.
	for deadline := time.Now().Add(time.Second); ; time.Sleep(pollInterval) {
		l, err := net.Listen("tcp", a.conn.LocalAddr().String())
		if err == nil {
			a.listener = l
			go acceptAndClose(l)
			return
		}
		if time.Now().After(deadline) {
			a.f.t.Error(err)
			return
		}
	}
}

// stopUpstream makes the upstream silent. The caller holds the lock.
func (a *agent) stopUpstream() {
	a.silent = true
	if a.listener != nil {
		_ = a.listener.Close()
		a.listener = nil
	}
}

func acceptAndClose(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// slots returns the number of slots that the upstream announces.
func (a *agent) slots() int {
	if a.service == scarceService {
		return scarceSlots
	}
	return 5
}

func (a *agent) id() string { return fmt.Sprintf("i-%d-%d", a.index, a.incarnation) }

// runAnnouncements announces the upstream to its agent until stop is closed.
func (a *agent) runAnnouncements(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(announcePeriod)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			a.sendAnnouncement(client)
		}
	}
}

func (a *agent) sendAnnouncement(client *http.Client) {
	a.mu.Lock()
	a.sequence++
	state, incarnation := "ready", a.incarnation
	if a.draining {
		state = "draining"
	}
	body := platformtest.Announcement(a.service, a.conn.LocalAddr().String(), a.zone, state, a.slots(), a.sequence, incarnation)
	url := "http://" + a.f.addr(kindAgent, a.index, portAnnounce).String() + "/instances/" + a.id()
	silent, draining := a.silent, a.draining
	a.mu.Unlock()
	if silent {
		return
	}
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		a.f.t.Error(err)
		return
	}
	res, err := client.Do(r)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	if draining && res.StatusCode == http.StatusOK && a.incarnation == incarnation && a.drainAckedAt.IsZero() {
		a.drainAckedAt = time.Now()
	}
}

// replaceUpstream deregisters the upstream and starts the next incarnation.
func (a *agent) replaceUpstream() {
	a.mu.Lock()
	url := "http://" + a.f.addr(kindAgent, a.index, portAnnounce).String() + "/instances/" + a.id()
	a.stopUpstream()
	a.flows = map[flow.Key]*upstreamFlow{}
	a.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	if r, err := http.NewRequest(http.MethodDelete, url, nil); err == nil {
		if res, err := client.Do(r); err == nil {
			_ = res.Body.Close()
		}
	}
	a.restartUpstream()
}

func (a *agent) receive() {
	b := make([]byte, 2048)
	for {
		n, err := a.conn.Read(b)
		if err != nil {
			return
		}
		a.handle(bytes.Clone(b[:n]))
	}
}

// handle processes a packet as the platform's documentation specifies and checks
// the guarantees that hold at all times.
func (a *agent) handle(packet []byte) {
	s, err := platform.Codec{}.Decode(packet)
	if err != nil || (platform.Codec{}).Metadata(packet) != (flow.Metadata{}) || s.Returned || !bytes.Equal(packet[headerSize:], payload(&s)) {
		a.f.t.Errorf("an upstream received a packet that differs from what the sender wrote: %v %+v", err, s)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		return
	}
	k := s.KeyFromCaller()
	if !s.Opening {
		held := a.flows[k]
		if held == nil || !held.used && s.Ack != held.accepted+1 {
			if held != nil && a.f.options.hedge && held.starts == a.startCount() {
				a.f.t.Errorf("flow %s: an agent forwarded a packet that acknowledges another upstream's acceptance", k)
			}
			packet[offFlags] |= flagReturned
			a.send(packet)
			return
		}
		a.serve(k, held, s.Seq)
		return
	}
	if !a.f.routedTo(k, a.service) {
		a.f.t.Errorf("service %s received an opening packet for %s", a.service, k.Route())
	}
	if a.flows[k] == nil && !a.drainAckedAt.IsZero() && time.Since(a.drainAckedAt) > drainSlack {
		a.f.t.Errorf("a draining upstream received a new flow %s after the agent acknowledged the drain", time.Since(a.drainAckedAt))
	}
	if a.flows[k] == nil {
		a.flows[k] = &upstreamFlow{accepted: rand.Uint32N(1 << 31), starts: a.startCount()}
	}
	a.send(makePacket(k.Route(), k.Caller(), flagOpen|flagAck, a.flows[k].accepted, 0))
}

func (a *agent) send(b []byte) { _, _ = a.conn.WriteToUDP(b, a.outbound) }

// hasFlow reports whether the upstream is running, has the flow, and sent the acceptance
// that ack acknowledges.
func (a *agent) hasFlow(k flow.Key, ack uint32) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.flows[k]
	return !a.silent && held != nil && ack == held.accepted+1
}

// routedTo reports whether any configuration routes the flow's address to the service.
func (f *fleet) routedTo(k flow.Key, service string) bool {
	to := k.Route().AddrPort()
	if to.Addr().As4()[2] == 1 { // an address of extraRoute
		return services[int(to.Addr().As4()[3]-1)%len(services)] == service
	}
	for _, r := range scarceRoutes {
		if r.Address == to {
			return r.Service == service
		}
	}
	return routes[service] == to
}
