package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"crocusnotch/internal/request"
	"crocusnotch/internal/standin/payload"
)

const (
	maxAttempts     = 4
	retryPause      = 50 * time.Millisecond
	maxRetryPause   = 2 * time.Second
	requestBody     = "crocusnotch trial request"
	noFlow          = "no-flow"
	noAnswer        = "no-answer"
	timedOut        = "timed-out"
	refusedByStatus = "status-"
)

// RequestKind is one kind of request that a pool sends.
type RequestKind struct {
	Path       string
	Idempotent bool
	Size       int           // bytes of the answer
	Work       float64       // factor on the upstream's mean work
	Timeout    time.Duration // of the logical request with its retries
}

// outcome is what a caller knows of a request after one attempt.
type outcome struct {
	ran    bool
	known  request.Outcome
	reason string
	owner  string        // agent that took the request, if any
	after  time.Duration // Retry-After
}

func (o outcome) label() string {
	if o.ran {
		return string(request.OutcomeRan)
	}
	return string(o.known) + "/" + o.reason
}

// repeatable reports whether the callers' contract allows another attempt.
func (o outcome) repeatable(idempotent bool) bool {
	if o.ran || o.known == request.OutcomeRan {
		return false
	}
	if idempotent || o.known == request.OutcomeNotRun {
		return true
	}
	// Without an answer, the owner is asked for the outcome.
	return o.reason == noAnswer || o.reason == string(request.ReasonDuplicate)
}

// Do sends one request with its retries; it reports whether it ran.
func (p *Pool) Do(ctx context.Context, k RequestKind) bool { return p.do(ctx, k).ran }

func (p *Pool) do(ctx context.Context, k RequestKind) outcome {
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	start := time.Now()
	id := p.newID()
	p.o.Counters.add(func(t *Totals) { t.Requests++ })
	var o outcome
	owner := ""
	sent := 0 // attempts that an agent may have seen
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		o = p.attempt(ctx, k, id, sent+1, owner)
		if o.reason != noFlow {
			sent++
		}
		if o.owner != "" {
			owner = o.owner
		}
		if !o.repeatable(k.Idempotent) || ctx.Err() != nil {
			break
		}
		p.o.Counters.add(func(t *Totals) { t.Refusals[o.label()]++ })
		pause(ctx, p.backoff(attempt, o.after))
		if ctx.Err() != nil {
			break
		}
	}
	p.o.Counters.finished(o, time.Since(start))
	return o
}

// backoff doubles with each attempt, is jittered, and never less than what
// the answer asked for.
func (p *Pool) backoff(attempt int, after time.Duration) time.Duration {
	d := min(retryPause<<attempt, maxRetryPause)
	return max(time.Duration(p.drawFloat()*float64(d)), after)
}

func (p *Pool) attempt(ctx context.Context, k RequestKind, id string, attempt int, owner string) outcome {
	p.o.Counters.add(func(t *Totals) { t.Attempts++ })
	f := p.pick()
	if f == nil {
		return outcome{known: request.OutcomeNotRun, reason: noFlow}
	}
	defer f.release()
	var taken atomic.Pointer[string]
	req := p.prepare(ctx, k, id, attempt, owner, &taken)
	res, err := f.client.RoundTrip(req)
	if err != nil {
		o := outcome{known: request.OutcomeUnknown, reason: noAnswer}
		if ctx.Err() != nil {
			o.reason = timedOut
		}
		return withOwner(o, taken.Load())
	}
	defer func() { _ = res.Body.Close() }()
	o := p.judge(k, id, attempt, res)
	return withOwner(o, taken.Load())
}

func withOwner(o outcome, taken *string) outcome {
	if o.owner == "" && taken != nil {
		o.owner = *taken
	}
	return o
}

func (p *Pool) prepare(ctx context.Context, k RequestKind, id string, attempt int, owner string, taken *atomic.Pointer[string]) *http.Request {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if v := h.Get(request.HeaderOwner); v != "" {
			taken.Store(&v)
		}
		return nil
	}}
	method := http.MethodGet
	if !k.Idempotent {
		method = http.MethodPost
	}
	q := payload.Request{ID: id, Attempt: attempt, Size: k.Size, Work: k.Work}
	req := p.newRequest(httptrace.WithClientTrace(ctx, trace), method, k.Path, q)
	if end, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(end).Milliseconds())
		req.Header.Set(request.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if !k.Idempotent {
		req.Header.Set(request.HeaderIdempotencyKey, id)
		req.Body = io.NopCloser(strings.NewReader(requestBody))
		req.ContentLength = int64(len(requestBody))
	}
	if attempt > 1 {
		req.Header.Set(payload.HeaderAttempt, strconv.Itoa(attempt))
		if owner != "" {
			req.Header.Set(request.HeaderOwner, owner)
		}
	}
	return req
}

// judge reads an answer and decides what is known of the request.
func (p *Pool) judge(k RequestKind, id string, attempt int, res *http.Response) outcome {
	o := outcome{owner: res.Header.Get(request.HeaderOwner), after: retryAfter(res)}
	if known := res.Header.Get(request.HeaderOutcome); known != "" && known != string(request.OutcomeRan) {
		o.known = request.Outcome(known)
		o.reason = res.Header.Get(request.HeaderReason)
		if o.known == request.OutcomeNotRun && p.o.OnNotRun != nil {
			p.o.OnNotRun(Refusal{ID: id, Attempt: attempt, Path: k.Path, Reason: o.reason})
		}
		return o
	}
	if res.StatusCode != http.StatusOK {
		o.known = request.OutcomeUnknown
		o.reason = refusedByStatus + strconv.Itoa(res.StatusCode)
		return o
	}
	return p.verify(k, id, res, o)
}

func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get(request.HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryPause)
}

// verify checks that the whole answer is the caller's own.
func (p *Pool) verify(k RequestKind, id string, res *http.Response, o outcome) outcome {
	// A replay of an earlier attempt's answer has its bytes, not its headers.
	replay := res.Header.Get(request.HeaderOutcome) == string(request.OutcomeRan)
	if replay && res.ContentLength == 0 && k.Size > 0 {
		o.known, o.reason = request.OutcomeRan, "answer-not-kept"
		return o
	}
	if service := res.Header.Get(payload.HeaderService); !replay && service != p.o.Service {
		p.o.Counters.add(func(t *Totals) { t.WrongService++ })
	}
	verdict, _ := payload.Check(id, k.Size, res.Body)
	if !replay && res.Header.Get(payload.HeaderRequest) != id {
		verdict = payload.Mismatched
	}
	switch verdict {
	case payload.Complete:
		o.ran = true
	case payload.Mismatched:
		p.o.Counters.add(func(t *Totals) { t.Mismatched++ })
		o.known, o.reason = request.OutcomeUnknown, "crossed"
	case payload.Truncated:
		p.o.Counters.add(func(t *Totals) { t.Truncated++ })
		o.known, o.reason = request.OutcomeUnknown, "short"
	case payload.ReadFailed:
		o.known, o.reason = request.OutcomeUnknown, noAnswer
		if res.Request.Context().Err() != nil {
			o.reason = timedOut
		}
	}
	return o
}
