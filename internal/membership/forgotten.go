package membership

import "net/netip"

// maxForgotten bounds the addresses whose last incarnation is remembered.
const maxForgotten = 1 << 16

// forgotten remembers, for addresses whose record was dropped, the lowest
// incarnation that may still be learned. The oldest address gives way.
type forgotten struct {
	lowest map[netip.AddrPort]uint64
	order  []netip.AddrPort
}

func (f *forgotten) add(a netip.AddrPort, lowest uint64) {
	if f.lowest == nil {
		f.lowest = map[netip.AddrPort]uint64{}
	}
	if _, known := f.lowest[a]; !known {
		f.order = append(f.order, a)
	}
	f.lowest[a] = max(f.lowest[a], lowest)
	if len(f.order) > maxForgotten {
		delete(f.lowest, f.order[0])
		f.order = f.order[1:]
	}
}

// admits reports whether the record is not of an earlier incarnation.
func (f *forgotten) admits(r *Record) bool { return r.Incarnation >= f.lowest[r.Addr] }
