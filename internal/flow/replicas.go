package flow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ReplicaCount is the number of entries that store the owner of each flow, besides
// the entry that receives its packets.
const ReplicaCount = 2

// Replicas are the entries that store the owner of a flow, highest rank first.
type Replicas [ReplicaCount]Endpoint

// Has reports whether the entry is one of the replicas.
func (h Replicas) Has(e Endpoint) bool { return h[0] == e || h[1] == e }

// ReplicasOf returns the entries with the highest rank for the flow by rendezvous
// hashing. The result depends only on the flow and the set of entries.
func ReplicasOf(k Key, entries []Endpoint) Replicas {
	var h Replicas
	var best [ReplicaCount]uint64
	hash := k.Hash()
	for _, e := range entries {
		s := rank(hash, e)
		switch {
		case h[0].IsZero() || s > best[0]:
			h[1], best[1] = h[0], best[0]
			h[0], best[0] = e, s
		case h[1].IsZero() || s > best[1]:
			h[1], best[1] = e, s
		}
	}
	return h
}

// rank returns the rendezvous score of an endpoint for a hash.
func rank(hash uint64, e Endpoint) uint64 {
	var b [8 + endpointSize]byte
	binary.LittleEndian.PutUint64(b[:], hash)
	copy(b[8:], e[:])
	return xxhash.Sum64(b[:])
}
