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
	// maxPeerReportAge is how long a peer's load report is used.
	maxPeerReportAge = 5 * time.Second
	// maxReportDelay is the assumed upper bound of the time between taking a
	// load report and receiving it; relays sent within it are not in the
	// report.
	maxReportDelay = 2 * time.Millisecond
	// peerSampleSize is how many peers are compared for one relay.
	peerSampleSize = 8
	// utilizationWeight is the weight of the utilization over the last seconds
	// relative to the current load.
	utilizationWeight = 4
	// utilizationTimeConstant is the time constant of a peer's utilization.
	utilizationTimeConstant = 4 * time.Second
	// minUtilizationReports is the minimum number of reports over which the
	// utilization is averaged.
	minUtilizationReports = 10
	// maxPeerShare is the highest estimated share of its limit in use at which a
	// peer still has capacity. Above 1, requests wait in the peer's queue.
	maxPeerShare = 1.5
)

// peer is the state of one peer agent as seen from this agent.
type peer struct {
	ref              AgentRef
	load             admission.Load
	receivedAt       time.Time
	utilization      float64 // mean share of the slots in use, waiting requests included
	reports          int
	unreportedRelays []time.Time // times of relays in progress that load does not include
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

// report records a load report. Reports of older incarnations or with an older
// clock are ignored.
func (p *peers) report(now time.Time, r LoadReport) {
	x := p.byAddr[r.Peer.Addr]
	if x == nil {
		x = &peer{}
		p.byAddr[r.Peer.Addr] = x
		p.list = append(p.list, x)
	}
	if isOlder(r.Peer, x.ref) {
		return
	}
	if !r.Peer.SameIncarnation(x.ref) {
		x.unreportedRelays = nil
	}
	if !r.Peer.SameIncarnation(x.ref) {
		x.reports = 0
	}
	x.updateUtilization(now, r.Load)
	x.ref = r.Peer
	x.load = r.Load
	x.receivedAt = now
	cutoff := now.Add(-maxReportDelay)
	x.unreportedRelays = slices.DeleteFunc(x.unreportedRelays, func(t time.Time) bool { return t.Before(cutoff) })
}

// updateUtilization adds a report to the peer's utilization. A few reports of a
// short peak must not count as a steady load, however far apart they are.
func (x *peer) updateUtilization(now time.Time, l admission.Load) {
	x.reports++
	share := float64(l.Busy+l.Queued) / float64(max(1, l.Slots))
	weight := -math.Expm1(-float64(now.Sub(x.receivedAt)) / float64(utilizationTimeConstant))
	weight = max(1/float64(x.reports), min(weight, 1.0/minUtilizationReports))
	x.utilization += weight * (share - x.utilization)
}

func isOlder(a, b AgentRef) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.ClockMillis < b.ClockMillis
}

// remove deletes a peer.
func (p *peers) remove(addr netip.AddrPort) {
	delete(p.byAddr, addr)
	p.list = slices.DeleteFunc(p.list, func(x *peer) bool { return x.ref.Addr == addr })
}

// relaySent records a relay to the peer.
func (p *peers) relaySent(now time.Time, addr netip.AddrPort) {
	if x := p.byAddr[addr]; x != nil {
		x.unreportedRelays = append(x.unreportedRelays, now)
	}
}

// relayDone records the end of the relay that was sent at the given time. If the
// peer's report already includes the relay, the reported load is corrected.
func (p *peers) relayDone(addr netip.AddrPort, sent time.Time) {
	x := p.byAddr[addr]
	if x == nil {
		return
	}
	if at := slices.IndexFunc(x.unreportedRelays, sent.Equal); at >= 0 {
		x.unreportedRelays = slices.Delete(x.unreportedRelays, at, at+1)
		return
	}
	x.load.Busy = max(0, x.load.Busy-1)
}

// relayRefused marks the peer as full until its next report.
func (p *peers) relayRefused(addr netip.AddrPort) {
	if x := p.byAddr[addr]; x != nil {
		x.load.Busy = max(x.load.Busy, x.load.Limit)
	}
}

// candidate is a peer to which a request may be relayed.
type candidate struct {
	peer  *peer   // nil if no peer qualifies
	share float64 // estimated share of its limit in use with the request
	score float64 // share plus weighted utilization
}

// hasCapacity reports whether there is a peer that is likely to start the
// request soon.
func (c candidate) hasCapacity() bool { return c.peer != nil && c.share <= maxPeerShare }

// leastLoaded returns the peer with the lowest score in a random sample. run is
// the mean service time.
func (p *peers) leastLoaded(now time.Time, maxAge, run time.Duration, tried, via []netip.AddrPort) candidate {
	best := candidate{score: math.Inf(1)}
	for _, x := range p.sample() {
		age := now.Sub(x.receivedAt)
		if age > maxAge || slices.Contains(tried, x.ref.Addr) || slices.Contains(via, x.ref.Addr) {
			continue
		}
		share := x.estimatedShare(age, run)
		score := share + utilizationWeight*x.utilization
		if score < best.score {
			best = candidate{peer: x, share: share, score: score}
		}
	}
	return best
}

// sample moves peerSampleSize random peers to the front of the list and returns
// them.
func (p *peers) sample() []*peer {
	n := min(peerSampleSize, len(p.list))
	for i := range n {
		j := i + p.random.IntN(len(p.list)-i)
		p.list[i], p.list[j] = p.list[j], p.list[i]
	}
	return p.list[:n]
}

// estimatedShare returns the estimated share of the peer's limit in use with one
// more request. As the report ages, relative to the mean service time run, the
// estimate moves from the reported load to the utilization.
func (x *peer) estimatedShare(age, run time.Duration) float64 {
	if x.load.Limit <= 0 {
		return math.Inf(1)
	}
	limit := float64(x.load.Limit)
	utilization := x.utilization * float64(x.load.Slots) / limit
	reported := float64(x.load.Busy+x.load.Queued) / limit
	weight := math.Exp(-float64(age) / float64(max(run, time.Millisecond)))
	return utilization + (reported-utilization)*weight + float64(len(x.unreportedRelays)+1)/limit
}

// share returns the share of the limit that is in use.
func share(busy, limit int) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return float64(busy) / float64(limit)
}
