package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"crocusnotch/internal/request"
)

const (
	upstreamIdleTimeout = 10 * time.Second
	upstreamIdleConns   = 256
)

// upstreamClient sends requests to the upstream over HTTP/1.1.
type upstreamClient struct {
	address atomic.Pointer[netip.AddrPort] // nil while there is none
	// pooled keeps connections; fresh opens one for each request, so that a
	// non-idempotent request never meets a connection that the upstream
	// closes at the same moment.
	pooled *http.Transport
	fresh  *http.Transport
}

func newUpstreamClient(n Network) *upstreamClient {
	u := &upstreamClient{
		pooled: upstreamTransport(n),
		fresh:  upstreamTransport(n),
	}
	u.pooled.MaxIdleConnsPerHost = upstreamIdleConns
	u.pooled.IdleConnTimeout = upstreamIdleTimeout
	u.fresh.DisableKeepAlives = true
	return u
}

func upstreamTransport(n Network) *http.Transport {
	return &http.Transport{
		DialContext:            dialFunc(n),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         streamBuffer,
		WriteBufferSize:        streamBuffer,
	}
}

func (u *upstreamClient) setAddress(a netip.AddrPort) { u.address.Store(&a) }

// run makes one try at the upstream.
func (u *upstreamClient) run(ctx context.Context, x *exchange) request.Result {
	to := u.address.Load()
	if to == nil || !x.body.replayable() {
		return request.Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonUpstreamFailed}
	}
	a := attempt{
		transport:  u.pooled,
		outbound:   x.outbound("http", to.String()),
		atMostOnce: x.atMost,
		stream:     x.stream,
		refusal:    shed,
		started:    x.established,
		failed:     request.ReasonUpstreamFailed,
		lost:       request.ReasonUpstreamFailed,
	}
	if x.atMost {
		a.transport = u.fresh
	}
	return a.run(ctx, x.gate)
}

// shed recognizes an upstream's refusal before running.
func shed(resp *http.Response) (request.Result, bool) {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) == "" {
		return request.Result{}, false
	}
	return request.Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonShed}, true
}

// outbound returns the request for the next hop, with the body from its first
// byte.
func (x *exchange) outbound(scheme, host string) *http.Request {
	in := x.inbound
	u := *in.URL
	u.Scheme, u.Host = scheme, host
	out := &http.Request{
		Method:        in.Method,
		URL:           &u,
		Host:          in.Host,
		Header:        http.Header{},
		Body:          x.body.reader(),
		ContentLength: in.ContentLength,
	}
	if whole, ok := x.body.whole(); ok {
		// The transport sends a body in memory together with the headers, so
		// that an early answer never meets half a request.
		out.Body = io.NopCloser(bytes.NewReader(whole))
		out.ContentLength = int64(len(whole))
	}
	if in.ContentLength == 0 {
		out.Body = noBody(in.Method)
	}
	copyHeaders(out.Header, in.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	setDeadline(out.Header, x.deadline, time.Now())
	return out
}

// noBody returns the body of a request without one. It is http.NoBody for
// methods without side effects only: the transport may send such a request
// twice by itself when it has an Idempotency-Key.
func noBody(method string) io.ReadCloser {
	if method == http.MethodGet || method == http.MethodHead {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(nil))
}

func (u *upstreamClient) close() {
	u.pooled.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

func dialFunc(n Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.Dial(ctx, addr)
	}
}
