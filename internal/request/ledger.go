package request

import (
	"slices"
	"time"
)

const (
	// MaxKeyBytes is the longest accepted Idempotency-Key.
	MaxKeyBytes = 256
	// entryBytes is the assumed cost of an entry besides its key and answer.
	entryBytes = 256
	// reserveShare is one over the part of the ledger that only tombstones of
	// refused requests may use.
	reserveShare = 4
)

// LedgerLimits bound the ledger's memory.
type LedgerLimits struct {
	Entries int
	Bytes   int
}

// DefaultLedgerLimits are the bounds of an agent.
var DefaultLedgerLimits = LedgerLimits{Entries: 1 << 16, Bytes: 32 << 20}

// entryState is what the ledger knows of a key.
type entryState uint8

const (
	stateActive     entryState = iota + 1 // a request of this agent is under way
	stateRan                              // ran whole; answer may hold the copy
	stateUnknown                          // handed over, and its end can't be known
	stateTombstoned                       // refused here; attempts up to attempt never start
	stateMoved                            // moved may know the end, or holds the claim
)

// entry is what became of one key.
type entry struct {
	key     string
	state   entryState
	attempt int       // the highest attempt seen
	claim   bool      // this agent alone decides whether the key may run
	granted time.Time // stateMoved: when the claim went to moved, zero when it did not
	reason  Reason
	answer  *Response
	moved   AgentRef
	ends    uint64 // number of the last end, 0 while active
	bytes   int
}

// ledger keeps the outcomes of non-idempotent requests for the retention.
// Active entries stay until they end; ended ones until they expire.
type ledger struct {
	limits    LedgerLimits
	retention time.Duration
	entries   map[string]*entry
	bytes     int
	ended     []expiry // by the time of ending
	ends      uint64   // ends so far
	head      int      // first of ended that is still in use
}

// expiry is when one end of an entry is forgotten. It is stale when the entry
// was opened again since.
type expiry struct {
	key string
	end uint64
	at  time.Time
}

func newLedger(limits LedgerLimits, retention time.Duration) ledger {
	return ledger{limits: limits, retention: retention, entries: map[string]*entry{}}
}

func (l *ledger) find(key string) *entry { return l.entries[key] }

// hasRoom reports whether a new key may become active. The rest is kept for
// tombstones.
func (l *ledger) hasRoom() bool {
	reserve := l.limits.Entries / reserveShare
	return len(l.entries) < l.limits.Entries-reserve && l.bytes < l.limits.Bytes-l.limits.Bytes/reserveShare
}

// hasReserve reports whether a tombstone for a new key fits.
func (l *ledger) hasReserve() bool {
	return len(l.entries) < l.limits.Entries && l.bytes+MaxKeyBytes+entryBytes <= l.limits.Bytes
}

// add makes an active entry. The caller has asked hasRoom or hasReserve.
func (l *ledger) add(key string, attempt int, claim bool) *entry {
	e := &entry{key: key, state: stateActive, attempt: attempt, claim: claim}
	e.bytes = len(key) + entryBytes
	l.bytes += e.bytes
	l.entries[key] = e
	return e
}

// reopen makes an ended entry active for a later attempt.
func (l *ledger) reopen(e *entry, attempt int) {
	e.state = stateActive
	e.attempt = max(e.attempt, attempt)
	e.ends = 0
}

// end sets the outcome of an entry and starts its retention.
func (l *ledger) end(now time.Time, e *entry, state entryState, reason Reason) {
	e.state = state
	e.reason = reason
	l.ends++
	e.ends = l.ends
	if len(l.ended)-l.head > 2*len(l.entries)+minCompact {
		l.compact()
	}
	l.ended = append(l.ended, expiry{key: e.key, end: e.ends, at: now.Add(l.retention)})
}

// compact drops the stale ends, which repeated attempts at a key leave behind.
func (l *ledger) compact() {
	l.ended = slices.DeleteFunc(l.ended[l.head:], func(x expiry) bool {
		e := l.entries[x.key]
		return e == nil || e.ends != x.end
	})
	l.head = 0
}

// keep stores the copy of an answer if the bytes allow it.
func (l *ledger) keep(e *entry, a *Response) {
	if a == nil {
		return
	}
	size := len(a.Body) + len(a.ContentType)
	if size > MaxResponseBytes+len(a.ContentType) || l.bytes+size > l.limits.Bytes {
		return
	}
	e.answer = a
	e.bytes += size
	l.bytes += size
}

// expire forgets entries whose retention is over.
func (l *ledger) expire(now time.Time) {
	for l.head < len(l.ended) && !now.Before(l.ended[l.head].at) {
		x := l.ended[l.head]
		l.ended[l.head] = expiry{}
		l.head++
		if e := l.entries[x.key]; e != nil && e.ends == x.end {
			l.bytes -= e.bytes
			delete(l.entries, x.key)
		}
	}
	if 2*l.head > len(l.ended) {
		l.ended = append(l.ended[:0], l.ended[l.head:]...)
		l.head = 0
	}
}
