package backup

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a restore that returns content of another age, or content that a later
// change of the store altered.
func TestRestore(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	record := func(seconds ...int) *Copies[map[string]int] {
		content := map[string]int{}
		c := New(content, maps.Clone[map[string]int])
		for _, s := range seconds {
			content["written"] = s
			c.Record(at(s), content)
		}
		return c
	}
	for name, tt := range map[string]struct {
		changes  []int
		now, age int
		want     int // 0: the initial content
	}{
		"before the first change":       {changes: []int{10, 20}, now: 25, age: 16},
		"between two changes":           {changes: []int{10, 20}, now: 25, age: 6, want: 10},
		"at a change":                   {changes: []int{10, 20}, now: 25, age: 5, want: 20},
		"content older than the minute": {changes: []int{10, 100}, now: 100, age: 60, want: 10},
		"older than all that are kept":  {changes: []int{10, 100, 170}, now: 170, age: 170, want: 100},
		"no change":                     {now: 25, age: 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := record(tt.changes...).Restore(at(tt.now), time.Duration(tt.age)*time.Second)
			is.Equal(got["written"], tt.want)
		})
	}
}

// Guards against a second restore that brings back a change that the first one dropped.
func TestRestoreDropsLaterCopies(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := New(0, func(n int) int { return n })
	c.Record(start, 1)
	c.Record(start.Add(2*time.Second), 2)
	is.Equal(c.Restore(start.Add(3*time.Second), 2*time.Second), 1)
	is.Equal(c.Restore(start.Add(3*time.Second), 0), 1)
}
