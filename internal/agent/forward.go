package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"crocusnotch/internal/request"
)

const (
	// bulkBufferSize and streamBufferSize are the sizes of copy buffers in
	// bytes. Long-lived streams use the smaller size because they hold their
	// buffer while they are idle.
	bulkBufferSize   = 32 << 10
	streamBufferSize = 4 << 10
	// maxUndelivered bounds how much of a response is read after its caller has
	// disconnected, to find out whether the response is complete.
	maxUndelivered = 1 << 20
)

var bulkBuffers = sync.Pool{New: func() any { return new([bulkBufferSize]byte) }}

// attempt is one transmission of a request to the upstream or a peer agent.
type attempt struct {
	transport  http.RoundTripper
	outbound   *http.Request
	atMostOnce bool // read the outcome even when the caller has disconnected
	stream     bool // forward each part immediately
	// parseRefusal returns the outcome if the response is a refusal, which is
	// not forwarded.
	parseRefusal func(*http.Response) (request.Result, bool)
	// beforeResponse is called before the first part of the response is
	// forwarded.
	beforeResponse func()
	// notRunReason is the reason for a failure before the request was sent,
	// unknownReason for one after it may have been sent.
	notRunReason  request.Reason
	unknownReason request.Reason
	// forwardOutcome forwards the fleet's outcome header.
	forwardOutcome bool
	// refused is set by run if parseRefusal returned the outcome.
	refused bool
}

// run sends the request and forwards the response to w.
func (a *attempt) run(ctx context.Context, w http.ResponseWriter) request.Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := a.transport.RoundTrip(a.outbound.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return a.failure(ctx, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if r, refused := a.parseRefusal(resp); refused {
		a.refused = true
		return r
	}
	if closeDelimited(resp) {
		return request.Result{Outcome: request.OutcomeUnknown, Reason: a.unknownReason}
	}
	a.beforeResponse()
	return a.forward(ctx, w, resp)
}

func (a *attempt) failure(ctx context.Context, sent bool) request.Result {
	r := request.Result{Outcome: request.OutcomeNotRun, Reason: a.notRunReason}
	if sent {
		r.Outcome, r.Reason = request.OutcomeUnknown, a.unknownReason
	}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// closeDelimited reports whether only the end of the connection marks the end of
// the response, so that a truncated response would look complete.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Body != http.NoBody
}

// forward copies the response to w and returns its result.
func (a *attempt) forward(ctx context.Context, w http.ResponseWriter, resp *http.Response) request.Result {
	copyHeaders(w.Header(), resp.Header)
	if outcome := resp.Header.Get(request.HeaderOutcome); a.forwardOutcome && outcome != "" {
		w.Header().Set(request.HeaderOutcome, outcome)
	}
	w.WriteHeader(resp.StatusCode)
	c := responseCopier{flush: a.stream || resp.ContentLength < 0, w: w}
	if a.atMostOnce {
		c.recorded = &request.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	}
	if c.flush {
		c.doFlush()
	}
	complete := c.copy(resp.Body, a.stream)
	if complete {
		for name, values := range resp.Trailer {
			w.Header()[http.TrailerPrefix+name] = values
		}
		return request.Result{
			Outcome: request.OutcomeRan, Status: resp.StatusCode, Response: c.recorded, Forwarded: true,
		}
	}
	r := request.Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonTruncated, Forwarded: true, Status: resp.StatusCode}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// responseCopier copies a response body to the caller.
type responseCopier struct {
	w           http.ResponseWriter
	flush       bool
	recorded    *request.Response // nil if no copy is recorded
	callerGone  bool              // a write to the caller failed
	undelivered int               // bytes read since callerGone was set
}

// copy reads src to its end and reports whether it was complete.
func (c *responseCopier) copy(src io.Reader, stream bool) bool {
	var buf []byte
	if stream {
		buf = make([]byte, streamBufferSize)
	} else {
		pooled := bulkBuffers.Get().(*[bulkBufferSize]byte)
		defer bulkBuffers.Put(pooled)
		buf = pooled[:]
	}
	for {
		n, err := src.Read(buf)
		c.write(buf[:n])
		if err == io.EOF {
			return true
		}
		if err != nil || c.undelivered > maxUndelivered {
			return false
		}
	}
}

func (c *responseCopier) write(p []byte) {
	if len(p) == 0 {
		return
	}
	c.record(p)
	if c.callerGone {
		c.undelivered += len(p)
		return
	}
	if _, err := c.w.Write(p); err != nil {
		c.callerGone = true
		return
	}
	if c.flush {
		c.doFlush()
	}
}

func (c *responseCopier) record(p []byte) {
	if c.recorded == nil {
		return
	}
	if len(c.recorded.Body)+len(p) > request.MaxResponseBytes {
		c.recorded = nil
		return
	}
	c.recorded.Body = append(c.recorded.Body, p...)
}

func (c *responseCopier) doFlush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}
