package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/request"
)

// maxKeySize is the length that an idempotency key is truncated to, in bytes. The
// engine refuses keys that are longer than request.MaxKeyBytes.
const maxKeySize = 1 << 10

// resumePollInterval is the interval at which a request that arrived during a pause of
// the process checks whether the loop has handled the pause, which takes up to
// tickInterval.
const resumePollInterval = 5 * time.Millisecond

// requestHandler serves the requests of callers and of peer agents.
type requestHandler struct {
	driver   *driver
	service  func() *config.Service // returns nil before the service is known
	upstream *upstreamClient
	relays   *relayClient
	metrics  *metrics
	self     string // this agent's reference, sent to callers as the owner
	// paused reports whether the process was paused and the loop has not yet expired
	// what ran out meanwhile.
	paused func() bool
	// baseContext ends with the process. Attempts use it because they may
	// continue after the caller has disconnected.
	baseContext context.Context
}

// callerHandler returns the handler for requests from flows. It ignores the
// headers that only agents may set.
func (h *requestHandler) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, request.Request{
			Attempt: attemptNumber(r.Header),
			Owner:   parseRef(r.Header, request.HeaderOwner),
		})
	})
}

// peerHandler returns the handler for relayed requests.
func (h *requestHandler) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		via, err := request.ParseVia(r.Header.Get(request.HeaderRelays))
		target := parseRef(r.Header, request.HeaderTarget)
		if err != nil || len(via) == 0 || target == nil {
			http.Error(w, "relay headers are missing", http.StatusBadRequest)
			return
		}
		h.serve(w, r, request.Request{Attempt: attemptNumber(r.Header), Via: via, Target: target})
	})
}

func (h *requestHandler) serve(w http.ResponseWriter, r *http.Request, q request.Request) {
	service := h.service()
	if service == nil {
		h.refuse(w, request.ReasonNoConfig)
		return
	}
	class := service.ClassOf(r.Method, r.URL.Path)
	if class == nil {
		h.refuse(w, request.ReasonNoClass)
		return
	}
	q.Class = *class
	q.Deadline = requestDeadline(r.Header, class.Deadline(), time.Now())
	if class.RunAtMostOnce {
		q.Key = idempotencyKey(r.Header)
	}
	x := h.newExchange(w, r, &q)
	if class.RunAtMostOnce && q.Target == nil {
		h.sendOwner(w)
	}
	if !class.StayConnected && !x.prefetchBody() {
		// Returning would send an empty response with status 200.
		panic(http.ErrAbortHandler)
	}
	for h.paused() && lifecycle.Sleep(r.Context(), resumePollInterval) {
	}
	h.driver.submit(x, q)
	stop := context.AfterFunc(r.Context(), func() { h.driver.cancelled(x.id) })
	defer stop()
	x.serve()
}

func (h *requestHandler) newExchange(w http.ResponseWriter, r *http.Request, q *request.Request) *exchange {
	return &exchange{
		handler:    h,
		inbound:    r,
		body:       newReplayBody(r.Body),
		response:   newGuardedWriter(w),
		atMostOnce: q.Class.RunAtMostOnce,
		stream:     q.Class.StayConnected,
		deadline:   q.Deadline,
		relayed:    q.Target != nil,
		actions:    make(chan request.Action, maxActions),
	}
}

// sendOwner sends the caller, before the request runs, the reference of the agent
// that keeps the outcome of the request.
func (h *requestHandler) sendOwner(w http.ResponseWriter) {
	w.Header().Set(request.HeaderOwner, h.self)
	w.WriteHeader(http.StatusEarlyHints)
}

// refuse responds to a request that was not passed to the engine.
func (h *requestHandler) refuse(w http.ResponseWriter, reason request.Reason) {
	h.metrics.requests.WithLabelValues(string(request.OutcomeNotRun), string(reason)).Inc()
	writeFailure(w, request.OutcomeNotRun, reason, 0)
}

func idempotencyKey(h http.Header) string {
	key := strings.TrimSpace(h.Get(request.HeaderIdempotencyKey))
	if len(key) > maxKeySize {
		return key[:maxKeySize]
	}
	return key
}

func attemptNumber(h http.Header) int {
	n, err := strconv.Atoi(h.Get(request.HeaderAttempt))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

func parseRef(h http.Header, name string) *request.AgentRef {
	ref, err := request.ParseAgentRef(h.Get(name))
	if err != nil {
		return nil
	}
	return &ref
}
