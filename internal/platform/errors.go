package platform

import (
	"fmt"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Errors of queries and commands.
var (
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrCompacted reports a watch from a revision that the store has compacted.
	// The caller must list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrUnavailable reports that the store is unreachable, too slow or rate
	// limited. A command that returns it was not applied.
	ErrUnavailable = errors.New("platform: store unavailable")
	// ErrUncertain reports a command whose response was lost and whose object
	// could not be read back: it may have been applied.
	ErrUncertain = errors.New("platform: outcome of the write unknown")
	// ErrRestored reports that the store was restored from a copy since the caller
	// read the revision that it expects. The caller must read again: the store may
	// have given that revision to another object.
	ErrRestored = errors.New("platform: store was restored from a copy")
	// ErrTooLarge reports a value above MaxValueSize.
	ErrTooLarge = errors.New("platform: value too large")
)

// ConflictError reports a command whose expected revision is not the current one.
type ConflictError struct {
	ID       config.ID
	Expected uint64         // revision that the command required, 0 to create the object
	Current  *config.Object // nil when the object does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	name := e.ID.Kind + " " + e.ID.Name
	if e.Current == nil {
		return fmt.Sprintf("platform: %s: expected revision %d, but the object does not exist", name, e.Expected)
	}
	return fmt.Sprintf("platform: %s: expected revision %d, store has %d", name, e.Expected, e.Current.Revision)
}

// unavailable wraps a cause with ErrUnavailable.
func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// uncertain wraps a cause with ErrUncertain, unless it is a conflict.
func uncertain(cause error) error {
	var conflict *ConflictError
	if errors.As(cause, &conflict) {
		return conflict
	}
	return fmt.Errorf("%w: %w", ErrUncertain, cause)
}
