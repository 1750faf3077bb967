package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/platform"
)

// memStore is an in-memory platform store that can be made unavailable and restored from
// a copy. Its revisions contain its era.
type memStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[config.ID]config.Object
	changed  chan struct{}
	down     bool
	calls    int
}

func newMemStore() *memStore {
	return &memStore{revision: config.JoinRevision(1, 0), objects: map[config.ID]config.Object{}, changed: make(chan struct{})}
}

// copied returns the content of the store, for a later restore.
func (s *memStore) copied() memCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return memCopy{revision: s.revision, objects: maps.Clone(s.objects)}
}

type memCopy struct {
	revision uint64
	objects  map[config.ID]config.Object
}

// restore replaces the content by a copy, in the next era.
func (s *memStore) restore(c memCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := config.EraOf(s.revision) + 1
	s.revision = config.JoinRevision(era, config.StoreRevision(c.revision))
	s.objects = map[config.ID]config.Object{}
	for id, o := range c.objects {
		o.Revision = config.JoinRevision(era, config.StoreRevision(o.Revision))
		s.objects[id] = o
	}
	s.notifyWatches()
}

// countCalls adds the number of calls that the platform's API takes for an
// operation, and returns an error when the store is down or ctx has ended.
func (s *memStore) countCalls(ctx context.Context, calls int) error {
	s.calls += calls
	if s.down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

// snapshotSince returns the objects of the kinds with a revision above from.
func (s *memStore) snapshotSince(from uint64, kinds []string) platform.Snapshot {
	out := platform.Snapshot{Revision: s.revision}
	for _, o := range s.objects {
		if o.Revision > from && slices.Contains(kinds, o.Kind) {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(x, y config.Object) int { return strings.Compare(x.Name, y.Name) })
	return out
}

func (s *memStore) List(ctx context.Context, kinds ...string) (platform.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCalls(ctx, len(kinds)); err != nil {
		return platform.Snapshot{}, err
	}
	return s.snapshotSince(0, kinds), nil
}

func (s *memStore) Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...string) (platform.Snapshot, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			s.calls++
		}
		if s.down {
			s.mu.Unlock()
			return platform.Snapshot{}, platform.ErrUnavailable
		}
		if config.EraOf(from) != config.EraOf(s.revision) {
			s.mu.Unlock()
			return platform.Snapshot{}, platform.ErrCompacted
		}
		got, changed := s.snapshotSince(from, kinds), s.changed
		s.mu.Unlock()
		if len(got.Objects) > 0 {
			return got, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return got, nil
		case <-ctx.Done():
			return platform.Snapshot{}, ctx.Err()
		}
	}
}

func (s *memStore) Create(ctx context.Context, id config.ID, value []byte) (config.Object, error) {
	return s.write(ctx, id, 0, value)
}

func (s *memStore) Update(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error) {
	return s.write(ctx, id, expected, value)
}

func (s *memStore) write(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCalls(ctx, 1); err != nil {
		return config.Object{}, err
	}
	current := s.objects[id]
	if current.Revision != expected {
		return config.Object{}, &platform.ConflictError{ID: id, Expected: expected, Current: &current}
	}
	s.revision++
	o := config.Object{Kind: id.Kind, Name: id.Name, Revision: s.revision, Value: value}
	o.SetVersion()
	s.objects[id] = o
	s.notifyWatches()
	return o, nil
}

func (s *memStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// put writes an object, also while the store is down, and returns its revision.
func (s *memStore) put(t *testing.T, kind, name string, v any) uint64 {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	expected := s.objects[config.ID{Kind: kind, Name: name}].Revision
	down := s.down
	s.down = false
	s.mu.Unlock()
	o, err := s.write(context.Background(), config.ID{Kind: kind, Name: name}, expected, value)
	if err != nil {
		t.Fatal(err)
	}
	s.setDown(down)
	return o.Revision
}
