package upstream

import "sync"

// Runs records every run of every request over all upstreams. It is the
// oracle for doubled runs and false refusals, and is safe for concurrent use.
type Runs struct {
	mu      sync.Mutex
	byID    map[string][]uint8 // runs of each attempt, from attempt 1
	doubled uint64
}

// maxRunsCounted bounds the count of one attempt's runs.
const maxRunsCounted = 255

// NewRuns returns an empty record.
func NewRuns() *Runs { return &Runs{byID: map[string][]uint8{}} }

// Start records that an attempt starts to run. Only non-idempotent requests
// count as doubled when any attempt ran before.
func (r *Runs) Start(id string, attempt int, idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts := r.byID[id]
	ranBefore := false
	for _, n := range attempts {
		ranBefore = ranBefore || n > 0
	}
	if ranBefore && !idempotent {
		r.doubled++
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

// Duplicates returns how often a non-idempotent request ran again.
func (r *Runs) Duplicates() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doubled
}

// Requests returns the number of requests that ran.
func (r *Runs) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}
