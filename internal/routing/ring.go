package routing

import (
	"math/bits"
	"net/netip"
)

const (
	// ringProbes is the number of positions tried for each flow. More of them
	// make shares more even.
	ringProbes = 21
	// pointsPerSlot is the number of points on the ring for each slot.
	pointsPerSlot = 4
	// positionBits is the size of a position on the ring.
	positionBits = 32
)

// endpoint is an agent that may get new flows.
type endpoint struct {
	addr   netip.AddrPort
	id     uint64  // hash of the address
	weight float64 // slots that may bear new flows, above 0
}

// point is a position in the high bits and the index of its endpoint in the
// low ones.
type point uint64

func (p point) position() uint32 { return uint32(p >> positionBits) }

func (p point) endpoint() uint32 { return uint32(p) }

// ring is weighted multi-probe consistent hashing: each flow has several
// probes, and the endpoint whose point follows one of them most closely has
// the flow. The cost hardly depends on the number of endpoints. An added
// endpoint only takes flows, a removed one only gives them away.
type ring struct {
	endpoints []endpoint // by address
	points    []point    // by position
	starts    []uint32   // index of the first point for each prefix of a position
	shift     uint       // position >> shift is its prefix
}

// hit is the point that follows a position.
type hit struct {
	distance uint32
	point    int // index
	endpoint uint32
}

// points returns the number of points of the endpoint. A fraction of a point
// is rounded up for that fraction of all endpoints, chosen by hash.
func (e *endpoint) points() int {
	threshold := float64(e.id>>positionBits) / (1 << positionBits)
	return max(1, int(e.weight*pointsPerSlot+threshold))
}

func position(id uint64, i int) uint32 {
	return uint32(hashPair(id, uint64(i)) >> (64 - positionBits))
}

// index fills starts from points.
func (r *ring) index() {
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
// be first without the first one.
func (r *ring) pick(key uint64) (first, second netip.AddrPort) {
	switch len(r.endpoints) {
	case 0:
		return first, second
	case 1:
		return r.endpoints[0].addr, second
	}
	var hits [ringProbes]hit
	for i := range hits {
		hits[i] = r.next(position(key, i))
	}
	best := nearest(hits[:])
	for i := range hits {
		if hits[i].endpoint == best.endpoint {
			hits[i] = r.nextOther(hits[i], best.endpoint)
		}
	}
	other := nearest(hits[:])
	return r.endpoints[best.endpoint].addr, r.endpoints[other.endpoint].addr
}

func nearest(hits []hit) hit {
	best := hits[0]
	for _, h := range hits[1:] {
		if h.distance < best.distance {
			best = h
		}
	}
	return best
}

// next returns the first point at or after the position, around the ring.
func (r *ring) next(position uint32) hit {
	i := int(r.starts[position>>r.shift])
	for i < len(r.points) && r.points[i].position() < position {
		i++
	}
	return r.hit(position, i)
}

// nextOther returns the first point after h that is not the endpoint's. The
// ring has points of other endpoints.
func (r *ring) nextOther(h hit, endpoint uint32) hit {
	position := r.points[h.point].position() - h.distance
	for h.endpoint == endpoint {
		h = r.hit(position, h.point+1)
	}
	return h
}

func (r *ring) hit(position uint32, i int) hit {
	if i == len(r.points) {
		i = 0
	}
	p := r.points[i]
	return hit{distance: p.position() - position, point: i, endpoint: p.endpoint()}
}
