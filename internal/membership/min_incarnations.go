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

func (m *minIncarnations) add(a netip.AddrPort, lowest uint64) {
	if m.lowest == nil {
		m.lowest = map[netip.AddrPort]uint64{}
	}
	if _, known := m.lowest[a]; !known {
		m.order = append(m.order, a)
	}
	m.lowest[a] = max(m.lowest[a], lowest)
	if len(m.order) > maxDroppedAddrs {
		delete(m.lowest, m.order[0])
		m.order = m.order[1:]
	}
}

// accepts reports whether the record's incarnation is not below the minimum.
func (m *minIncarnations) accepts(r *Record) bool { return r.Incarnation >= m.lowest[r.Addr] }
