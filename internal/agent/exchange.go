package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocusnotch/internal/request"
)

// maxActions bounds the actions of one exchange that wait at a time: one try
// or question, and the reply.
const maxActions = 4

// exchange is one request with its caller and its tries.
type exchange struct {
	handler    *requestHandler
	id         request.ID
	inbound    *http.Request
	body       *replayBody
	response   *responseWriter
	atMostOnce bool
	stream     bool
	deadline   time.Time
	relayed    bool // it came from a peer agent
	actions    chan request.Action

	mu         sync.Mutex
	cancel     context.CancelFunc // ends the current try
	cancelled  bool
	attempting bool
	replied    bool
}

// post hands an action to the exchange's handler.
func (x *exchange) post(a request.Action) {
	select {
	case x.actions <- a:
	default:
		panic("agent: more actions than an exchange can have")
	}
}

// cancelTry ends the current try, or the next one before it starts.
func (x *exchange) cancelAttempt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.cancel != nil {
		x.cancel()
	}
}

// beginTry returns the context of a try. It outlives the caller, because the
// outcome of a non-idempotent request must be learned.
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

// endReply marks the exchange as answered; a try may go on.
func (x *exchange) endReply() {
	x.mu.Lock()
	x.replied = true
	last := !x.attempting
	x.mu.Unlock()
	if last {
		x.handler.driver.remove(x.id)
	}
}

// prefetch reads a short request body before the request asks for a slot, so
// that a slow caller holds none. It returns false when the caller broke it off.
func (x *exchange) prefetchBody() bool {
	if x.inbound.ContentLength == 0 {
		return true
	}
	if !x.deadline.IsZero() {
		_ = x.response.controller.SetReadDeadline(x.deadline)
	}
	err := x.body.prefetch()
	if x.inbound.Context().Err() != nil {
		return false
	}
	if err == nil {
		_ = x.response.controller.SetReadDeadline(time.Time{})
	}
	// After a read error the deadline has passed, and the engine refuses.
	return err == nil || !x.deadline.IsZero() && !time.Now().Before(x.deadline)
}

// serve carries out the engine's actions until the request is answered.
func (x *exchange) serve() {
	for a := range x.actions {
		switch a := a.(type) {
		case request.RunUpstream:
			ctx := x.beginAttempt()
			go x.runUpstream(ctx)
		case request.RelayTo:
			ctx := x.beginAttempt()
			go x.relay(ctx, a)
		case request.AskOwner:
			go x.queryOwner(a)
		case request.ReplayAnswer:
			x.endReply()
			x.replay(a.Answer)
			return
		case request.Reply:
			x.endReply()
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

func (x *exchange) queryOwner(a request.AskOwner) {
	r := x.handler.relays.resolve(x.inbound.Context(), a)
	x.handler.driver.ownerAnswered(x.id, r)
}

// established is called when the head of an answer is about to be passed on.
func (x *exchange) beforeResponse() {
	x.body.discard()
	if x.stream {
		x.handler.driver.established(x.id)
	}
	x.setLoadHeader(x.response.Header())
}

// reply ends the request towards the caller.
func (x *exchange) reply(a request.Reply) {
	x.handler.metrics.requests.WithLabelValues(string(a.Outcome), string(a.Reason)).Inc()
	if a.Outcome == request.OutcomeRan {
		x.response.finish()
		return
	}
	if x.response.close() {
		// Part of the answer is with the caller: only a reset tells that it
		// is not whole.
		panic(http.ErrAbortHandler)
	}
	x.setLoadHeader(x.response.inner.Header())
	writeFailure(x.response.inner, a.Outcome, a.Reason, a.RetryAfter)
}

// reportLoad tells the peer agent that relayed the request of this agent's
// load.
func (x *exchange) setLoadHeader(h http.Header) {
	if x.relayed {
		h.Set(request.HeaderLoad, x.handler.driver.report().String())
	}
}

// replay answers with the kept answer of an earlier try.
func (x *exchange) replay(a *request.Answer) {
	x.handler.metrics.requests.WithLabelValues(string(request.OutcomeRan), "replay").Inc()
	x.response.close()
	h := x.response.inner.Header()
	h.Set(request.HeaderOutcome, string(request.OutcomeRan))
	if a == nil {
		x.response.inner.WriteHeader(http.StatusOK)
		return
	}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	x.response.inner.WriteHeader(a.Status)
	_, _ = x.response.inner.Write(a.Body)
}
