// Package keyring derives and selects the symmetric keys of the fleet.
//
// A generation is one secret from the platform's store. Tokens, datagrams and
// control messages are signed with the signing generation and accepted with
// any known generation, so that old and new keys are both valid during rotation.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
)

// SecretSize is the length of a generation's secret in bytes.
const SecretSize = 32

const (
	macKeySize     = 16
	resetKeySize   = 32
	halfMACKeySize = 8
)

// ErrNoSigningKey reports a ring without a signing generation.
var ErrNoSigningKey = errors.New("keyring: no signing generation")

// Purpose selects one of the derived MAC keys of a generation.
type Purpose uint8

// Purposes of the derived keys.
const (
	PurposeToken Purpose = iota
	PurposeDatagram
	PurposeControl
	PurposeCheckpoint
	purposeCount
)

// Generation is a secret and its identifier.
type Generation struct {
	ID     uint8
	Secret [SecretSize]byte
}

type macKey struct{ k0, k1 uint64 }

type derivedKeys struct {
	mac   [purposeCount]macKey
	reset [resetKeySize]byte
}

// Ring holds the derived keys of all accepted generations. It is immutable
// and safe for concurrent use.
type Ring struct {
	signing     uint8
	generations [256]*derivedKeys
	count       int
}

// New derives the keys of all generations. The signing identifier must name
// one of them, otherwise ErrNoSigningKey is returned.
func New(generations []Generation, signing uint8) (*Ring, error) {
	r := &Ring{signing: signing, count: len(generations)}
	for _, g := range generations {
		d, err := derive(g.Secret)
		if err != nil {
			return nil, err
		}
		r.generations[g.ID] = d
	}
	if r.generations[signing] == nil {
		return nil, ErrNoSigningKey
	}
	return r, nil
}

func derive(secret [SecretSize]byte) (*derivedKeys, error) {
	d := &derivedKeys{}
	labels := [purposeCount]string{"token", "datagram", "control", "checkpoint"}
	for p, label := range labels {
		raw, err := hkdf.Key(sha256.New, secret[:], nil, "crocusnotch "+label, macKeySize)
		if err != nil {
			return nil, errors.Wrap(err, "derive MAC key")
		}
		d.mac[p] = macKey{k0: littleEndian(raw[:halfMACKeySize]), k1: littleEndian(raw[halfMACKeySize:])}
	}
	raw, err := hkdf.Key(sha256.New, secret[:], nil, "crocusnotch reset", resetKeySize)
	if err != nil {
		return nil, errors.Wrap(err, "derive reset key")
	}
	copy(d.reset[:], raw)
	return d, nil
}

func littleEndian(b []byte) uint64 {
	var v uint64
	for i, c := range b {
		v |= uint64(c) << (8 * i)
	}
	return v
}

// SigningGeneration returns the identifier of the signing generation.
func (r *Ring) SigningGeneration() uint8 { return r.signing }

// Len returns the number of accepted generations.
func (r *Ring) Len() int { return r.count }

// Accepts reports whether the generation is known.
func (r *Ring) Accepts(generation uint8) bool { return r.generations[generation] != nil }

// MAC returns the 64-bit SipHash of data under the generation's key for the
// purpose; ok is false when the generation is unknown. It does not allocate.
func (r *Ring) MAC(generation uint8, p Purpose, data []byte) (sum uint64, ok bool) {
	d := r.generations[generation]
	if d == nil {
		return 0, false
	}
	k := d.mac[p]
	return siphash.Hash(k.k0, k.k1, data), true
}

// ResetKey returns the key for QUIC stateless resets of the signing
// generation. It is the same in every process of the fleet.
func (r *Ring) ResetKey() [resetKeySize]byte { return r.generations[r.signing].reset }

// ResetKeys returns the keys for QUIC stateless resets of all accepted
// generations.
func (r *Ring) ResetKeys() [][resetKeySize]byte {
	keys := make([][resetKeySize]byte, 0, r.count)
	for _, d := range r.generations {
		if d != nil {
			keys = append(keys, d.reset)
		}
	}
	return keys
}
