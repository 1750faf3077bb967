// Package lifecycle has what every long-running part of a process needs: pauses
// that end with a context, and requests to stop that may be made again.
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

// Stopper is a request to stop that may be made again. Its methods are safe for
// concurrent use.
type Stopper struct {
	requested chan struct{}
	once      sync.Once
}

// NewStopper returns a stopper without a request.
func NewStopper() *Stopper { return &Stopper{requested: make(chan struct{})} }

// Stop makes the request.
func (s *Stopper) Stop() { s.once.Do(func() { close(s.requested) }) }

// Requested is closed once the request was made.
func (s *Stopper) Requested() <-chan struct{} { return s.requested }

// Stopping reports whether the request was made.
func (s *Stopper) Stopping() bool {
	select {
	case <-s.requested:
		return true
	default:
		return false
	}
}

// Wait returns when the request was made, which it reports, or ctx ended.
func (s *Stopper) Wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.requested:
		return true
	}
}
