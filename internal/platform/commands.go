package platform

import (
	"bytes"
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Create writes an object that must not exist yet. The error is a
// *ConflictError or ErrTooLarge, or wraps ErrUncertain or ErrUnavailable.
func (c *Client) Create(ctx context.Context, id config.ID, value []byte) (config.Object, error) {
	return c.write(ctx, Write{ID: id, Value: value})
}

// Update replaces the object at the expected revision. The errors are those of
// Create.
func (c *Client) Update(ctx context.Context, id config.ID, expected uint64, value []byte) (config.Object, error) {
	return c.write(ctx, Write{ID: id, Expected: expected, Value: value})
}

// Delete removes the object at the expected revision. The errors are those of
// Create.
func (c *Client) Delete(ctx context.Context, id config.ID, expected uint64) (config.Object, error) {
	return c.write(ctx, Write{ID: id, Expected: expected, Remove: true})
}

// applied reports whether the object that was read back is the result of w. current
// is nil if the object does not exist.
func (w Write) applied(current *config.Object) bool {
	if w.Remove {
		return current == nil
	}
	return current != nil && current.Revision > w.Expected && bytes.Equal(current.Value, w.Value)
}

// restoredSince reports whether the expected revision was read in another era of the
// store. A write that creates an object expects none.
func (w Write) restoredSince(era uint64) bool {
	return w.Expected != 0 && config.EraOf(w.Expected) != era
}

// unchanged reports whether the store still has the revision that w expects.
func (w Write) unchanged(current *config.Object) bool {
	if current == nil {
		return w.Expected == 0
	}
	return current.Revision == w.Expected
}

// result returns the object that an applied write produced.
func (w Write) result(current *config.Object) config.Object {
	if current == nil {
		return config.Object{Kind: w.ID.Kind, Name: w.ID.Name, Deleted: true}
	}
	return *current
}

// attempt is the outcome of one attempt of a write.
type attempt struct {
	final        bool // no further attempt is made
	object       config.Object
	err          error  // set when final and failed
	responseLost bool   // no conclusive response was received, so this attempt may still be applied
	reason       string // reason for a retry
}

// write makes a conditional change. If the outcome is unknown, it reads the
// object back and retries the write only while the store has the expected revision.
func (c *Client) write(ctx context.Context, w Write) (config.Object, error) {
	if len(w.Value) > MaxValueSize {
		return config.Object{}, ErrTooLarge
	}
	responseLost := false
	for n := 0; ; n++ {
		a := c.attemptWrite(ctx, w, responseLost)
		if a.final {
			return a.object, a.err
		}
		responseLost = responseLost || a.responseLost
		if n+1 >= c.opts.Attempts {
			return config.Object{}, attemptsError(responseLost, errors.New(a.reason))
		}
		if err := c.waitBackoff(ctx, n, "write", a.reason); err != nil {
			return config.Object{}, attemptsError(responseLost, err)
		}
	}
}

// attemptWrite makes one attempt. responseLost reports whether the response to an
// earlier attempt was lost.
func (c *Client) attemptWrite(ctx context.Context, w Write, responseLost bool) attempt {
	if w.restoredSince(c.era.Load()) {
		return attempt{final: true, err: ErrRestored}
	}
	raw := w
	raw.Expected = config.StoreRevision(w.Expected)
	res, err := c.roundTrip(ctx, c.withCallTimeout(c.opts.Protocol.Write(raw)))
	if err != nil || res.Status >= http.StatusInternalServerError {
		return c.readBack(ctx, w, retryReason(res, err))
	}
	switch {
	case succeeded(res) && w.restoredSince(res.Era):
		// The condition held by chance, for a revision that was given out again.
		return attempt{final: true, err: uncertain(ErrRestored)}
	case succeeded(res):
		res.Status = http.StatusOK
		o, err := c.object(w.ID, res)
		if err != nil {
			return c.readBack(ctx, w, "undecodable")
		}
		return attempt{final: true, object: o}
	case c.opts.Protocol.Conflict(res):
		return c.conflict(ctx, w, res, responseLost)
	case res.Status == http.StatusTooManyRequests:
		return attempt{reason: retryReason(res, nil)}
	}
	return attempt{final: true, err: errors.Errorf("platform: store refused the write: status %d", res.Status)}
}

// succeeded reports whether the store applied a write. It may answer 201 to a creation.
func succeeded(res Response) bool {
	return res.Status == http.StatusOK || res.Status == http.StatusCreated
}

// readBack reads the object to determine whether a write whose response was lost was
// applied.
func (c *Client) readBack(ctx context.Context, w Write, reason string) attempt {
	c.metrics.countRetry("write", "read-back")
	current, err := c.current(ctx, w.ID)
	if err != nil {
		return attempt{final: true, err: uncertain(err)}
	}
	if w.applied(current) {
		return attempt{final: true, object: w.result(current)}
	}
	if !w.unchanged(current) {
		return attempt{final: true, err: &ConflictError{ID: w.ID, Expected: w.Expected, Current: current}}
	}
	return attempt{responseLost: true, reason: reason}
}

func (c *Client) current(ctx context.Context, id config.ID) (*config.Object, error) {
	o, err := c.Get(ctx, id)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return &o, nil
}

// conflict handles a failed precondition. After a lost response, the conflict may be
// caused by an earlier attempt of the same write.
func (c *Client) conflict(ctx context.Context, w Write, res Response, responseLost bool) attempt {
	var current *config.Object
	o, err := c.object(w.ID, res)
	switch {
	case err != nil:
		// The response does not say whether the object exists.
		return c.readBack(ctx, w, "undecodable")
	case o.Revision != 0 && !o.Deleted:
		current = &o
	}
	if responseLost && w.applied(current) {
		return attempt{final: true, object: w.result(current)}
	}
	return attempt{final: true, err: &ConflictError{ID: w.ID, Expected: w.Expected, Current: current}}
}

// attemptsError returns the error of a write after its last attempt. After a lost
// response it is ErrUncertain, because that attempt may still be applied.
func attemptsError(responseLost bool, cause error) error {
	if responseLost {
		return uncertain(cause)
	}
	return unavailable(cause)
}
