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
	maxAttempts        = 4
	retryBaseDelay     = 50 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
	requestBody        = "crocusnotch trial request"
	reasonNoFlow       = "no-flow"
	reasonNoAnswer     = "no-answer"
	reasonTimedOut     = "timed-out"
	reasonStatusPrefix = "status-"
)

// RequestKind is one kind of request that a pool sends.
type RequestKind struct {
	Path       string
	Idempotent bool
	Size       int           // bytes of the response
	Work       float64       // factor on the upstream's mean work
	Timeout    time.Duration // of the logical request with its retries
}

// result is the result of one attempt, from the caller's side.
type result struct {
	ran        bool
	outcome    request.Outcome
	reason     string
	owner      string        // agent that accepted the request, if known
	retryAfter time.Duration // Retry-After
}

func (r result) label() string {
	if r.ran {
		return string(request.OutcomeRan)
	}
	return string(r.outcome) + "/" + r.reason
}

// retryable reports whether the callers' contract allows another attempt.
func (r result) retryable(idempotent bool) bool {
	if r.ran || r.outcome == request.OutcomeRan {
		return false
	}
	if idempotent || r.outcome == request.OutcomeNotRun {
		return true
	}
	// Another attempt queries the owner for the outcome of this one.
	return r.reason == reasonNoAnswer || r.reason == string(request.ReasonDuplicate)
}

// Do sends one request with its retries; it reports whether it ran.
func (p *Pool) Do(ctx context.Context, k RequestKind) bool { return p.do(ctx, k).ran }

func (p *Pool) do(ctx context.Context, k RequestKind) result {
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	start := time.Now()
	id := p.newID()
	p.opts.Counters.update(func(t *Totals) { t.Requests++ })
	var r result
	owner := ""
	sent := 0 // attempts that an agent may have received
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		r = p.sendAttempt(ctx, k, id, sent+1, owner)
		if r.reason != reasonNoFlow {
			sent++
		}
		if r.owner != "" {
			owner = r.owner
		}
		if !r.retryable(k.Idempotent) || ctx.Err() != nil {
			break
		}
		p.opts.Counters.update(func(t *Totals) { t.Refusals[r.label()]++ })
		sleep(ctx, p.backoff(attempt, r.retryAfter))
		if ctx.Err() != nil {
			break
		}
	}
	p.opts.Counters.requestFinished(r, time.Since(start))
	return r
}

// backoff returns an exponential delay with jitter, but at least minimum.
func (p *Pool) backoff(attempt int, minimum time.Duration) time.Duration {
	d := min(retryBaseDelay<<attempt, maxRetryDelay)
	return max(time.Duration(p.randomFloat()*float64(d)), minimum)
}

func (p *Pool) sendAttempt(ctx context.Context, k RequestKind, id string, attempt int, owner string) result {
	p.opts.Counters.update(func(t *Totals) { t.Attempts++ })
	f := p.acquireRandom()
	if f == nil {
		return result{outcome: request.OutcomeNotRun, reason: reasonNoFlow}
	}
	defer f.release()
	var interimOwner atomic.Pointer[string]
	req := p.attemptRequest(ctx, k, id, attempt, owner, &interimOwner)
	res, err := f.client.RoundTrip(req)
	if err != nil {
		r := result{outcome: request.OutcomeUnknown, reason: reasonNoAnswer}
		if ctx.Err() != nil {
			r.reason = reasonTimedOut
		}
		return withOwner(r, interimOwner.Load())
	}
	defer func() { _ = res.Body.Close() }()
	r := p.classify(k, id, attempt, res)
	return withOwner(r, interimOwner.Load())
}

func withOwner(r result, interimOwner *string) result {
	if r.owner == "" && interimOwner != nil {
		r.owner = *interimOwner
	}
	return r
}

func (p *Pool) attemptRequest(ctx context.Context, k RequestKind, id string, attempt int, owner string, interimOwner *atomic.Pointer[string]) *http.Request {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if v := h.Get(request.HeaderOwner); v != "" {
			interimOwner.Store(&v)
		}
		return nil
	}}
	method := http.MethodGet
	if !k.Idempotent {
		method = http.MethodPost
	}
	q := payload.Request{ID: id, Attempt: attempt, Size: k.Size, Work: k.Work}
	req := p.newRequest(httptrace.WithClientTrace(ctx, trace), method, k.Path, q)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		req.Header.Set(request.HeaderDeadline, strconv.FormatInt(remaining, 10))
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

// classify reads a response and determines the attempt's result.
func (p *Pool) classify(k RequestKind, id string, attempt int, res *http.Response) result {
	r := result{owner: res.Header.Get(request.HeaderOwner), retryAfter: parseRetryAfter(res)}
	if reported := res.Header.Get(request.HeaderOutcome); reported != "" && reported != string(request.OutcomeRan) {
		r.outcome = request.Outcome(reported)
		r.reason = res.Header.Get(request.HeaderReason)
		if r.outcome == request.OutcomeNotRun && p.opts.OnNotRun != nil {
			p.opts.OnNotRun(Refusal{ID: id, Attempt: attempt, Path: k.Path, Reason: r.reason})
		}
		return r
	}
	if res.StatusCode != http.StatusOK {
		r.outcome = request.OutcomeUnknown
		r.reason = reasonStatusPrefix + strconv.Itoa(res.StatusCode)
		return r
	}
	return p.verifyBody(k, id, res, r)
}

func parseRetryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get(request.HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryDelay)
}

// verifyBody checks that the response is complete and belongs to the request.
func (p *Pool) verifyBody(k RequestKind, id string, res *http.Response, r result) result {
	// A replayed response of an earlier attempt has its body, but not the
	// upstream's headers.
	replay := res.Header.Get(request.HeaderOutcome) == string(request.OutcomeRan)
	if replay && res.ContentLength == 0 && k.Size > 0 {
		r.outcome, r.reason = request.OutcomeRan, "answer-not-kept"
		return r
	}
	if service := res.Header.Get(payload.HeaderService); !replay && service != p.opts.Service {
		p.opts.Counters.update(func(t *Totals) { t.WrongService++ })
	}
	check, _ := payload.Check(id, k.Size, res.Body)
	if !replay && res.Header.Get(payload.HeaderRequest) != id {
		check = payload.Mismatched
	}
	switch check {
	case payload.Complete:
		r.ran = true
	case payload.Mismatched:
		p.opts.Counters.update(func(t *Totals) { t.Mismatched++ })
		r.outcome, r.reason = request.OutcomeUnknown, "crossed"
	case payload.Truncated:
		p.opts.Counters.update(func(t *Totals) { t.Truncated++ })
		r.outcome, r.reason = request.OutcomeUnknown, "short"
	case payload.ReadFailed:
		r.outcome, r.reason = request.OutcomeUnknown, reasonNoAnswer
		if res.Request.Context().Err() != nil {
			r.reason = reasonTimedOut
		}
	}
	return r
}
