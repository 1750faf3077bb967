package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
)

// Snapshot is a set of objects at one store-wide revision.
type Snapshot struct {
	Revision uint64          `json:"revision"`
	Objects  []config.Object `json:"objects"`
}

// Get returns one object. The error is ErrNotFound or wraps ErrUnavailable.
func (c *Client) Get(ctx context.Context, id config.ID) (config.Object, error) {
	k := call{name: "get", method: http.MethodGet, path: objectPath(id), timeout: c.opts.CallTimeout}
	res, err := c.query(ctx, k)
	if err != nil {
		return config.Object{}, err
	}
	if res.status == http.StatusNotFound {
		return config.Object{}, ErrNotFound
	}
	return decode[config.Object](res)
}

// List returns all objects of the kinds; the revision is the lowest at which
// one of the kinds was read, so that a watch from there misses nothing.
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
		out.Objects = append(out.Objects, part.Objects...)
	}
	return out, nil
}

func (c *Client) listKind(ctx context.Context, kind string) (Snapshot, error) {
	path := objectsPath + url.PathEscape(kind)
	res, err := c.query(ctx, call{name: "list", method: http.MethodGet, path: path, timeout: c.opts.CallTimeout})
	if err != nil {
		return Snapshot{}, err
	}
	return decode[Snapshot](res)
}

// Watch waits up to wait for objects of the kinds above the revision from and
// returns them with the revision to go on from; the set is empty when nothing
// changed. It makes one call. The error is ErrCompacted or wraps
// ErrUnavailable.
func (c *Client) Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...string) (Snapshot, error) {
	query := url.Values{"kind": kinds}
	query.Set("from", strconv.FormatUint(from, decimal))
	query.Set("waitMillis", strconv.FormatInt(wait.Milliseconds(), decimal))
	k := call{name: "watch", method: http.MethodGet, path: watchPath, query: query, timeout: wait + c.opts.CallTimeout}
	res, err := c.roundTrip(ctx, k)
	if err != nil {
		return Snapshot{}, unavailable(err)
	}
	if res.status == http.StatusGone {
		return Snapshot{}, ErrCompacted
	}
	return decode[Snapshot](res)
}

// query repeats a call until it is answered, its tries are used up or ctx
// ends.
func (c *Client) query(ctx context.Context, k call) (response, error) {
	for attempt := 0; ; attempt++ {
		res, err := c.roundTrip(ctx, k)
		if err == nil && !res.retryable() {
			return res, nil
		}
		reason := retryReason(res, err)
		if attempt+1 >= c.opts.Attempts {
			return response{}, unavailable(errors.Errorf("%s: %s", k.name, reason))
		}
		if err := c.pause(ctx, attempt, k.name, reason); err != nil {
			return response{}, unavailable(err)
		}
	}
}

func decode[T any](res response) (T, error) {
	var v, zero T
	if res.status != http.StatusOK {
		return zero, unavailable(errors.Errorf("status %d", res.status))
	}
	if err := json.Unmarshal(res.body, &v); err != nil {
		return zero, unavailable(errors.Wrap(err, "decode answer"))
	}
	return v, nil
}
