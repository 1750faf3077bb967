package agent

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

const (
	// loadBytesPerSecond bounds the load reports that an agent sends.
	loadBytesPerSecond = 3000
	loadBurstBytes     = loadBytesPerSecond / 2
	// loadInterval is the interval between checks of the agent's own load.
	loadInterval = 50 * time.Millisecond
	// loadRefresh is the longest time between reports of an unchanged load.
	loadRefresh = time.Second
	// loadFanout bounds the peers that one report is sent to.
	loadFanout = 6
	// maxLoadAge is the maximum age of a peer's report in the choice between
	// candidates.
	maxLoadAge = 5 * time.Second
	// packetOverhead is the size of IP and UDP headers in bytes.
	packetOverhead = 28
)

// Layout of a load report's body, offsets in bytes.
const (
	loadIncarnation  = 0
	loadClock        = 8
	loadRelay        = 16
	loadFlows        = 22
	loadConnections  = 26
	loadBusy         = 30
	loadLimit        = 32
	loadSlots        = 34
	loadQueued       = 36
	loadCold         = 38
	loadGeneration   = 39
	loadMAC          = 40
	loadBodySize     = 48
	loadDatagramSize = wire.HeaderSize + loadBodySize
)

// loadReport is the load of an agent, sent to its peers.
type loadReport struct {
	ref   request.AgentRef
	flows int
	load  admission.Load
}

// appendLoad appends the signed body of a report to dst, which holds the signed
// header of its datagram.
func appendLoad(dst []byte, ring *keyring.Ring, r *loadReport) []byte {
	var b [loadBodySize]byte
	binary.BigEndian.PutUint64(b[loadIncarnation:], r.ref.Incarnation)
	binary.BigEndian.PutUint64(b[loadClock:], uint64(r.ref.ClockMillis))
	ip := r.ref.Addr.Addr().As4()
	copy(b[loadRelay:], ip[:])
	binary.BigEndian.PutUint16(b[loadRelay+4:], r.ref.Addr.Port())
	binary.BigEndian.PutUint32(b[loadFlows:], uint32(r.flows))
	binary.BigEndian.PutUint32(b[loadConnections:], uint32(r.load.Connections))
	binary.BigEndian.PutUint16(b[loadBusy:], clamp16(r.load.Busy))
	binary.BigEndian.PutUint16(b[loadLimit:], clamp16(r.load.Limit))
	binary.BigEndian.PutUint16(b[loadSlots:], clamp16(r.load.Slots))
	binary.BigEndian.PutUint16(b[loadQueued:], clamp16(r.load.Queued))
	if r.load.Cold {
		b[loadCold] = 1
	}
	b[loadGeneration] = ring.SigningGeneration()
	out := append(dst, b[:]...)
	// The header's MAC covers only the header; this one covers header and body.
	sum, _ := ring.MAC(ring.SigningGeneration(), keyring.PurposeControl, out[:len(out)-loadBodySize+loadMAC])
	binary.BigEndian.PutUint64(out[len(out)-loadBodySize+loadMAC:], sum)
	return out
}

// parseLoad reads a report from a complete datagram whose header is valid; ok is
// false when the body has a wrong size or MAC.
func parseLoad(ring *keyring.Ring, datagram []byte) (r loadReport, ok bool) {
	if len(datagram) != loadDatagramSize {
		return r, false
	}
	b := datagram[wire.HeaderSize:]
	sum, ok := ring.MAC(b[loadGeneration], keyring.PurposeControl, datagram[:wire.HeaderSize+loadMAC])
	if !ok || sum != binary.BigEndian.Uint64(b[loadMAC:]) {
		return r, false
	}
	ip := netip.AddrFrom4([4]byte(b[loadRelay : loadRelay+4]))
	r.ref = request.AgentRef{
		Addr:        netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[loadRelay+4:])),
		Incarnation: binary.BigEndian.Uint64(b[loadIncarnation:]),
		ClockMillis: int64(binary.BigEndian.Uint64(b[loadClock:])),
	}
	r.flows = int(binary.BigEndian.Uint32(b[loadFlows:]))
	r.load = admission.Load{
		Busy:        int(binary.BigEndian.Uint16(b[loadBusy:])),
		Limit:       int(binary.BigEndian.Uint16(b[loadLimit:])),
		Slots:       int(binary.BigEndian.Uint16(b[loadSlots:])),
		Queued:      int(binary.BigEndian.Uint16(b[loadQueued:])),
		Connections: int(binary.BigEndian.Uint32(b[loadConnections:])),
		Cold:        b[loadCold] == 1,
	}
	return r, true
}

func clamp16(n int) uint16 { return uint16(max(0, min(n, 1<<16-1))) }

