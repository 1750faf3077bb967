// Package platform is the client of the platform's object API, which holds
// the fleet's configuration, keys and rosters.
//
// Queries read and may be repeated freely. Commands are conditional on the
// revision that the caller has seen, so that repeating one cannot undo the
// write of another.
package platform

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"crocusnotch/internal/lifecycle"
)

// MaxValueSize is the largest value of an object in bytes.
const MaxValueSize = 1 << 20

const (
	defaultCallTimeout = 2 * time.Second
	defaultAttempts    = 4
	defaultBackoffMin  = 50 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
	defaultCallsPerSec = 5
	defaultBurst       = 50
	maxResponseSize    = 64 << 20
	drainLimit         = 4 << 10
)

// Options adjust a client. Zero values select the defaults.
type Options struct {
	HTTP        *http.Client
	CallTimeout time.Duration // bound of one call, without a watch's waiting
	Attempts    int           // tries of one query or command
	BackoffMin  time.Duration // first pause between tries
	BackoffMax  time.Duration
	CallsPerSec float64 // budget of calls to the store
	Burst       int
	Registry    prometheus.Registerer
	Jitter      func(time.Duration) time.Duration // shortens a pause at random
	Protocol    Protocol                          // default: the product's own object API
}

// Client talks to the object API. It is safe for concurrent use.
type Client struct {
	base    string
	opts    Options
	budget  *rate.Limiter
	metrics *metrics
}

// New returns a client of the object API at the base URL.
func New(base string, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		base:    strings.TrimRight(base, "/"),
		opts:    o,
		budget:  rate.NewLimiter(rate.Limit(o.CallsPerSec), o.Burst),
		metrics: newMetrics(o.Registry),
	}
}

func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{}
	}
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.Attempts = cmp.Or(o.Attempts, defaultAttempts)
	o.BackoffMin = cmp.Or(o.BackoffMin, defaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, defaultBackoffMax)
	o.CallsPerSec = cmp.Or(o.CallsPerSec, defaultCallsPerSec)
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	if o.Jitter == nil {
		o.Jitter = fullJitter
	}
	if o.Protocol == nil {
		o.Protocol = native{}
	}
	return o
}

func fullJitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}

// roundTrip makes one call without a retry. The error is nil for every answer
// that came whole, whatever its status.
func (c *Client) roundTrip(ctx context.Context, k Call) (Response, error) {
	if err := c.budget.Wait(ctx); err != nil {
		return Response{}, errors.Wrap(err, "wait for call budget")
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	req, err := c.request(ctx, k)
	if err != nil {
		return Response{}, err
	}
	start := time.Now()
	defer func() { c.metrics.seconds.WithLabelValues(k.Name).Observe(time.Since(start).Seconds()) }()
	res, err := c.opts.HTTP.Do(req)
	if err != nil {
		c.metrics.call(k.Name, "lost")
		return Response{}, errors.Wrap(err, "call store")
	}
	defer closeBody(res.Body)
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseSize))
	if err != nil {
		c.metrics.call(k.Name, "lost")
		return Response{}, errors.Wrap(err, "read store answer")
	}
	c.metrics.call(k.Name, strconv.Itoa(res.StatusCode))
	return Response{Status: res.StatusCode, Body: body}, nil
}

func (c *Client) request(ctx context.Context, k Call) (*http.Request, error) {
	target := c.base + k.Path
	if len(k.Query) > 0 {
		target += "?" + k.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.Method, target, bytes.NewReader(k.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	for name, values := range k.Header {
		req.Header[name] = values
	}
	return req, nil
}

// closeBody reads what is left, so that the connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainLimit)
	_ = body.Close()
}

// pause waits before another try; the error is that of ctx.
func (c *Client) pause(ctx context.Context, attempt int, name, reason string) error {
	c.metrics.retry(name, reason)
	if !lifecycle.Sleep(ctx, c.backoff(attempt)) {
		return ctx.Err()
	}
	return nil
}

func (c *Client) backoff(attempt int) time.Duration {
	d := c.opts.BackoffMin << attempt
	if d > c.opts.BackoffMax || d <= 0 {
		d = c.opts.BackoffMax
	}
	return c.opts.Jitter(d)
}

func retryReason(res Response, err error) string {
	if err != nil {
		return "lost"
	}
	return strconv.Itoa(res.Status)
}
