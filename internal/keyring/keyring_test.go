package keyring

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func newRing(t *testing.T, signing uint8, ids ...uint8) *Ring {
	t.Helper()
	var generations []Generation
	for _, id := range ids {
		generations = append(generations, Generation{ID: id, Secret: [SecretSize]byte{id}})
	}
	r, err := New(generations, signing)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestKeysDifferByPurposeAndGeneration(t *testing.T) {
	is := is.New(t)
	r := newRing(t, 1, 1, 2)
	seen := map[uint64]bool{}
	for _, id := range []uint8{1, 2} {
		for p := range purposeCount {
			sum, ok := r.MAC(id, p, []byte("data"))
			is.True(ok)
			is.True(!seen[sum])
			seen[sum] = true
		}
	}
	_, ok := r.MAC(3, PurposeToken, nil)
	is.True(!ok)
}

func TestRotationOverlaps(t *testing.T) {
	is := is.New(t)
	before := newRing(t, 1, 1)
	overlap := newRing(t, 2, 1, 2)
	after := newRing(t, 2, 2)
	sum, _ := before.MAC(before.SigningGeneration(), PurposeToken, []byte("flow"))
	again, ok := overlap.MAC(1, PurposeToken, []byte("flow"))
	is.True(ok)
	is.Equal(sum, again)
	is.True(!after.Accepts(1))
	is.True(before.ResetKey() != after.ResetKey())
}

func TestNewNeedsSigningKey(t *testing.T) {
	is := is.New(t)
	_, err := New([]Generation{{ID: 1}}, 2)
	is.True(errors.Is(err, ErrNoSigningKey))
}

func TestMACDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := newRing(t, 1, 1)
	data := make([]byte, 54)
	is.Equal(testing.AllocsPerRun(100, func() { r.MAC(1, PurposeDatagram, data) }), 0.0)
}

func TestResetKeysCoverAllGenerations(t *testing.T) {
	is := is.New(t)
	r := newRing(t, 2, 1, 2)
	keys := r.ResetKeys()
	is.Equal(len(keys), 2)
	is.Equal(keys[1], r.ResetKey())
	is.True(keys[0] != keys[1])
}
