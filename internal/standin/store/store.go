// Package store simulates the platform's object API: revisions, conditional
// updates, watches with compaction, rate limits, restores from a copy, and faults that
// can be switched on.
package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/standin/backup"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// defaultHistory is the default of Options.History.
const defaultHistory = 4096

// ErrCompacted reports a watch from a revision that was removed from the history.
var ErrCompacted = errors.New("store: revision compacted")

// Condition is the precondition of a write. The zero value matches no object.
type Condition struct {
	Absent   bool   // the object must not exist
	Revision uint64 // the object must exist at this revision
}

// state stores the objects and their recent changes. It is safe for concurrent use.
type state struct {
	mu           sync.Mutex
	revision     uint64
	compacted    uint64 // watches from an earlier revision must list again
	objects      map[config.ID]config.Object
	history      []config.Object // changes, oldest first
	historyLimit int
	changed      chan struct{} // closed and replaced at every change
	era          uint64        // rises with every restore
	copies       *backup.Copies[snapshot]
}

// snapshot is the content of the store.
type snapshot struct {
	revision uint64
	objects  map[config.ID]config.Object
}

func (s snapshot) clone() snapshot {
	return snapshot{revision: s.revision, objects: maps.Clone(s.objects)}
}

const firstEra = 1

func newState(history int) *state {
	if history <= 0 {
		history = defaultHistory
	}
	objects := map[config.ID]config.Object{}
	return &state{
		objects:      objects,
		historyLimit: history,
		changed:      make(chan struct{}),
		era:          firstEra,
		copies:       backup.New(snapshot{objects: objects}, snapshot.clone),
	}
}

func (s *state) get(id config.ID) (config.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[id]
	return o, ok
}

func (s *state) list(kind string) (uint64, []config.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []config.Object{}
	for id, o := range s.objects {
		if id.Kind == kind {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b config.Object) int { return strings.Compare(a.Name, b.Name) })
	return s.revision, out
}

// write stores value, or deletes the object when value is nil. It returns the
// new object, or the current one and false when the condition does not hold.
func (s *state) write(id config.ID, cond Condition, value []byte) (config.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[id]
	if !conditionHolds(cond, current, exists) {
		if !exists {
			current = config.Object{Kind: id.Kind, Name: id.Name, Deleted: true}
		}
		return current, false
	}
	s.revision++
	o := config.Object{Kind: id.Kind, Name: id.Name, Revision: s.revision, Value: value}
	if value == nil {
		o.Deleted = true
		delete(s.objects, id)
	} else {
		s.objects[id] = o
	}
	s.appendHistory(o)
	s.copies.Record(time.Now(), snapshot{revision: s.revision, objects: s.objects})
	return o, true
}

// restore replaces the content by a copy of the given age. Later changes are lost, their
// revisions are given out again, the history is gone and the era rises by one.
func (s *state) restore(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.copies.Restore(now, age)
	s.revision, s.objects = restored.revision, restored.objects
	s.history, s.compacted = nil, s.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func conditionHolds(cond Condition, current config.Object, exists bool) bool {
	if cond.Absent {
		return !exists
	}
	return exists && cond.Revision == current.Revision
}

func (s *state) appendHistory(o config.Object) {
	s.history = append(s.history, o)
	if len(s.history) > s.historyLimit {
		dropped := len(s.history) - s.historyLimit
		s.compacted = s.history[dropped-1].Revision
		s.history = slices.Clone(s.history[dropped:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact removes all history, so that watches from an earlier revision must list
// again.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the current revision, the last change after from of each object of
// the kinds, and a channel that is closed at the next change.
func (s *state) since(kinds []string, from uint64) (uint64, []config.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compacted || from > s.revision {
		return s.revision, nil, nil, ErrCompacted
	}
	last := map[config.ID]config.Object{}
	for _, o := range s.history {
		if o.Revision > from && slices.Contains(kinds, o.Kind) {
			last[o.ID()] = o
		}
	}
	out := []config.Object{}
	for _, o := range last {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b config.Object) int { return int(a.Revision) - int(b.Revision) })
	return s.revision, out, s.changed, nil
}

// wait returns the changes after from. It blocks until there is one or ctx ends;
// the end of ctx is not an error.
func (s *state) wait(ctx context.Context, kinds []string, from uint64) (uint64, []config.Object, error) {
	for {
		revision, objects, changed, err := s.since(kinds, from)
		if err != nil || len(objects) > 0 {
			return revision, objects, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return revision, objects, nil
		}
	}
}
