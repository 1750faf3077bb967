package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"crocusnotch/internal/flow"
	"crocusnotch/platform"
	"crocusnotch/platform/platformtest"
)

// Bits of a packet's flags, and offsets, as the platform's pages have them.
const (
	flagOpen    = 1
	flagBounced = 4
	flagAck     = 16
	headerSize  = 36
	offFlags    = 30
)

// leaveSlack is how long packets that an agent let through before it
// acknowledged may wait in the upstream's socket.
const leaveSlack = 200 * time.Millisecond

// agent is a crocus-agent with the upstream beside it.
type agent struct {
	*process
	f       *fleet
	i       int
	service string
	zone    string
	conn    *net.UDPConn
	to      *net.UDPAddr

	mu       sync.Mutex
	born     int64
	sequence int64
	flows    map[flow.Key]bool
	leaving  bool
	leftAt   time.Time // when the agent acknowledged it
	mute     bool      // it announces nothing and takes nothing
}

func newAgent(f *fleet, i int) *agent {
	a := &agent{f: f, i: i, service: services[i%len(services)], zone: zones[i%len(zones)]}
	a.process = f.process("crocus-agent", kindAgent, i, map[string]any{
		"service": a.service, "upstream": f.addr(kindAgent, i, portUpstream).String(),
		"outbound": f.addr(kindAgent, i, portOutbound).String(), "announce": f.addr(kindAgent, i, portAnnounce).String(),
		"announceMillis": announcePeriod.Milliseconds(),
	})
	var err error
	a.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.addr(kindAgent, i, portUpstream)))
	f.must(err)
	a.to = net.UDPAddrFromAddrPort(f.addr(kindAgent, i, portOutbound))
	a.restart()
	stop := make(chan struct{})
	f.t.Cleanup(func() {
		close(stop)
		_ = a.conn.Close()
	})
	go a.serve()
	go a.announce(stop)
	return a
}

// restart lets the upstream start anew without its flows.
func (a *agent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.born = max(time.Now().UnixMilli(), a.born+1)
	a.sequence, a.flows, a.leaving, a.leftAt, a.mute = 0, map[flow.Key]bool{}, false, time.Time{}, false
}

func (a *agent) id() string { return fmt.Sprintf("i-%d-%d", a.i, a.born) }

// announce tells the agent of the upstream until stop is closed.
func (a *agent) announce(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(announcePeriod)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			a.beat(client)
		}
	}
}

func (a *agent) beat(client *http.Client) {
	a.mu.Lock()
	a.sequence++
	state, born := "ready", a.born
	if a.leaving {
		state = "draining"
	}
	body := platformtest.Announcement(a.service, a.conn.LocalAddr().String(), a.zone, state, a.sequence, born)
	url := "http://" + a.f.addr(kindAgent, a.i, portAnnounce).String() + "/instances/" + a.id()
	mute, leaving := a.mute, a.leaving
	a.mu.Unlock()
	if mute {
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
	if leaving && res.StatusCode == http.StatusOK && a.born == born && a.leftAt.IsZero() {
		a.leftAt = time.Now()
	}
}

// end announces the end of the upstream and starts the next.
func (a *agent) end() {
	a.mu.Lock()
	url := "http://" + a.f.addr(kindAgent, a.i, portAnnounce).String() + "/instances/" + a.id()
	a.mute = true
	a.flows = map[flow.Key]bool{}
	a.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	if r, err := http.NewRequest(http.MethodDelete, url, nil); err == nil {
		if res, err := client.Do(r); err == nil {
			_ = res.Body.Close()
		}
	}
	a.restart()
}

func (a *agent) serve() {
	b := make([]byte, 2048)
	for {
		n, err := a.conn.Read(b)
		if err != nil {
			return
		}
		a.take(bytes.Clone(b[:n]))
	}
}

// take handles a packet as the platform's pages say and checks the promises
// that hold at every moment.
func (a *agent) take(packet []byte) {
	s, err := platform.Codec{}.Decode(packet)
	if err != nil || (platform.Codec{}).Metadata(packet) != (flow.Metadata{}) || s.Returned || !bytes.Equal(packet[headerSize:], payload(&s)) {
		a.f.t.Errorf("an upstream got a packet that its sender did not write: %v %+v", err, s)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mute {
		return
	}
	k := s.KeyFromCaller()
	if !s.Opening {
		if !a.flows[k] {
			packet[offFlags] |= flagBounced
			a.send(packet)
			return
		}
		a.send(makePacket(k.Route(), k.Caller(), flagAck, s.Seq, 20))
		return
	}
	if !a.f.allowed(k, a.service) {
		a.f.t.Errorf("service %s got an opening packet for %s", a.service, k.Route())
	}
	if !a.flows[k] && !a.leftAt.IsZero() && time.Since(a.leftAt) > leaveSlack {
		a.f.t.Errorf("a leaving upstream got a new flow %s after it was acknowledged", time.Since(a.leftAt))
	}
	a.flows[k] = true
	a.send(makePacket(k.Route(), k.Caller(), flagOpen|flagAck, 1, 0))
}

func (a *agent) send(b []byte) { _, _ = a.conn.WriteToUDP(b, a.to) }

// holds reports whether the living upstream holds the flow.
func (a *agent) holds(k flow.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.mute && a.flows[k]
}

// allowed reports whether any configuration sends the address to the service.
func (f *fleet) allowed(k flow.Key, service string) bool {
	to := k.Route().AddrPort()
	if to.Addr().As4()[2] == 1 {
		return services[int(to.Addr().As4()[3]-1)%len(services)] == service
	}
	return routes[service] == to
}
