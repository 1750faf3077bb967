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
	bulkBufferSize   = 32 << 10
	streamBufferSize = 4 << 10
	// maxUndelivered bounds what is read of an answer after its caller has
	// gone, to learn whether it was whole.
	maxUndelivered = 1 << 20
)

var bulkBuffers = sync.Pool{New: func() any { return new([bulkBufferSize]byte) }}

// attempt is one try of a request at the upstream or at a peer agent.
type attempt struct {
	transport  http.RoundTripper
	outbound   *http.Request
	atMostOnce bool // the outcome must be learned even when the caller has gone
	stream     bool // each part is passed on at once
	// refusal returns the outcome when the answer is a refusal, which is not
	// passed on.
	parseRefusal func(*http.Response) (request.Result, bool)
	// started is called before the first part of the answer is passed on.
	beforeResponse func()
	// failed and lost are the reasons for a failure before and after the
	// request may have been sent.
	notSentReason request.Reason
	sentReason    request.Reason
	// keepOutcome passes the fleet's own outcome header on.
	forwardOutcome bool
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
	if r, refused := a.parseRefusal(resp); refused {
		a.refused = true
		return r
	}
	if closeDelimited(resp) {
		return request.Result{Outcome: request.OutcomeUnknown, Reason: a.sentReason}
	}
	a.beforeResponse()
	return a.forward(ctx, w, resp)
}

func (a *attempt) failure(ctx context.Context, sent bool) request.Result {
	r := request.Result{Outcome: request.OutcomeNotRun, Reason: a.notSentReason}
	if sent {
		r.Outcome, r.Reason = request.OutcomeUnknown, a.sentReason
	}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// unframed reports whether the end of the answer is only told by the end of
// the connection, so that a truncated one would look whole.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && r.Body != http.NoBody
}

// pass copies the answer to w and returns how it ended.
func (a *attempt) forward(ctx context.Context, w http.ResponseWriter, resp *http.Response) request.Result {
	copyHeaders(w.Header(), resp.Header)
	if outcome := resp.Header.Get(request.HeaderOutcome); a.forwardOutcome && outcome != "" {
		w.Header().Set(request.HeaderOutcome, outcome)
	}
	w.WriteHeader(resp.StatusCode)
	c := responseCopier{flush: a.stream || resp.ContentLength < 0, w: w}
	if a.atMostOnce {
		c.recorded = &request.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
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
			Outcome: request.OutcomeRan, Status: resp.StatusCode, Answer: c.recorded, Passed: true,
		}
	}
	r := request.Result{Outcome: request.OutcomeUnknown, Reason: request.ReasonTruncated, Passed: true, Status: resp.StatusCode}
	if ctx.Err() != nil {
		r.Reason = request.ReasonCancelled
	}
	return r
}

// answerCopy copies an answer's body to the caller.
type responseCopier struct {
	w           http.ResponseWriter
	flush       bool
	recorded    *request.Answer // nil when no copy is kept
	callerGone  bool            // the caller takes no more
	undelivered int             // bytes read since the caller has gone
}

// copy reads src to its end and reports whether it was whole.
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
	if len(c.recorded.Body)+len(p) > request.MaxAnswerBytes {
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
