package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/rawjson"
)

// Snapshot is a set of objects at one revision of the whole store.
type Snapshot struct {
	Revision uint64          `json:"revision"`
	Objects  []config.Object `json:"objects"`
	// Incomplete reports that the store has changes that are not in Objects, so the
	// caller must list the kinds again.
	Incomplete bool `json:"-"`
	// Problems are the objects that can't be read, as other processes may leave them. The
	// rest of the snapshot holds without them.
	Problems []config.Problem `json:"-"`
	// Unknown are objects that may exist although Objects lacks them, because of Problems.
	// One without a name stands for all objects of its kind.
	Unknown []config.ID `json:"-"`
}

// Refuse adds an object that can't be read.
func (s *Snapshot) Refuse(id config.ID, err error) {
	s.Problems = append(s.Problems, config.Problem{ID: id, Revision: s.Revision, Err: err})
	if id.Name != "" {
		s.Unknown = append(s.Unknown, id)
	}
}

// add adds the content of another snapshot.
func (s *Snapshot) add(part *Snapshot) {
	s.Objects = append(s.Objects, part.Objects...)
	s.Problems = append(s.Problems, part.Problems...)
	s.Unknown = append(s.Unknown, part.Unknown...)
}

// Get returns one object. The error is ErrNotFound or wraps ErrUnavailable.
func (c *Client) Get(ctx context.Context, id config.ID) (config.Object, error) {
	res, err := c.query(ctx, c.withCallTimeout(c.opts.Protocol.Get(id)))
	if err != nil {
		return config.Object{}, err
	}
	if res.Status == http.StatusNotFound {
		return config.Object{}, ErrNotFound
	}
	return c.object(id, res)
}

// withCallTimeout sets the timeout of a call that does not wait for a change.
func (c *Client) withCallTimeout(call Call) Call {
	call.Timeout = c.opts.CallTimeout
	return call
}

// List returns all objects of the kinds. The revision is the lowest at which one of
// the kinds was read, so that a watch from there misses no change. The error wraps
// ErrUnavailable, also when the store was restored from a copy in between.
func (c *Client) List(ctx context.Context, kinds ...string) (Snapshot, error) {
	var out Snapshot
	for i, kind := range kinds {
		part, err := c.listKind(ctx, kind)
		if err != nil {
			return Snapshot{}, err
		}
		if i == 0 || part.Revision < out.Revision {
			out.Revision = part.Revision
		}
		out.add(&part)
		if config.EraOf(part.Revision) != config.EraOf(out.Revision) {
			return Snapshot{}, unavailable(ErrRestored)
		}
	}
	return out, nil
}

// listKind reads all pages of one kind. The revision is that of the first page.
func (c *Client) listKind(ctx context.Context, kind string) (Snapshot, error) {
	var out Snapshot
	seen := map[string]bool{} // next pages
	for after, first := "", true; first || after != ""; first = false {
		res, err := c.query(ctx, c.withCallTimeout(c.opts.Protocol.List(kind, after)))
		if err != nil {
			return Snapshot{}, err
		}
		page, next, err := c.opts.Protocol.Page(kind, res)
		if err != nil {
			return Snapshot{}, err
		}
		page = page.withEra(res.Era)
		switch {
		case first:
			out.Revision = page.Revision
		case config.EraOf(page.Revision) != config.EraOf(out.Revision):
			return Snapshot{}, unavailable(ErrRestored)
		}
		out.add(&page)
		c.metrics.unreadable.WithLabelValues(kind).Add(float64(len(page.Problems)))
		if seen[next] {
			return Snapshot{}, unavailable(errors.Errorf("list of %s does not progress", kind))
		}
		seen[next] = true
		after = next
	}
	return out, nil
}

// Watch waits up to wait for objects of the kinds that changed after the revision
// from, and returns them with the revision to watch from next. The set is empty if
// nothing changed. Watch makes one call. The error is ErrCompacted, also when the store
// was restored from a copy since, or wraps ErrUnavailable.
func (c *Client) Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...string) (Snapshot, error) {
	call := c.opts.Protocol.Watch(config.StoreRevision(from), wait, kinds)
	call.Timeout = wait + c.opts.CallTimeout
	res, err := c.roundTrip(ctx, call)
	if err != nil {
		return Snapshot{}, unavailable(err)
	}
	if res.Status == http.StatusGone || res.Era != config.EraOf(from) {
		return Snapshot{}, ErrCompacted
	}
	changes, err := c.opts.Protocol.Changes(config.StoreRevision(from), res)
	if err != nil {
		return Snapshot{}, err
	}
	return changes.withEra(res.Era), nil
}

// query retries a call until it receives a response that is not retryable, the
// attempts are exhausted or ctx ends.
func (c *Client) query(ctx context.Context, call Call) (Response, error) {
	for attempt := 0; ; attempt++ {
		res, err := c.roundTrip(ctx, call)
		if err == nil && !res.retryable() {
			return res, nil
		}
		reason := retryReason(res, err)
		if attempt+1 >= c.opts.Attempts {
			return Response{}, unavailable(errors.Errorf("%s: %s", call.Name, reason))
		}
		if err := c.waitBackoff(ctx, attempt, call.Name, reason); err != nil {
			return Response{}, unavailable(err)
		}
	}
}

// Body is the body of a response, a JSON object, of which each member is decoded by itself:
// one may contain objects of other processes, which can't be read.
type Body map[string]json.RawMessage

// DecodeBody returns the body of a response with status 200. Errors wrap ErrUnavailable.
func DecodeBody(res Response) (Body, error) {
	if res.Status != http.StatusOK {
		return nil, unavailable(errors.Errorf("status %d", res.Status))
	}
	members, err := rawjson.Members(res.Body)
	if err != nil {
		return nil, unavailable(errors.Wrap(err, "split response"))
	}
	return members, nil
}

// List returns the elements of a list. It is empty if the member is missing or null. Errors
// wrap ErrUnavailable.
func (b Body) List(name string) ([]json.RawMessage, error) {
	list := b[name]
	if list == nil || string(list) == "null" {
		return nil, nil
	}
	elements, err := rawjson.Elements(list)
	if err != nil {
		return nil, unavailable(errors.Wrapf(err, "%s of the response", name))
	}
	return elements, nil
}

// Revision returns the revision of the store. Errors wrap ErrUnavailable.
func (b Body) Revision(name string) (uint64, error) { return member[uint64](b, name) }

// Flag returns a truth value, false if the member is missing. Errors wrap ErrUnavailable.
func (b Body) Flag(name string) (bool, error) {
	if b[name] == nil {
		return false, nil
	}
	return member[bool](b, name)
}

func member[T any](b Body, name string) (T, error) {
	var v, zero T
	if err := json.Unmarshal(b[name], &v); err != nil {
		return zero, unavailable(errors.Wrapf(err, "%s of the response", name))
	}
	return v, nil
}
