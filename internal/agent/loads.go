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
	// loadBudget bounds the reports that an agent sends, in bytes per second.
	loadBudget = 3000
	loadBurst  = loadBudget / 2
	// loadInterval is the pause between looks at the own load.
	loadInterval = 50 * time.Millisecond
	// loadRefresh is the longest time between reports of an unchanged load.
	loadRefresh = time.Second
	// loadFanout bounds the peers that get one report.
	loadFanout = 6
	// loadStale is how long a peer's report counts for hunting.
	loadStale = 5 * time.Second
	// packetOverhead is the size of IP and UDP headers in bytes.
	packetOverhead = 28
)

// Layout of a load report's body, offsets in bytes.
const (
	loadIncarnation = 0
	loadClock       = 8
	loadRelay       = 16
	loadFlows       = 22
	loadConnections = 26
	loadBusy        = 30
	loadLimit       = 32
	loadSlots       = 34
	loadQueued      = 36
	loadCold        = 38
	loadGeneration  = 39
	loadMAC         = 40
	loadSize        = 48
	loadDatagram    = wire.HeaderSize + loadSize
)

// loadReport is what an agent tells its peers of itself.
type loadReport struct {
	ref   request.Ref
	flows int
	load  admission.Load
}

// appendLoad appends the signed body of a report to dst, the signed header of
// its datagram.
func appendLoad(dst []byte, ring *keyring.Ring, r *loadReport) []byte {
	var b [loadSize]byte
	binary.BigEndian.PutUint64(b[loadIncarnation:], r.ref.Incarnation)
	binary.BigEndian.PutUint64(b[loadClock:], uint64(r.ref.Clock))
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
	// The header's MAC covers the header only; this one covers both.
	sum, _ := ring.MAC(ring.SigningGeneration(), keyring.PurposeControl, out[:len(out)-loadSize+loadMAC])
	binary.BigEndian.PutUint64(out[len(out)-loadSize+loadMAC:], sum)
	return out
}

// parseLoad reads a report from a whole datagram whose header is valid; ok is
// false when the body is not genuine.
func parseLoad(ring *keyring.Ring, datagram []byte) (r loadReport, ok bool) {
	if len(datagram) != loadDatagram {
		return r, false
	}
	b := datagram[wire.HeaderSize:]
	sum, ok := ring.MAC(b[loadGeneration], keyring.PurposeControl, datagram[:wire.HeaderSize+loadMAC])
	if !ok || sum != binary.BigEndian.Uint64(b[loadMAC:]) {
		return r, false
	}
	ip := netip.AddrFrom4([4]byte(b[loadRelay : loadRelay+4]))
	r.ref = request.Ref{
		Addr:        netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[loadRelay+4:])),
		Incarnation: binary.BigEndian.Uint64(b[loadIncarnation:]),
		Clock:       int64(binary.BigEndian.Uint64(b[loadClock:])),
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

// peerLoads keeps the flows of the peers for hunting. It is safe for
// concurrent use and holds members of the service only.
type peerLoads struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]peerLoad // by data address
}

type peerLoad struct {
	report loadReport
	at     time.Time
}

func newPeerLoads() *peerLoads { return &peerLoads{peers: map[netip.AddrPort]peerLoad{}} }

// put records a report unless it is older than the one that is known.
func (p *peerLoads) put(from netip.AddrPort, r *loadReport, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[from].report.ref
	if r.ref.Incarnation < old.Incarnation || (r.ref.Incarnation == old.Incarnation && r.ref.Clock < old.Clock) {
		return false
	}
	p.peers[from] = peerLoad{report: *r, at: now}
	return true
}

func (p *peerLoads) flows(of netip.AddrPort, now time.Time) (flowLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.peers[of]
	if !ok || now.Sub(l.at) > loadStale {
		return flowLoad{}, false
	}
	return flowLoad{flows: l.report.flows, connections: l.report.load.Connections}, true
}

// retain forgets all but the given peers.
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

// loadPacer decides which peers get a report and when. It has one owner.
type loadPacer struct {
	limit *rate.Limiter
	rng   *rand.Rand
	last  loadReport
	sent  time.Time
}

func newLoadPacer(rng *rand.Rand) *loadPacer {
	return &loadPacer{limit: rate.NewLimiter(loadBudget, loadBurst), rng: rng}
}

// next returns the peers that get the report now.
func (p *loadPacer) next(now time.Time, r loadReport, peers []membership.Record) []netip.AddrPort {
	if len(peers) == 0 || !p.due(now, r) {
		return nil
	}
	var out []netip.AddrPort
	for _, i := range p.rng.Perm(len(peers)) {
		if len(out) == loadFanout {
			break
		}
		if !p.limit.AllowN(now, loadDatagram+packetOverhead) {
			break
		}
		out = append(out, peers[i].Addr)
	}
	if len(out) > 0 {
		p.last, p.sent = r, now
	}
	return out
}

// due reports whether the load changed enough for a report, or the last one is
// old.
func (p *loadPacer) due(now time.Time, r loadReport) bool {
	if now.Sub(p.sent) >= loadRefresh {
		return true
	}
	last := &p.last
	const flowStep = 32 // a 32nd of the connections
	flows := r.flows - last.flows
	return r.load.Busy != last.load.Busy || r.load.Limit != last.load.Limit ||
		r.load.Queued != last.load.Queued || r.load.Cold != last.load.Cold ||
		max(flows, -flows)*flowStep > r.load.Connections
}

// sendLoads reports the own load to peers when it is due.
func (l *loop) sendLoads() {
	a := l.agent
	v := a.socket.view.Load()
	if v.ring == nil || v.service == 0 || len(l.peers) == 0 {
		return
	}
	now := time.Now()
	d := a.driver.status()
	r := loadReport{ref: d.clock, flows: a.flows.len(), load: d.load}
	to := l.pacer.next(now, r, l.peers)
	if len(to) == 0 {
		return
	}
	buf := make([]byte, wire.HeaderSize, loadDatagram)
	wire.PutHeader(buf, v.ring, &wire.Header{Kind: wire.KindLoadReport, Service: v.service})
	buf = appendLoad(buf, v.ring, &r)
	for _, peer := range to {
		a.socket.sendTo(buf, peer)
		a.metrics.loadBytes.WithLabelValues("out").Add(loadDatagram + packetOverhead)
	}
}

// takeLoad adopts a peer's report. Members of the service only are listened
// to, so that the memory is bounded by the membership.
func (a *Agent) takeLoad(from netip.AddrPort, datagram []byte) {
	v := a.socket.view.Load()
	r, ok := parseLoad(v.ring, datagram)
	_, known := v.takes[from]
	if !ok || !known {
		a.metrics.socket.drop(dropLoad)
		return
	}
	a.metrics.loadBytes.WithLabelValues("in").Add(loadDatagram + packetOverhead)
	if a.peers.put(from, &r, time.Now()) {
		a.driver.peerLoad(request.PeerReport{Peer: r.ref, Load: r.load})
	}
}
