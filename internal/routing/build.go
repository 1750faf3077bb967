package routing

import (
	"slices"
)

// emptyRing is the ring without endpoints.
var emptyRing = &ring{}

// rebuild returns a ring with the given endpoints, which must be sorted by
// address and are copied. It reuses the points of unchanged endpoints, so that
// a small change to a large ring is cheap. The result depends only on the
// given endpoints, not on r.
func (r *ring) rebuild(endpoints []endpoint) *ring {
	if slices.Equal(r.endpoints, endpoints) {
		return r
	}
	next := &ring{endpoints: slices.Clone(endpoints)}
	indices, added := r.diff(next.endpoints)
	slices.Sort(added)
	next.points = r.merge(indices, added)
	next.buildIndex()
	return next
}

// removed is the index of an endpoint whose points are not reused.
const removed = -1

// diff returns, for each endpoint of r, its index in endpoints or removed, and
// the points of the endpoints that are new or have a different weight.
func (r *ring) diff(endpoints []endpoint) (indices []int32, added []point) {
	indices = make([]int32, len(r.endpoints))
	old := 0
	for i := range endpoints {
		e := &endpoints[i]
		for old < len(indices) && r.endpoints[old].addr.Compare(e.addr) < 0 {
			indices[old] = removed
			old++
		}
		if old < len(indices) && r.endpoints[old] == *e {
			indices[old] = int32(i)
			old++
			continue
		}
		added = e.appendPoints(added, uint32(i))
	}
	for ; old < len(indices); old++ {
		indices[old] = removed
	}
	return indices, added
}

func (e *endpoint) appendPoints(points []point, index uint32) []point {
	for i := range e.points() {
		p := uint64(position(e.id, i))<<positionBits | uint64(index)
		points = append(points, point(p))
	}
	return points
}

// merge returns the reused points of r, with their new indices, and the added
// points, sorted. Both endpoint lists are sorted by address, so the reused
// points keep their order.
func (r *ring) merge(indices []int32, added []point) []point {
	out := make([]point, 0, len(r.points)+len(added))
	for _, p := range r.points {
		index := indices[p.endpoint()]
		if index == removed {
			continue
		}
		kept := p&^point(1<<positionBits-1) | point(index)
		for len(added) > 0 && added[0] < kept {
			out = append(out, added[0])
			added = added[1:]
		}
		out = append(out, kept)
	}
	return append(out, added...)
}
