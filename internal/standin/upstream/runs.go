package upstream

import "sync"

// Runs records every run of every request over all upstreams, to detect
// duplicate runs and attempts reported as not-run although they ran. It is safe
// for concurrent use.
type Runs struct {
	mu         sync.Mutex
	byID       map[string][]uint8 // request ID to the runs of each attempt; index 0 is attempt 1
	duplicates uint64
}

// maxRunsCounted is the largest count that a uint8 holds.
const maxRunsCounted = 255

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{byID: map[string][]uint8{}} }

// Start records that an attempt starts to run. It counts a duplicate when any
// attempt of a non-idempotent request ran before.
func (r *Runs) Start(id string, attempt int, idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.byID[id]
	ranBefore := false
	for _, n := range attempts {
		ranBefore = ranBefore || n > 0
	}
	if ranBefore && !idempotent {
		r.duplicates++
	}
	for len(attempts) < attempt {
		attempts = append(attempts, 0)
	}
	if attempts[attempt-1] < maxRunsCounted {
		attempts[attempt-1]++
	}
	r.byID[id] = attempts
}

// Ran reports whether the attempt has run.
func (r *Runs) Ran(id string, attempt int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.byID[id]
	return attempt <= len(attempts) && attempts[attempt-1] > 0
}

// Duplicates returns how many runs of non-idempotent requests followed an
// earlier run of the same request.
func (r *Runs) Duplicates() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duplicates
}

// Requests returns the number of requests that ran.
func (r *Runs) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}
