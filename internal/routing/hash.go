package routing

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	addrSize = 16
	portSize = 2
	pairSize = 16
)

func hashPair(a, b uint64) uint64 {
	var pair [pairSize]byte
	binary.LittleEndian.PutUint64(pair[:], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}

func hashAddr(a netip.AddrPort) uint64 {
	var b [addrSize + portSize]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[addrSize:], a.Port())
	return xxhash.Sum64(b[:])
}

// flowKey returns the hash of a new flow's caller address and of the
// connection ID that the caller chose.
func flowKey(caller netip.AddrPort, id []byte) uint64 {
	return hashPair(hashAddr(caller), xxhash.Sum64(id))
}
