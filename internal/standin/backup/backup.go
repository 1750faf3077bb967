// Package backup keeps copies of the content of a simulated store, from which the store
// is restored in tests and trials.
package backup

import "time"

// retention is the age up to which the content can be restored: restores go back by
// seconds.
const retention = time.Minute

// Copies are copies of a store's content after each change of the last minute. They are
// not safe for concurrent use.
type Copies[T any] struct {
	clone  func(T) T
	copies []contentCopy[T] // oldest first, never empty
}

type contentCopy[T any] struct {
	at      time.Time
	content T
}

// New returns copies of a store that had the initial content up to its first change.
func New[T any](initial T, clone func(T) T) *Copies[T] {
	return &Copies[T]{clone: clone, copies: []contentCopy[T]{{content: clone(initial)}}}
}

// Record keeps a copy of the content after a change.
func (c *Copies[T]) Record(now time.Time, content T) {
	expired := 0
	for i := range c.copies {
		if now.Sub(c.copies[i].at) > retention {
			expired = i // the last one of them is the content at that age
		}
	}
	c.copies = append(c.copies[expired:], contentCopy[T]{at: now, content: c.clone(content)})
}

// Restore returns the content of the given age, or the oldest one if that is younger,
// and drops the later copies.
func (c *Copies[T]) Restore(now time.Time, age time.Duration) T {
	restored := c.copies[0]
	for _, o := range c.copies {
		if now.Sub(o.at) >= age {
			restored = o
		}
	}
	c.copies = []contentCopy[T]{restored}
	return c.clone(restored.content)
}
