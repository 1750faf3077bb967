// Package lifecycle has helpers for the long-running parts of a process: a sleep that
// ends with a context, a stop request that may be repeated, and an HTTP server that
// shuts down with a context.
package lifecycle

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d. It reports whether the time passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Stopper is a stop request that may be repeated. Its methods are safe for
// concurrent use.
type Stopper struct {
	requested chan struct{}
	once      sync.Once
}

// NewStopper returns a stopper on which no stop has been requested.
func NewStopper() *Stopper { return &Stopper{requested: make(chan struct{})} }

// Stop requests the stop.
func (s *Stopper) Stop() { s.once.Do(func() { close(s.requested) }) }

// Requested returns a channel that is closed once a stop is requested.
func (s *Stopper) Requested() <-chan struct{} { return s.requested }

// Stopping reports whether a stop has been requested.
func (s *Stopper) Stopping() bool {
	select {
	case <-s.requested:
		return true
	default:
		return false
	}
}

// Wait waits until a stop is requested or ctx ends. It reports whether a stop was
// requested.
func (s *Stopper) Wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.requested:
		return true
	}
}
