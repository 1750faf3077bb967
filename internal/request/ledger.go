package request

import (
	"slices"
	"time"
)

const (
	// MaxKeyBytes is the maximum length of an Idempotency-Key.
	MaxKeyBytes = 256
	// entryOverheadBytes is the estimated memory of an entry without its key
	// and response.
	entryOverheadBytes = 256
	// reserveDivisor sets the part of the ledger, 1/reserveDivisor, that is
	// reserved for tombstones of refused requests.
	reserveDivisor = 4
)

// LedgerLimits limit the ledger's size.
type LedgerLimits struct {
	Entries int
	Bytes   int
}

// DefaultLedgerLimits apply when Options.Ledger is zero.
var DefaultLedgerLimits = LedgerLimits{Entries: 1 << 16, Bytes: 32 << 20}

// entryState is the outcome of a key as recorded in the ledger.
type entryState uint8

const (
	stateActive     entryState = iota + 1 // a request of this agent is in progress
	stateRan                              // ran to completion; response may hold the copy
	stateUnknown                          // sent to the upstream; whether it ran can't be determined
	stateTombstoned                       // refused here; attempts up to ledgerEntry.attempt never start
	stateMoved                            // the agent in movedTo may hold the outcome, or holds the claim
)

// ledgerEntry records the outcome of one key.
type ledgerEntry struct {
	key       string
	state     entryState
	attempt   int       // the highest attempt seen
	hasClaim  bool      // only this agent decides whether the key may run
	grantedAt time.Time // stateMoved: when the claim was granted to movedTo; zero if it was not
	reason    Reason
	response  *Response
	movedTo   AgentRef
	finishSeq uint64 // sequence number of the last finish, 0 while active
	bytes     int
}

// ledger keeps the outcomes of non-idempotent requests, so that a retry with
// the same key does not run twice. Active entries stay until they finish;
// finished ones expire after the retention.
type ledger struct {
	limits        LedgerLimits
	retention     time.Duration
	entries       map[string]*ledgerEntry
	bytes         int
	expiries      []expiry // in the order of finishing
	lastFinishSeq uint64   // sequence number of the latest finish of any entry
	firstExpiry   int      // index of the first item of expiries still in use
}

// expiry is when a finished entry expires. It is stale if the entry was
// reopened since.
type expiry struct {
	key       string
	finishSeq uint64
	at        time.Time
}

func newLedger(limits LedgerLimits, retention time.Duration) ledger {
	return ledger{limits: limits, retention: retention, entries: map[string]*ledgerEntry{}}
}

func (l *ledger) find(key string) *ledgerEntry { return l.entries[key] }

// hasCapacity reports whether a new key may become active. The rest of the
// ledger is reserved for tombstones.
func (l *ledger) hasCapacity() bool {
	reserve := l.limits.Entries / reserveDivisor
	return len(l.entries) < l.limits.Entries-reserve && l.bytes < l.limits.Bytes-l.limits.Bytes/reserveDivisor
}

// hasTombstoneCapacity reports whether a tombstone for a new key fits.
func (l *ledger) hasTombstoneCapacity() bool {
	return len(l.entries) < l.limits.Entries && l.bytes+MaxKeyBytes+entryOverheadBytes <= l.limits.Bytes
}

// add creates an active entry. Callers check hasCapacity or
// hasTombstoneCapacity first.
func (l *ledger) add(key string, attempt int, claim bool) *ledgerEntry {
	e := &ledgerEntry{key: key, state: stateActive, attempt: attempt, hasClaim: claim}
	e.bytes = len(key) + entryOverheadBytes
	l.bytes += e.bytes
	l.entries[key] = e
	return e
}

// reopen makes a finished entry active for a later attempt.
func (l *ledger) reopen(e *ledgerEntry, attempt int) {
	e.state = stateActive
	e.attempt = max(e.attempt, attempt)
	e.finishSeq = 0
}

// finish records the outcome of an entry and starts its retention.
func (l *ledger) finish(now time.Time, e *ledgerEntry, state entryState, reason Reason) {
	e.state = state
	e.reason = reason
	l.lastFinishSeq++
	e.finishSeq = l.lastFinishSeq
	if len(l.expiries)-l.firstExpiry > 2*len(l.entries)+minStaleToCompact {
		l.compact()
	}
	l.expiries = append(l.expiries, expiry{key: e.key, finishSeq: e.finishSeq, at: now.Add(l.retention)})
}

// compact removes the stale expiries that repeated attempts at a key leave.
func (l *ledger) compact() {
	l.expiries = slices.DeleteFunc(l.expiries[l.firstExpiry:], func(x expiry) bool {
		e := l.entries[x.key]
		return e == nil || e.finishSeq != x.finishSeq
	})
	l.firstExpiry = 0
}

// storeResponse keeps a copy of a response if it fits the limits.
func (l *ledger) storeResponse(e *ledgerEntry, r *Response) {
	if r == nil {
		return
	}
	size := len(r.Body) + len(r.ContentType)
	if size > MaxResponseBytes+len(r.ContentType) || l.bytes+size > l.limits.Bytes {
		return
	}
	e.response = r
	e.bytes += size
	l.bytes += size
}

// expire removes entries whose retention has passed.
func (l *ledger) expire(now time.Time) {
	for l.firstExpiry < len(l.expiries) && !now.Before(l.expiries[l.firstExpiry].at) {
		x := l.expiries[l.firstExpiry]
		l.expiries[l.firstExpiry] = expiry{}
		l.firstExpiry++
		if e := l.entries[x.key]; e != nil && e.finishSeq == x.finishSeq {
			l.bytes -= e.bytes
			delete(l.entries, x.key)
		}
	}
	if 2*l.firstExpiry > len(l.expiries) {
		l.expiries = append(l.expiries[:0], l.expiries[l.firstExpiry:]...)
		l.firstExpiry = 0
	}
}
