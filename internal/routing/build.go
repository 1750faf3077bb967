package routing

import (
	"slices"
)

// emptyRing is the ring without endpoints.
var emptyRing = &ring{}

// with returns the ring of other endpoints, which must be in the order of
// their addresses and are copied. Points of endpoints that stay as they are
// are taken over, so that a small change of a large ring is cheap. The result
// depends on the endpoints alone.
func (r *ring) with(endpoints []endpoint) *ring {
	if slices.Equal(r.endpoints, endpoints) {
		return r
	}
	next := &ring{endpoints: slices.Clone(endpoints)}
	moved, added := r.compare(next.endpoints)
	slices.Sort(added)
	next.points = r.merge(moved, added)
	next.index()
	return next
}

// removed marks an endpoint whose points are not taken over.
const removed = -1

// compare returns, for each endpoint of r, its index among the others or
// removed, and the points of the endpoints that are new or have another
// weight.
func (r *ring) compare(endpoints []endpoint) (moved []int32, added []point) {
	moved = make([]int32, len(r.endpoints))
	old := 0
	for i := range endpoints {
		e := &endpoints[i]
		for old < len(moved) && r.endpoints[old].addr.Compare(e.addr) < 0 {
			moved[old] = removed
			old++
		}
		if old < len(moved) && r.endpoints[old] == *e {
			moved[old] = int32(i)
			old++
			continue
		}
		added = e.appendPoints(added, uint32(i))
	}
	for ; old < len(moved); old++ {
		moved[old] = removed
	}
	return moved, added
}

func (e *endpoint) appendPoints(points []point, index uint32) []point {
	for i := range e.points() {
		p := uint64(position(e.id, i))<<positionBits | uint64(index)
		points = append(points, point(p))
	}
	return points
}

// merge joins the points of r that are taken over, with their new indices, and
// the added ones. Indices keep their order, so the points do too.
func (r *ring) merge(moved []int32, added []point) []point {
	out := make([]point, 0, len(r.points)+len(added))
	for _, p := range r.points {
		index := moved[p.endpoint()]
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
