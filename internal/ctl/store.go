package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/platform"
)

// Errors of commands.
var (
	// ErrUnknownZone reports a zone that is not in the configuration.
	ErrUnknownZone = errors.New("no such availability zone")
	// ErrUnknownKey reports a key generation that does not exist.
	ErrUnknownKey = errors.New("no such key generation")
	// ErrSigningKey reports an attempt to retire the signing generation.
	ErrSigningKey = errors.New("the signing generation cannot be retired; sign with another one first")
	// ErrTooManyKeys reports an addition beyond maxGenerations.
	ErrTooManyKeys = errors.New("too many key generations; retire one first")
)

const (
	maxGenerations = 16
	firstKeyID     = 1
)

// Store is the subset of platform.Client that the commands use.
type Store interface {
	Get(ctx context.Context, id config.ID) (config.Object, error)
	List(ctx context.Context, kinds ...string) (platform.Snapshot, error)
	Create(ctx context.Context, id config.ID, value []byte) (config.Object, error)
	Update(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error)
	Delete(ctx context.Context, id config.ID, expected uint64) (config.Object, error)
}

// ListServicesAndZones reads all services and zones.
func ListServicesAndZones(ctx context.Context, s Store) ([]config.Object, error) {
	snapshot, err := s.List(ctx, config.KindZone, config.KindService)
	if err != nil {
		return nil, err
	}
	return snapshot.Objects, nil
}

// ListConfigObjects reads all objects that make up the configuration.
func ListConfigObjects(ctx context.Context, s Store) ([]config.Object, error) {
	snapshot, err := s.List(ctx, config.KindZone, config.KindService, config.KindKeys)
	if err != nil {
		return nil, err
	}
	return snapshot.Objects, nil
}

// Execute writes one change and returns the resulting object. The errors are
// those of platform.Client.
func Execute(ctx context.Context, s Store, c Change) (config.Object, error) {
	switch c.Action {
	case ActionCreate:
		return s.Create(ctx, c.ID, c.After)
	case ActionUpdate:
		return s.Update(ctx, c.ID, c.Expected, c.After)
	}
	return s.Delete(ctx, c.ID, c.Expected)
}

// PlanZone returns the change that takes a zone out of service or back into it,
// or no change if the zone already is in that state.
func PlanZone(ctx context.Context, s Store, name string, out bool) ([]Change, error) {
	id := config.ID{Kind: config.KindZone, Name: name}
	o, err := s.Get(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrUnknownZone
	}
	if err != nil {
		return nil, err
	}
	var z config.Zone
	if err := config.Decode(o.Value, &z); err != nil {
		return nil, err
	}
	if z.Out == out {
		return nil, nil
	}
	z.Out = out
	value, err := config.Encode(&z)
	if err != nil {
		return nil, err
	}
	return []Change{{ID: id, Action: ActionUpdate, Expected: o.Revision, Before: o.Value, After: value}}, nil
}

var keysID = config.ID{Kind: config.KindKeys, Name: config.KeysName}

// storedKeys reads the key object and its revision, which is 0 if it does not
// exist yet.
func storedKeys(ctx context.Context, s Store) (config.Keys, uint64, error) {
	var k config.Keys
	o, err := s.Get(ctx, keysID)
	if errors.Is(err, platform.ErrNotFound) {
		return k, 0, nil
	}
	if err != nil {
		return k, 0, err
	}
	return k, o.Revision, config.Decode(o.Value, &k)
}

// Keys reads the key generations.
func Keys(ctx context.Context, s Store) (config.Keys, error) {
	k, _, err := storedKeys(ctx, s)
	return k, err
}

// AddKey adds a generation with a random secret and returns its number. The
// processes accept tokens of the generation but do not sign with it: select it
// with SetSigningKey once it is in force in every process. The first generation
// signs immediately.
func AddKey(ctx context.Context, s Store) (uint8, error) {
	k, revision, err := storedKeys(ctx, s)
	if err != nil {
		return 0, err
	}
	if len(k.Generations) == maxGenerations {
		return 0, ErrTooManyKeys
	}
	id := nextKeyID(k)
	var secret [keyring.SecretSize]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return 0, errors.Wrap(err, "random secret")
	}
	k.Generations = append(k.Generations, config.Generation{ID: id, Secret: hex.EncodeToString(secret[:])})
	if k.Signing == 0 {
		k.Signing = id
	}
	return id, writeKeys(ctx, s, k, revision)
}

// nextKeyID returns an identifier that no generation uses. It counts up from the
// latest generation, so that identifiers are reused only after a wraparound.
func nextKeyID(k config.Keys) uint8 {
	id := uint8(firstKeyID)
	if n := len(k.Generations); n > 0 {
		id = k.Generations[n-1].ID + 1
	}
	for id == 0 || slices.ContainsFunc(k.Generations, hasID(id)) {
		id++
	}
	return id
}

func hasID(id uint8) func(config.Generation) bool {
	return func(g config.Generation) bool { return g.ID == id }
}

// SetSigningKey makes an existing generation the signing one.
func SetSigningKey(ctx context.Context, s Store, id uint8) error {
	k, revision, err := storedKeys(ctx, s)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(k.Generations, hasID(id)) {
		return ErrUnknownKey
	}
	k.Signing = id
	return writeKeys(ctx, s, k, revision)
}

// RetireKey removes a generation; flows with tokens signed by it break.
func RetireKey(ctx context.Context, s Store, id uint8) error {
	k, revision, err := storedKeys(ctx, s)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(k.Generations, hasID(id)) {
		return ErrUnknownKey
	}
	if k.Signing == id {
		return ErrSigningKey
	}
	k.Generations = slices.DeleteFunc(k.Generations, hasID(id))
	return writeKeys(ctx, s, k, revision)
}

func writeKeys(ctx context.Context, s Store, k config.Keys, revision uint64) error {
	k.Version++
	if err := config.Check(&k); err != nil {
		return err
	}
	value, err := config.Encode(&k)
	if err != nil {
		return err
	}
	if revision == 0 {
		_, err = s.Create(ctx, keysID, value)
		return err
	}
	_, err = s.Update(ctx, keysID, revision, value)
	return err
}
