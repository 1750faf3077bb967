package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocusnotch/internal/request"
)

// maxActions bounds the pending actions of one exchange: one attempt or query,
// and the reply.
const maxActions = 4

// exchange is one request with its caller and its attempts.
type exchange struct {
	handler    *requestHandler
	id         request.ID
	inbound    *http.Request
	body       *replayBody
	response   *guardedWriter
	atMostOnce bool
	stream     bool
	deadline   time.Time
	relayed    bool // a peer agent relayed the request
	actions    chan request.Action

	mu         sync.Mutex
	cancel     context.CancelFunc // cancels the current attempt
	cancelled  bool
	attempting bool
	replied    bool
}

// post queues an action for the exchange's handler.
func (x *exchange) post(a request.Action) {
	select {
	case x.actions <- a:
	default:
		panic("agent: more actions than an exchange can have")
	}
}

// cancelAttempt cancels the current attempt or, if there is none, the next one
// before it starts.
func (x *exchange) cancelAttempt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.cancel != nil {
		x.cancel()
	}
}

// beginAttempt returns the context of an attempt. The context does not end when
// the caller disconnects, because the outcome of a non-idempotent request must be
// recorded.
func (x *exchange) beginAttempt() context.Context {
	ctx, cancel := context.WithCancel(x.handler.baseContext)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempting = true
	x.cancel = cancel
	if x.cancelled {
		cancel()
	}
	return ctx
}

func (x *exchange) endAttempt() {
	x.mu.Lock()
	x.cancel()
	x.cancel = nil
	x.cancelled = false
	x.attempting = false
	last := x.replied
	x.mu.Unlock()
	if last {
		x.handler.driver.remove(x.id)
	}
}

// markReplied marks the exchange as replied; an attempt may still be running.
func (x *exchange) markReplied() {
	x.mu.Lock()
	x.replied = true
	last := !x.attempting
	x.mu.Unlock()
	if last {
		x.handler.driver.remove(x.id)
	}
}

// prefetchBody reads the request body, up to maxReplayBody, before the request
// takes a slot, so that a slow caller does not hold one. It returns false when
// reading failed before the deadline, for example because the caller disconnected.
func (x *exchange) prefetchBody() bool {
	if x.inbound.ContentLength == 0 {
		return true
	}
	if !x.deadline.IsZero() {
		_ = x.response.rc.SetReadDeadline(x.deadline)
	}
	err := x.body.prefetch()
	if x.inbound.Context().Err() != nil {
		return false
	}
	if err == nil {
		_ = x.response.rc.SetReadDeadline(time.Time{})
	}
	// If the deadline has passed, the engine refuses the request.
	return err == nil || !x.deadline.IsZero() && !time.Now().Before(x.deadline)
}

// serve executes the engine's actions until the request has its reply.
func (x *exchange) serve() {
	for a := range x.actions {
		switch a := a.(type) {
		case request.RunUpstream:
			ctx := x.beginAttempt()
			go x.runUpstream(ctx)
		case request.RelayTo:
			ctx := x.beginAttempt()
			go x.relay(ctx, a)
		case request.QueryOwner:
			go x.queryOwner(a)
		case request.ReplayResponse:
			x.markReplied()
			x.replay(a.Response)
			return
		case request.Reply:
			x.markReplied()
			x.reply(a)
			return
		}
	}
}

func (x *exchange) runUpstream(ctx context.Context) {
	r := x.handler.upstream.run(ctx, x)
	x.endAttempt()
	x.handler.driver.upstreamDone(x.id, r)
}

func (x *exchange) relay(ctx context.Context, a request.RelayTo) {
	r := x.handler.relays.run(ctx, x, a)
	x.endAttempt()
	x.handler.driver.relayDone(x.id, r)
}

func (x *exchange) queryOwner(a request.QueryOwner) {
	r := x.handler.relays.resolve(x.inbound.Context(), a)
	x.handler.driver.queryDone(x.id, r)
}

// beforeResponse is called before the header of a response is forwarded.
func (x *exchange) beforeResponse() {
	x.body.discard()
	if x.stream {
		x.handler.driver.established(x.id)
	}
	x.setLoadHeader(x.response.Header())
}

// reply ends the caller's request.
func (x *exchange) reply(a request.Reply) {
	x.handler.metrics.requests.WithLabelValues(string(a.Outcome), string(a.Reason)).Inc()
	if a.Outcome == request.OutcomeRan {
		x.response.finish()
		return
	}
	if x.response.close() {
		// The caller has received part of the response: only a stream reset
		// shows that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	x.setLoadHeader(x.response.w.Header())
	writeFailure(x.response.w, a.Outcome, a.Reason, a.RetryAfter)
}

// setLoadHeader reports this agent's load to the peer agent that relayed the
// request.
func (x *exchange) setLoadHeader(h http.Header) {
	if x.relayed {
		h.Set(request.HeaderLoad, x.handler.driver.report().String())
	}
}

// replay responds with the recorded response of an earlier attempt.
func (x *exchange) replay(recorded *request.Response) {
	x.handler.metrics.requests.WithLabelValues(string(request.OutcomeRan), "replay").Inc()
	x.response.close()
	h := x.response.w.Header()
	h.Set(request.HeaderOutcome, string(request.OutcomeRan))
	if recorded == nil {
		x.response.w.WriteHeader(http.StatusOK)
		return
	}
	if recorded.ContentType != "" {
		h.Set("Content-Type", recorded.ContentType)
	}
	x.response.w.WriteHeader(recorded.Status)
	_, _ = x.response.w.Write(recorded.Body)
}
