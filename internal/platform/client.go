// Package platform is the client of the platform's object API, which holds
// the fleet's configuration, keys and rosters.
//
// Queries only read and may be retried freely. Commands are conditional on the
// revision that the caller has read, so that retrying one cannot overwrite the
// write of another client.
package platform

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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
	maxDrainSize       = 4 << 10
)

// Options adjust a client. Zero values select the defaults.
type Options struct {
	HTTP        *http.Client
	CallTimeout time.Duration // timeout of one call, in addition to the wait of a watch
	Attempts    int           // maximum number of attempts of one query or command
	BackoffMin  time.Duration // backoff after the first attempt, before jitter
	BackoffMax  time.Duration
	CallsPerSec float64 // rate limit of calls to the store
	Burst       int
	Registry    prometheus.Registerer
	Jitter      func(time.Duration) time.Duration // randomizes a backoff
	Protocol    Protocol                          // default: the product's own object API
}

// Client is a client of the object API. It is safe for concurrent use.
type Client struct {
	base    string
	opts    Options
	limiter *rate.Limiter
	metrics *metrics
	era     atomic.Uint64 // highest era in a response
}

// New returns a client of the object API at the base URL.
func New(base string, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		base:    strings.TrimRight(base, "/"),
		opts:    o,
		limiter: rate.NewLimiter(rate.Limit(o.CallsPerSec), o.Burst),
		metrics: newMetrics(o.Registry),
	}
}

func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: NewTransport(0)}
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
		o.Protocol = nativeProtocol{}
	}
	return o
}

// NewTransport returns a transport that opens a connection for each call, within
// dialTimeout if that is not 0. Responses do not say which call they answer: on a
// reused connection, a late second copy of one would be taken for the next response.
// Connections that went silent are not used again either.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

func fullJitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}

// roundTrip makes one call without retries. The error is nil for every complete
// response, whatever its status.
func (c *Client) roundTrip(ctx context.Context, call Call) (Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return Response{}, errors.Wrap(err, "wait for the rate limit")
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req, err := c.request(ctx, call)
	if err != nil {
		return Response{}, err
	}
	start := time.Now()
	defer func() { c.metrics.seconds.WithLabelValues(call.Name).Observe(time.Since(start).Seconds()) }()
	res, err := c.opts.HTTP.Do(req)
	if err != nil {
		c.metrics.countCall(call.Name, "lost")
		return Response{}, errors.Wrap(err, "call store")
	}
	defer closeBody(res.Body)
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseSize))
	if err != nil {
		c.metrics.countCall(call.Name, "lost")
		return Response{}, errors.Wrap(err, "read store response")
	}
	era, err := c.responseEra(res.Header)
	if err != nil {
		c.metrics.countCall(call.Name, "old-era")
		return Response{}, err
	}
	c.metrics.countCall(call.Name, strconv.Itoa(res.StatusCode))
	return Response{Status: res.StatusCode, Body: body, Era: era}, nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	target := c.base + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	return req, nil
}

// closeBody reads the rest of the body, up to a limit, so that the connection can be
// reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainSize)
	_ = body.Close()
}

// waitBackoff waits before a retry. The error is that of ctx.
func (c *Client) waitBackoff(ctx context.Context, attempt int, name, reason string) error {
	c.metrics.countRetry(name, reason)
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
