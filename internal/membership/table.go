package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which each table is divided for repair.
const Buckets = 256

// member is a record with the local state of this process about it.
type member struct {
	Record
	seq             uint64    // local sequence number of the last change
	changedAt       time.Time // local time of the last change
	finalProbeUntil time.Time // until then a failed probe declares the suspect dead
	listIndex       int       // index in the list of listOf, -1 when in none
}

// serviceGroup contains the agents of one service.
type serviceGroup struct {
	members map[netip.AddrPort]*member
	seq     uint64 // highest sequence number of a change among the members
}

// table contains the records of all known processes except the own one.
type table struct {
	seq             *uint64
	buckets         [Buckets]map[netip.AddrPort]*member
	hashes          [Buckets]uint32
	entries         []*member // members that are not final
	agents          []*member
	dead            []*member // declared dead and not yet dropped
	suspects        map[netip.AddrPort]*member
	services        map[uint16]*serviceGroup
	size            int
	minIncarnations minIncarnations
}

func newTable(seq *uint64) *table {
	t := &table{seq: seq, suspects: map[netip.AddrPort]*member{}, services: map[uint16]*serviceGroup{}}
	for i := range t.buckets {
		t.buckets[i] = map[netip.AddrPort]*member{}
	}
	return t
}

// addrKey returns the 64-bit key of a member in listings; its low byte is the
// bucket.
func addrKey(a netip.AddrPort) uint64 {
	ip := a.Addr().As4()
	b := [6]byte{ip[0], ip[1], ip[2], ip[3], byte(a.Port() >> 8), byte(a.Port())}
	return xxhash.Sum64(b[:])
}

func bucketOf(key uint64) uint8 { return uint8(key) }

// stateHash returns a hash of the address, incarnation, version and state.
func (r *Record) stateHash() uint32 {
	v := r.Incarnation*0x9E3779B97F4A7C15 ^ uint64(r.Version)<<8 ^ uint64(r.State)
	v ^= addrKey(r.Addr)
	v *= 0xD6E8FEB86659FD93
	return uint32(v >> 32)
}

func (t *table) get(a netip.AddrPort) *member {
	return t.buckets[bucketOf(addrKey(a))][a]
}

// put stores a record that supersedes the known one, if any.
func (t *table) put(now time.Time, r *Record) *member {
	b := bucketOf(addrKey(r.Addr))
	m := t.buckets[b][r.Addr]
	if m == nil {
		m = &member{listIndex: -1}
		t.buckets[b][r.Addr] = m
		t.size++
	} else {
		t.unindex(m)
	}
	*t.seq++
	m.Record = *r
	m.seq = *t.seq
	m.changedAt = now
	m.finalProbeUntil = time.Time{}
	t.index(m)
	return m
}

// drop removes a member and records the lowest incarnation that is accepted again.
func (t *table) drop(m *member) {
	lowest := m.Incarnation
	if m.State.Final() {
		lowest++
	}
	t.minIncarnations.add(m.Addr, lowest)
	t.unindex(m)
	delete(t.buckets[bucketOf(addrKey(m.Addr))], m.Addr)
	t.size--
}

func (t *table) index(m *member) {
	if m.Role == RoleAgent {
		t.addToGroup(m)
	}
	if !m.State.Final() {
		t.hashes[bucketOf(addrKey(m.Addr))] ^= m.stateHash()
	}
	if m.State == StateLeft {
		return
	}
	list := t.listOf(&m.Record)
	m.listIndex = len(*list)
	*list = append(*list, m)
	if m.State == StateSuspect {
		t.suspects[m.Addr] = m
	}
}

func (t *table) unindex(m *member) {
	if m.Role == RoleAgent {
		delete(t.services[m.Service].members, m.Addr)
	}
	if !m.State.Final() {
		t.hashes[bucketOf(addrKey(m.Addr))] ^= m.stateHash()
	}
	if m.listIndex < 0 {
		return
	}
	list := t.listOf(&m.Record)
	last := (*list)[len(*list)-1]
	(*list)[m.listIndex] = last
	last.listIndex = m.listIndex
	*list = (*list)[:len(*list)-1]
	m.listIndex = -1
	delete(t.suspects, m.Addr)
}

func (t *table) addToGroup(m *member) {
	g := t.services[m.Service]
	if g == nil {
		g = &serviceGroup{members: map[netip.AddrPort]*member{}}
		t.services[m.Service] = g
	}
	g.members[m.Addr] = m
	g.seq = max(g.seq, m.seq)
}

// listOf returns the list to which a record belongs.
func (t *table) listOf(r *Record) *[]*member {
	if r.State == StateDead {
		return &t.dead
	}
	if r.Role == RoleEntry {
		return &t.entries
	}
	return &t.agents
}

// alive returns the number of members that are not final.
func (t *table) alive() int { return len(t.entries) + len(t.agents) }
