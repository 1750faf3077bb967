package request

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"crocusnotch/internal/admission"
)

const (
	// peerFreshFor is how long a peer's report is used.
	peerFreshFor = 5 * time.Second
	// reportLag is how long before its arrival a report was taken at most;
	// relays sent within it are not in the report.
	reportLag = 2 * time.Millisecond
	// peerSamples is how many peers one choice compares.
	peerSamples = 8
	// usageWeight is the weight of the usage of the last seconds against the
	// load of the moment.
	usageWeight = 4
	// usageSpan is the time constant of a peer's usage.
	usageSpan = 4 * time.Second
	// usageSamples is the least number of reports that make up the usage.
	usageSamples = 10
	// roomShare is the estimated share in use up to which a peer has room.
	roomShare = 1.5
)

// peer is what is known of one peer agent.
type peer struct {
	ref     AgentRef
	load    admission.Load
	at      time.Time
	usage   float64 // mean share of the slots in use, waiting requests included
	reports int
	sent    []time.Time // relays under way that are not in the report
}

// peers are the agents of the same service that reported their load.
type peers struct {
	byAddr map[netip.AddrPort]*peer
	list   []*peer
	random *rand.Rand
}

func newPeers(random *rand.Rand) peers {
	return peers{byAddr: map[netip.AddrPort]*peer{}, random: random}
}

// report adopts a load report. Reports of older incarnations or with an older
// clock are ignored.
func (p *peers) report(now time.Time, r LoadReport) {
	have := p.byAddr[r.Peer.Addr]
	if have == nil {
		have = &peer{}
		p.byAddr[r.Peer.Addr] = have
		p.list = append(p.list, have)
	}
	if older(r.Peer, have.ref) {
		return
	}
	if !r.Peer.SameIncarnation(have.ref) {
		have.sent = nil
	}
	if !r.Peer.SameIncarnation(have.ref) {
		have.reports = 0
	}
	have.average(now, r.Load)
	have.ref = r.Peer
	have.load = r.Load
	have.at = now
	lag := now.Add(-reportLag)
	have.sent = slices.DeleteFunc(have.sent, func(t time.Time) bool { return t.Before(lag) })
}

// average takes a report into the peer's usage. Few reports of a busy moment
// must not count as a steady load, however far apart they are.
func (x *peer) average(now time.Time, l admission.Load) {
	x.reports++
	share := float64(l.Busy+l.Queued) / float64(max(1, l.Slots))
	weight := -math.Expm1(-float64(now.Sub(x.at)) / float64(usageSpan))
	weight = max(1/float64(x.reports), min(weight, 1.0/usageSamples))
	x.usage += weight * (share - x.usage)
}

func older(a, b AgentRef) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.ClockMillis < b.ClockMillis
}

// remove forgets a peer.
func (p *peers) remove(addr netip.AddrPort) {
	delete(p.byAddr, addr)
	p.list = slices.DeleteFunc(p.list, func(x *peer) bool { return x.ref.Addr == addr })
}

// send notes a relay to the peer.
func (p *peers) send(now time.Time, addr netip.AddrPort) {
	if x := p.byAddr[addr]; x != nil {
		x.sent = append(x.sent, now)
	}
}

// done notes the end of a relay that was sent at the time.
func (p *peers) done(addr netip.AddrPort, sent time.Time) {
	x := p.byAddr[addr]
	if x == nil {
		return
	}
	if at := slices.IndexFunc(x.sent, sent.Equal); at >= 0 {
		x.sent = slices.Delete(x.sent, at, at+1)
		return
	}
	x.load.Busy = max(0, x.load.Busy-1)
}

// refused notes that the peer had no room, until its next report.
func (p *peers) refused(addr netip.AddrPort) {
	if x := p.byAddr[addr]; x != nil {
		x.load.Busy = max(x.load.Busy, x.load.Limit)
	}
}

// choice is a peer that a request may be relayed to.
type choice struct {
	peer  *peer   // nil when there is none
	share float64 // estimated share of its limit in use with the request
	score float64 // share and weighted usage
}

// hasRoom reports whether the peer can probably start the request soon.
func (c choice) hasRoom() bool { return c.peer != nil && c.share <= roomShare }

// least returns the peer with the lowest score in a random sample. Run is the
// mean time of a run.
func (p *peers) least(now time.Time, maxAge, run time.Duration, tried, via []netip.AddrPort) choice {
	best := choice{score: math.Inf(1)}
	for _, x := range p.sample() {
		age := now.Sub(x.at)
		if age > maxAge || slices.Contains(tried, x.ref.Addr) || slices.Contains(via, x.ref.Addr) {
			continue
		}
		share := x.share(age, run)
		score := share + usageWeight*x.usage
		if score < best.score {
			best = choice{peer: x, share: share, score: score}
		}
	}
	return best
}

// sample moves peerSamples random peers to the front of the list and returns
// them.
func (p *peers) sample() []*peer {
	n := min(peerSamples, len(p.list))
	for i := range n {
		j := i + p.random.IntN(len(p.list)-i)
		p.list[i], p.list[j] = p.list[j], p.list[i]
	}
	return p.list[:n]
}

// share estimates the share of the peer's limit in use with one request more.
// What a report says of the moment fades with its age in runs towards the
// usage.
func (x *peer) share(age, run time.Duration) float64 {
	if x.load.Limit <= 0 {
		return math.Inf(1)
	}
	limit := float64(x.load.Limit)
	usage := x.usage * float64(x.load.Slots) / limit
	reported := float64(x.load.Busy+x.load.Queued) / limit
	weight := math.Exp(-float64(age) / float64(max(run, time.Millisecond)))
	return usage + (reported-usage)*weight + float64(len(x.sent)+1)/limit
}

// share returns the part of the limit that is in use.
func share(busy, limit int) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return float64(busy) / float64(limit)
}
