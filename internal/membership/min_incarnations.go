package membership

import "net/netip"

// maxDroppedAddrs bounds the addresses whose minimum incarnation is kept.
const maxDroppedAddrs = 1 << 16

// minIncarnations holds, for addresses whose record was dropped, the lowest
// incarnation that is still accepted. The oldest address is evicted first.
type minIncarnations struct {
	lowest map[netip.AddrPort]uint64
	order  []netip.AddrPort
}

func (f *minIncarnations) add(a netip.AddrPort, lowest uint64) {
	if f.lowest == nil {
		f.lowest = map[netip.AddrPort]uint64{}
	}
	if _, known := f.lowest[a]; !known {
		f.order = append(f.order, a)
	}
	f.lowest[a] = max(f.lowest[a], lowest)
	if len(f.order) > maxDroppedAddrs {
		delete(f.lowest, f.order[0])
		f.order = f.order[1:]
	}
}

// accepts reports whether the record's incarnation is not below the minimum.
func (f *minIncarnations) accepts(r *Record) bool { return r.Incarnation >= f.lowest[r.Addr] }
