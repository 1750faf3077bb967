// Package store is a stand-in for the platform's object API: versions,
// conditional updates, watches with compaction, rate limits, and faults that
// can be switched on.
package store

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// MaxValueBytes is the largest value of an object.
const MaxValueBytes = 1 << 20

// defaultHistory is the number of changes that watches can resume over.
const defaultHistory = 4096

// ErrCompacted reports a watch from a revision that is no longer kept.
var ErrCompacted = errors.New("store: revision compacted")

// Condition guards a write. The zero value matches nothing.
type Condition struct {
	Absent   bool   // the object must not exist
	Revision uint64 // the object must exist at this revision
}

// state holds the objects. It is safe for concurrent use.
type state struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64 // watches from below this revision must list again
	objects   map[config.ID]config.Object
	history   []config.Object // changes, oldest first
	limit     int
	changed   chan struct{} // closed and replaced at every change
}

func newState(history int) *state {
	if history <= 0 {
		history = defaultHistory
	}
	return &state{
		objects: map[config.ID]config.Object{},
		limit:   history,
		changed: make(chan struct{}),
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
	if !holds(cond, current, exists) {
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
	s.record(o)
	return o, true
}

func holds(cond Condition, current config.Object, exists bool) bool {
	if cond.Absent {
		return !exists
	}
	return exists && cond.Revision == current.Revision
}

func (s *state) record(o config.Object) {
	s.history = append(s.history, o)
	if len(s.history) > s.limit {
		dropped := len(s.history) - s.limit
		s.compacted = s.history[dropped-1].Revision
		s.history = slices.Clone(s.history[dropped:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops all history, so that open watches must list again.
func (s *state) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the last change of every object of the kinds after from, and
// a channel that is closed at the next change.
func (s *state) since(kinds []string, from uint64) (uint64, []config.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compacted {
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

// wait returns the changes after from; it blocks until there is one or ctx
// ends, which is no error.
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
