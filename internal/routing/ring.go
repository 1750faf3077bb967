package routing

import (
	"math/bits"
	"net/netip"
	"slices"
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

// point is one position of an endpoint on the ring.
type point struct {
	position uint32
	endpoint uint32 // index
}

// ring is weighted multi-probe consistent hashing: each flow has several
// probes, and the endpoint whose point follows one of them most closely has
// the flow. The cost hardly depends on the number of endpoints. An added
// endpoint only takes flows, a removed one only gives them away.
type ring struct {
	endpoints []endpoint
	points    []point  // by position
	starts    []uint32 // index of the first point for each prefix of a position
	shift     uint     // position >> shift is its prefix
}

// hit is the point that follows a position.
type hit struct {
	distance uint32
	point    int // index
	endpoint uint32
}

func newRing(endpoints []endpoint) *ring {
	total := 0
	for i := range endpoints {
		total += endpoints[i].points()
	}
	prefixBits := uint(bits.Len(uint(total)))
	r := &ring{
		endpoints: endpoints,
		points:    make([]point, total),
		starts:    make([]uint32, 1<<prefixBits+1),
		shift:     positionBits - prefixBits,
	}
	r.place()
	return r
}

// points returns the number of points of the endpoint. A fraction of a point
// is rounded up for that fraction of all endpoints, chosen by hash.
func (e *endpoint) points() int {
	threshold := float64(e.id>>positionBits) / (1 << positionBits)
	return max(1, int(e.weight*pointsPerSlot+threshold))
}

func (e *endpoint) position(i int) uint32 { return position(e.id, i) }

func position(id uint64, i int) uint32 {
	return uint32(hashPair(id, uint64(i)) >> (64 - positionBits))
}

// place sorts the points, first by counting those of each prefix.
func (r *ring) place() {
	r.eachPoint(func(p point) { r.starts[p.position>>r.shift+1]++ })
	for i := 1; i < len(r.starts); i++ {
		r.starts[i] += r.starts[i-1]
	}
	next := slices.Clone(r.starts)
	r.eachPoint(func(p point) {
		prefix := p.position >> r.shift
		r.points[next[prefix]] = p
		next[prefix]++
	})
	for i := 1; i < len(r.starts); i++ {
		group := r.points[r.starts[i-1]:r.starts[i]]
		if len(group) > 1 {
			slices.SortFunc(group, r.comparePoints)
		}
	}
}

func (r *ring) eachPoint(visit func(point)) {
	for i := range r.endpoints {
		e := &r.endpoints[i]
		for j := range e.points() {
			visit(point{position: e.position(j), endpoint: uint32(i)})
		}
	}
}

func (r *ring) comparePoints(a, b point) int {
	switch {
	case a.position < b.position:
		return -1
	case a.position > b.position:
		return 1
	}
	return r.endpoints[a.endpoint].addr.Compare(r.endpoints[b.endpoint].addr)
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
	for i < len(r.points) && r.points[i].position < position {
		i++
	}
	return r.hit(position, i)
}

// nextOther returns the first point after h that is not the endpoint's. The
// ring has points of other endpoints.
func (r *ring) nextOther(h hit, endpoint uint32) hit {
	position := r.points[h.point].position - h.distance
	for h.endpoint == endpoint {
		h = r.hit(position, h.point+1)
	}
	return h
}

func (r *ring) hit(position uint32, i int) hit {
	if i == len(r.points) {
		i = 0
	}
	p := &r.points[i]
	return hit{distance: p.position - position, point: i, endpoint: p.endpoint}
}
