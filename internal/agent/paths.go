package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	pathShards = 64
	// pathIdleTimeout is how long a caller's return path is kept after its last
	// packet. It is longer than the idle timeout of a flow.
	pathIdleTimeout = 2 * flowIdleTimeout
	// pathsPerConnection bounds the table relative to the announced connections.
	pathsPerConnection = 4
	minPaths           = 4096
)

// returnPath is the route of packets from the agent back to a caller.
type returnPath struct {
	entry       netip.AddrPort // the entry that forwarded the last packet
	destination netip.AddrPort // the service address that the caller used
	lastSeen    time.Time
}

// pathTable maps the addresses of callers to their return paths. It is safe
// for concurrent use and bounded.
type pathTable struct {
	shards [pathShards]pathShard
}

type pathShard struct {
	mu       sync.Mutex
	paths    map[netip.AddrPort]returnPath
	capacity int
}

func newPathTable() *pathTable {
	t := &pathTable{}
	for i := range t.shards {
		t.shards[i].paths = map[netip.AddrPort]returnPath{}
		t.shards[i].capacity = minPaths / pathShards
	}
	return t
}

// setCapacity sizes the table for the number of flows.
func (t *pathTable) setCapacity(flows int) {
	capacity := max(minPaths, flows*pathsPerConnection) / pathShards
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.capacity = capacity
		s.mu.Unlock()
	}
}

func (t *pathTable) shard(caller netip.AddrPort) *pathShard {
	return &t.shards[hashAddr(caller)%pathShards]
}

// put records the path of a caller; owned is true for a packet with an owner
// token. It returns false when the table is full and has no path of the caller.
func (t *pathTable) put(caller netip.AddrPort, p returnPath, owned bool) bool {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.paths[caller]
	if !known && !owned && len(s.paths) >= s.capacity {
		return false
	}
	// Packets with an owner token come from callers that completed a handshake.
	// They may use the same capacity again, so that a flood of first packets
	// can't interrupt their flows.
	if !known && len(s.paths) >= 2*s.capacity {
		return false
	}
	s.paths[caller] = p
	return true
}

func (t *pathTable) get(caller netip.AddrPort) (returnPath, bool) {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.paths[caller]
	return p, ok
}

// expire removes the paths whose last packet is older than pathIdleTimeout.
func (t *pathTable) expire(now time.Time) {
	for i := range t.shards {
		t.shards[i].expire(now.Add(-pathIdleTimeout))
	}
}

func (s *pathShard) expire(cutoff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, p := range s.paths {
		if p.lastSeen.Before(cutoff) {
			delete(s.paths, caller)
		}
	}
}

func (t *pathTable) len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.paths)
		s.mu.Unlock()
	}
	return n
}

func hashAddr(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	b[16], b[17] = byte(a.Port()>>8), byte(a.Port())
	return xxhash.Sum64(b[:])
}