// peerLoads keeps the last load report of each peer for the choice between
// candidates. It holds only members of the service and is safe for concurrent
// use.
type peerLoads struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]peerLoad // by data address
}

type peerLoad struct {
	report     loadReport
	receivedAt time.Time
}

func newPeerLoads() *peerLoads { return &peerLoads{peers: map[netip.AddrPort]peerLoad{}} }

// update records a report unless it is older than the recorded one.
func (p *peerLoads) update(from netip.AddrPort, r *loadReport, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[from].report.ref
	if r.ref.Incarnation < old.Incarnation || (r.ref.Incarnation == old.Incarnation && r.ref.ClockMillis < old.ClockMillis) {
		return false
	}
	p.peers[from] = peerLoad{report: *r, receivedAt: now}
	return true
}

func (p *peerLoads) flowLoad(of netip.AddrPort, now time.Time) (flowLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.peers[of]
	if !ok || now.Sub(l.receivedAt) > maxLoadAge {
		return flowLoad{}, false
	}
	return flowLoad{flows: l.report.flows, connections: l.report.load.Connections}, true
}

// retain removes all but the given peers.
func (p *peerLoads) retain(peers []membership.Record) {
	keep := map[netip.AddrPort]bool{}
	for _, m := range peers {
		keep[m.Addr] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.peers {
		if !keep[a] {
			delete(p.peers, a)
		}
	}
}

// loadPacer limits the rate of load reports and selects the peers that get them.
// It is not safe for concurrent use.
type loadPacer struct {
	limit    *rate.Limiter
	rng      *rand.Rand
	last     loadReport
	lastSent time.Time
}

func newLoadPacer(rng *rand.Rand) *loadPacer {
	return &loadPacer{limit: rate.NewLimiter(loadBytesPerSecond, loadBurstBytes), rng: rng}
}

// recipients returns the peers that the report is sent to now.
func (p *loadPacer) recipients(now time.Time, r loadReport, peers []membership.Record) []netip.AddrPort {
	if len(peers) == 0 || !p.due(now, r) {
		return nil
	}
	var out []netip.AddrPort
	for _, i := range p.rng.Perm(len(peers)) {
		if len(out) == loadFanout {
			break
		}
		if !p.limit.AllowN(now, loadDatagramSize+packetOverhead) {
			break
		}
		out = append(out, peers[i].Addr)
	}
	if len(out) > 0 {
		p.last, p.lastSent = r, now
	}
	return out
}

// due reports whether the load changed enough for a new report or the last
// report is older than loadRefresh.
func (p *loadPacer) due(now time.Time, r loadReport) bool {
	if now.Sub(p.lastSent) >= loadRefresh {
		return true
	}
	last := &p.last
	const flowChangeDivisor = 32 // report a change by more than 1/32 of the connections
	flowChange := r.flows - last.flows
	return r.load.Busy != last.load.Busy || r.load.Limit != last.load.Limit ||
		r.load.Queued != last.load.Queued || r.load.Cold != last.load.Cold ||
		max(flowChange, -flowChange)*flowChangeDivisor > r.load.Connections
}

// sendLoads sends the agent's load to peers when a report is due.
func (l *loop) sendLoads() {
	a := l.agent
	v := a.socket.view.Load()
	if v.ring == nil || v.service == 0 || len(l.peers) == 0 {
		return
	}
	now := time.Now()
	d := a.driver.status()
	r := loadReport{ref: d.self, flows: a.flows.len(), load: d.load}
	to := l.loadPacer.recipients(now, r, l.peers)
	if len(to) == 0 {
		return
	}
	buf := make([]byte, wire.HeaderSize, loadDatagramSize)
	wire.PutHeader(buf, v.ring, &wire.Header{Kind: wire.KindLoadReport, Service: v.service})
	buf = appendLoad(buf, v.ring, &r)
	for _, peer := range to {
		a.socket.sendTo(buf, peer)
		a.metrics.loadBytes.WithLabelValues("out").Add(loadDatagramSize + packetOverhead)
	}
}

// receiveLoad records a peer's report. Reports of other agents than the members
// of the service are dropped, so that the membership bounds the memory.
func (a *Agent) receiveLoad(from netip.AddrPort, datagram []byte) {
	v := a.socket.view.Load()
	r, ok := parseLoad(v.ring, datagram)
	_, known := v.acceptingPeers[from]
	if !ok || !known {
		a.metrics.socket.drop(dropBadLoadReport)
		return
	}
	a.metrics.loadBytes.WithLabelValues("in").Add(loadDatagramSize + packetOverhead)
	if a.peerLoads.update(from, &r, time.Now()) {
		a.driver.updatePeerLoad(request.LoadReport{Peer: r.ref, Load: r.load})
	}
}
