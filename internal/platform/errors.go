package platform

import (
	"fmt"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Errors of queries and commands.
var (
	// ErrNotFound reports an object that the store does not hold.
	ErrNotFound = errors.New("platform: object not found")
	// ErrCompacted reports a watch from a revision that the store no longer
	// keeps; list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrUnavailable reports a store that is out, too slow or over its rate.
	// A query had no answer; a command has certainly not taken effect.
	ErrUnavailable = errors.New("platform: store unavailable")
	// ErrUncertain reports a command whose answer was lost and that could not
	// be read back: it may have taken effect.
	ErrUncertain = errors.New("platform: outcome of the write unknown")
	// ErrTooLarge reports a value above MaxValueSize.
	ErrTooLarge = errors.New("platform: value too large")
)

// ConflictError reports a command on a revision that is no longer current.
type ConflictError struct {
	ID       config.ID
	Expected uint64         // revision that the command was conditional on, 0 for a creation
	Current  *config.Object // nil when the object does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	name := e.ID.Kind + " " + e.ID.Name
	if e.Current == nil {
		return fmt.Sprintf("platform: %s: expected revision %d, but it was deleted", name, e.Expected)
	}
	return fmt.Sprintf("platform: %s: expected revision %d, store has %d", name, e.Expected, e.Current.Revision)
}

// unavailable marks a cause with ErrUnavailable.
func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// uncertain marks a cause with ErrUncertain; a conflict stays one.
func uncertain(cause error) error {
	var conflict *ConflictError
	if errors.As(cause, &conflict) {
		return conflict
	}
	return fmt.Errorf("%w: %w", ErrUncertain, cause)
}
