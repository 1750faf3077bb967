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

// upstreamClient sends requests to the upstream over HTTP/1.1.
type upstreamClient struct {
	address   atomic.Pointer[netip.AddrPort] // nil before the first announcement
	transport *http.Transport
}

// newUpstreamClient returns a client that opens a connection for each request. On a
// reused one, a late second copy of a response would be taken for the response to the
// next request, and a non-idempotent request could be sent while the upstream closes
// it. The upstream is on the same instance, so a connection costs little.
func newUpstreamClient(n Network) *upstreamClient {
	return &upstreamClient{transport: &http.Transport{
		DialContext:            dialFunc(n),
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         streamBufferSize,
		WriteBufferSize:        streamBufferSize,
	}}
}

func (u *upstreamClient) setAddress(a netip.AddrPort) { u.address.Store(&a) }

// run makes one attempt at the upstream.
func (u *upstreamClient) run(ctx context.Context, x *exchange) request.Result {
	to := u.address.Load()
	if to == nil || !x.body.replayable() {
		return request.Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonUpstreamFailed}
	}
	a := attempt{
		transport:      u.transport,
		outbound:       x.outboundRequest("http", to.String()),
		atMostOnce:     x.atMostOnce,
		stream:         x.stream,
		parseRefusal:   parseShed,
		beforeResponse: x.beforeResponse,
		notRunReason:   request.ReasonUpstreamFailed,
		unknownReason:  request.ReasonUpstreamFailed,
	}
	return a.run(ctx, x.response)
}

// parseShed recognizes an upstream's refusal to run the request.
func parseShed(resp *http.Response) (request.Result, bool) {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerNotRun) == "" {
		return request.Result{}, false
	}
	return request.Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonShed}, true
}

// outboundRequest returns the request for the next hop, with the body from its
// first byte.
func (x *exchange) outboundRequest(scheme, host string) *http.Request {
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
	if body, ok := x.body.complete(); ok {
		// The transport sends a body in memory together with the headers, so
		// that an early response does not arrive while the request is half sent.
		out.Body = io.NopCloser(bytes.NewReader(body))
		out.ContentLength = int64(len(body))
	}
	if in.ContentLength == 0 {
		out.Body = emptyBody(in.Method)
	}
	copyHeaders(out.Header, in.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	setDeadlineHeader(out.Header, x.deadline, time.Now())
	return out
}

// emptyBody returns the body of a request without content. It is http.NoBody only
// for methods without side effects, because the transport may retry a request
// with http.NoBody by itself if it has an Idempotency-Key.
func emptyBody(method string) io.ReadCloser {
	if method == http.MethodGet || method == http.MethodHead {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(nil))
}

func (u *upstreamClient) close() {
	u.transport.CloseIdleConnections()
}

func dialFunc(n Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.Dial(ctx, addr)
	}
}
