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
	// bulkBuffer and streamBuffer are the sizes of copy buffers in bytes;
	// long-lived streams hold theirs while they are idle.
	bulkBuffer   = 32 << 10
	streamBuffer = 4 << 10
	// maxUndelivered bounds what is read of an answer after its caller has
	// gone, to learn whether it was whole.
	maxUndelivered = 1 << 20
)

var bulkBuffers = sync.Pool{New: func() any { return new([bulkBuffer]byte) }}

// attempt is one try of a request at the upstream or at a peer agent.
type attempt struct {
	transport  http.RoundTripper
	outbound   *http.Request
	atMostOnce bool // the outcome must be learned even when the caller has gone
	stream     bool // each part is passed on at once
	// refusal returns the outcome when the answer is a refusal, which is not
	// passed on.
	refusal func(*http.Response) (request.Result, bool)
	// started is called before the first part of the answer is passed on.
	started func()
	// failed and lost are the reasons for a failure before and after the
	// request may have been sent.
	failed request.Reason
	lost   request.Reason
	// keepOutcome passes the fleet's own outcome header on.
	keepOutcome bool
	// refused is set by run when refusal gave the outcome.
	refused bool
}

// run makes the try and passes its answer on to w.
func (a *attempt) run(ctx context.Context, w http.ResponseWriter) request.Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := a.transport.RoundTrip(a.outbound.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return a.failure(ctx, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if r, refused := a.refusal(resp); refused {
		a.refused = true
		return r
	}
	if unframed(resp) {
		return request.Result{Outcome: request.OutcomeUnknown, Reason: a.lost}
	}
	a.started()
	return a.pass(ctx, w, resp)
}

func (a *attempt) failure(ctx context.Context, sent bool) request.Result {
	r := request.Result{Outcome: request.OutcomeNotRun, Reason: a.failed}
	if sent {
		r.Outcome, r.Reason = request.OutcomeUnknown, a.lost
	}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// unframed reports whether the end of the answer is only told by the end of
// the connection, so that a truncated one would look whole.
func unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Body != http.NoBody
}

// pass copies the answer to w and returns how it ended.
func (a *attempt) pass(ctx context.Context, w http.ResponseWriter, resp *http.Response) request.Result {
	copyHeaders(w.Header(), resp.Header)
	if outcome := resp.Header.Get(request.HeaderOutcome); a.keepOutcome && outcome != "" {
		w.Header().Set(request.HeaderOutcome, outcome)
	}
	w.WriteHeader(resp.StatusCode)
	c := answerCopy{flush: a.stream || resp.ContentLength < 0, w: w}
	if a.atMostOnce {
		c.keep = &request.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	}
	if c.flush {
		c.doFlush()
	}
	whole := c.copy(resp.Body, a.stream)
	if whole {
		for name, values := range resp.Trailer {
			w.Header()[http.TrailerPrefix+name] = values
		}
		return request.Result{
			Outcome: request.OutcomeRan, Status: resp.StatusCode, Response: c.keep, Forwarded: true,
		}
	}
	r := request.Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonTruncated, Forwarded: true, Status: resp.StatusCode}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// answerCopy copies an answer's body to the caller.
type answerCopy struct {
	w     http.ResponseWriter
	flush bool
	keep  *request.Response // nil when no copy is kept
	gone  bool              // the caller takes no more
	extra int               // bytes read since the caller has gone
}

// copy reads src to its end and reports whether it was whole.
func (c *answerCopy) copy(src io.Reader, stream bool) bool {
	var buf []byte
	if stream {
		buf = make([]byte, streamBuffer)
	} else {
		pooled := bulkBuffers.Get().(*[bulkBuffer]byte)
		defer bulkBuffers.Put(pooled)
		buf = pooled[:]
	}
	for {
		n, err := src.Read(buf)
		c.part(buf[:n])
		if err == io.EOF {
			return true
		}
		if err != nil || c.extra > maxUndelivered {
			return false
		}
	}
}

func (c *answerCopy) part(p []byte) {
	if len(p) == 0 {
		return
	}
	c.remember(p)
	if c.gone {
		c.extra += len(p)
		return
	}
	if _, err := c.w.Write(p); err != nil {
		c.gone = true
		return
	}
	if c.flush {
		c.doFlush()
	}
}

func (c *answerCopy) remember(p []byte) {
	if c.keep == nil {
		return
	}
	if len(c.keep.Body)+len(p) > request.MaxResponseBytes {
		c.keep = nil
		return
	}
	c.keep.Body = append(c.keep.Body, p...)
}

func (c *answerCopy) doFlush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}
