package routing

import (
	"math/bits"
	"net/netip"
)

const (
	// probesPerFlow is the number of ring positions that are looked up for each
	// flow. More probes make the shares of the endpoints more even.
	probesPerFlow = 21
	// pointsPerSlot is the number of points on the ring for each slot.
	pointsPerSlot = 4
	// positionBits is the size of a position on the ring, in bits.
	positionBits = 32
)

// endpoint is an agent that may receive new flows.
type endpoint struct {
	addr   netip.AddrPort
	id     uint64  // hash of the address
	weight float64 // slots available for new flows, above 0
}

// point is a position on the ring in the high bits and the index of its
// endpoint in the low bits.
type point uint64

func (p point) position() uint32 { return uint32(p >> positionBits) }

func (p point) endpoint() uint32 { return uint32(p) }

// ring implements weighted multi-probe consistent hashing: each flow has several
// probes, and the endpoint whose point follows one of them most closely is
// chosen. The cost of a lookup hardly depends on the number of endpoints. When
// an endpoint is added, flows move only to it; when one is removed, only its
// flows move.
type ring struct {
	endpoints []endpoint // sorted by address
	points    []point    // sorted by position
	starts    []uint32   // index of the first point for each prefix of a position
	shift     uint       // position >> shift is its prefix
}

// successor is the point that follows a position.
type successor struct {
	distance uint32 // from the position to the point
	point    int    // index
	endpoint uint32
}

// points returns the number of points of the endpoint, at least 1. The hash of
// the endpoint decides whether a fraction is rounded up or down, so that the mean
// over many endpoints stays proportional to the weight.
func (e *endpoint) points() int {
	threshold := float64(e.id>>positionBits) / (1 << positionBits)
	return max(1, int(e.weight*pointsPerSlot+threshold))
}

// position returns the position of point i of an endpoint or of probe i of a
// flow.
func position(id uint64, i int) uint32 {
	return uint32(hashPair(id, uint64(i)) >> (64 - positionBits))
}

// buildIndex sets starts and shift from points.
func (r *ring) buildIndex() {
	prefixBits := uint(bits.Len(uint(len(r.points))))
	r.shift = positionBits - prefixBits
	r.starts = make([]uint32, 1<<prefixBits)
	next := 0
	for i, p := range r.points {
		for prefix := int(p.position() >> r.shift); next <= prefix; next++ {
			r.starts[next] = uint32(i)
		}
	}
	for ; next < len(r.starts); next++ {
		r.starts[next] = uint32(len(r.points))
	}
}

// pick returns the first and the second choice for a flow; an address is zero
// when there is no such endpoint. The second choice is the endpoint that would
// be picked first if the first choice were removed.
func (r *ring) pick(key uint64) (first, second netip.AddrPort) {
	switch len(r.endpoints) {
	case 0:
		return first, second
	case 1:
		return r.endpoints[0].addr, second
	}
	var found [probesPerFlow]successor
	for i := range found {
		found[i] = r.findSuccessor(position(key, i))
	}
	best := nearest(found[:])
	for i := range found {
		if found[i].endpoint == best.endpoint {
			found[i] = r.successorExcept(found[i], best.endpoint)
		}
	}
	other := nearest(found[:])
	return r.endpoints[best.endpoint].addr, r.endpoints[other.endpoint].addr
}

func nearest(found []successor) successor {
	best := found[0]
	for _, s := range found[1:] {
		if s.distance < best.distance {
			best = s
		}
	}
	return best
}

// findSuccessor returns the first point at or after the position, wrapping around
// at the end of the ring.
func (r *ring) findSuccessor(position uint32) successor {
	i := int(r.starts[position>>r.shift])
	for i < len(r.points) && r.points[i].position() < position {
		i++
	}
	return r.successorAt(position, i)
}

// successorExcept returns the first point from s onwards that belongs to
// another endpoint than the given one. The ring must have at least two
// endpoints.
func (r *ring) successorExcept(s successor, endpoint uint32) successor {
	position := r.points[s.point].position() - s.distance
	for s.endpoint == endpoint {
		s = r.successorAt(position, s.point+1)
	}
	return s
}

func (r *ring) successorAt(position uint32, i int) successor {
	if i == len(r.points) {
		i = 0
	}
	p := r.points[i]
	return successor{distance: p.position() - position, point: i, endpoint: p.endpoint()}
}
