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

// tookEffect reports whether the object that was read back is what w leaves.
// current is nil when the store holds none.
func (w Write) tookEffect(current *config.Object) bool {
	if w.Remove {
		return current == nil
	}
	return current != nil && current.Revision > w.Expected && bytes.Equal(current.Value, w.Value)
}

// untouched reports whether the store still holds what w is conditional on.
func (w Write) untouched(current *config.Object) bool {
	if current == nil {
		return w.Expected == 0
	}
	return current.Revision == w.Expected
}

// result is the object that a write which took effect left.
func (w Write) result(current *config.Object) config.Object {
	if current == nil {
		return config.Object{Kind: w.ID.Kind, Name: w.ID.Name, Deleted: true}
	}
	return *current
}

// attempt is the outcome of one try of a write.
type attempt struct {
	final  bool // the write is decided
	object config.Object
	err    error  // set when final and failed
	lost   bool   // the answer was lost, so that this try may still take effect
	reason string // why another try is made
}

// write makes a conditional change. An answer that was lost is followed by a
// read, and the write is repeated only while the store holds the expected
// revision.
func (c *Client) write(ctx context.Context, w Write) (config.Object, error) {
	if len(w.Value) > MaxValueSize {
		return config.Object{}, ErrTooLarge
	}
	lost := false
	for n := 0; ; n++ {
		a := c.tryWrite(ctx, w, lost)
		if a.final {
			return a.object, a.err
		}
		lost = lost || a.lost
		if n+1 >= c.opts.Attempts {
			return config.Object{}, outcomeOf(lost, errors.New(a.reason))
		}
		if err := c.pause(ctx, n, "write", a.reason); err != nil {
			return config.Object{}, outcomeOf(lost, err)
		}
	}
}

// tryWrite makes one try; lost tells whether the answer to an earlier try was
// lost.
func (c *Client) tryWrite(ctx context.Context, w Write, lost bool) attempt {
	res, err := c.roundTrip(ctx, c.bounded(c.opts.Protocol.Write(w)))
	if err != nil || res.Status >= http.StatusInternalServerError {
		return c.readBack(ctx, w, retryReason(res, err))
	}
	switch {
	case res.Status == http.StatusOK:
		o, err := c.opts.Protocol.Object(w.ID, res)
		if err != nil {
			return c.readBack(ctx, w, "undecodable")
		}
		return attempt{final: true, object: o}
	case c.opts.Protocol.Conflict(res):
		return c.conflict(w, res, lost)
	case res.Status == http.StatusTooManyRequests:
		return attempt{reason: retryReason(res, nil)}
	}
	return attempt{final: true, err: errors.Errorf("platform: store refused the write: status %d", res.Status)}
}

// readBack finds out whether a write whose answer was lost took effect.
func (c *Client) readBack(ctx context.Context, w Write, reason string) attempt {
	c.metrics.retry("write", "read-back")
	current, err := c.current(ctx, w.ID)
	if err != nil {
		return attempt{final: true, err: uncertain(err)}
	}
	if w.tookEffect(current) {
		return attempt{final: true, object: w.result(current)}
	}
	if !w.untouched(current) {
		return attempt{final: true, err: &ConflictError{ID: w.ID, Expected: w.Expected, Current: current}}
	}
	return attempt{lost: true, reason: reason}
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

// conflict handles a failed precondition. After a lost answer it may be the
// effect of this very write.
func (c *Client) conflict(w Write, res Response, lost bool) attempt {
	var current *config.Object
	if o, err := c.opts.Protocol.Object(w.ID, res); err == nil && o.Revision != 0 && !o.Deleted {
		current = &o
	}
	if lost && w.tookEffect(current) {
		return attempt{final: true, object: w.result(current)}
	}
	return attempt{final: true, err: &ConflictError{ID: w.ID, Expected: w.Expected, Current: current}}
}

// outcomeOf names what is known when the tries end: a try whose answer was
// lost may still take effect.
func outcomeOf(lost bool, cause error) error {
	if lost {
		return uncertain(cause)
	}
	return unavailable(cause)
}
