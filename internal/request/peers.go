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
	peerFreshFor = 2 * time.Second
	// reportLag is how long before its arrival a report was taken at most;
	// relays sent within it are not in the report.
	reportLag = 2 * time.Millisecond
	// peerSamples is how many peers one choice compares.
	peerSamples = 8
)

// peer is what is known of one peer agent.
type peer struct {
	ref  Ref
	load admission.Load
	at   time.Time
	sent []time.Time // relays under way that are not in the report
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
func (p *peers) report(now time.Time, r PeerReport) {
	have := p.byAddr[r.Peer.Addr]
	if have == nil {
		have = &peer{}
		p.byAddr[r.Peer.Addr] = have
		p.list = append(p.list, have)
	}
	if older(r.Peer, have.ref) {
		return
	}
	if !r.Peer.Same(have.ref) {
		have.sent = nil
	}
	have.ref = r.Peer
	have.load = r.Load
	have.at = now
	lag := now.Add(-reportLag)
	have.sent = slices.DeleteFunc(have.sent, func(t time.Time) bool { return t.Before(lag) })
}

func older(a, b Ref) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Clock < b.Clock
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

// least returns the peer with the lowest share of its limit in use with one
// request more, out of a random sample, and that share.
func (p *peers) least(now time.Time, maxAge time.Duration, tried, via []netip.AddrPort) (*peer, float64) {
	var best *peer
	lowest := math.Inf(1)
	for _, x := range p.sample() {
		age := now.Sub(x.at)
		if age > maxAge || slices.Contains(tried, x.ref.Addr) || slices.Contains(via, x.ref.Addr) {
			continue
		}
		if s := x.share(); s < lowest {
			best, lowest = x, s
		}
	}
	return best, lowest
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

func (x *peer) share() float64 {
	return share(x.load.Busy+x.load.Queued+len(x.sent)+1, x.load.Limit)
}

// share returns the part of the limit that is in use.
func share(busy, limit int) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return float64(busy) / float64(limit)
}
