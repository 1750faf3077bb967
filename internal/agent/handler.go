package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/request"
)

// maxKeyHeader bounds what is read of a key, in bytes.
const maxKeyHeader = 1 << 10

// requestHandler serves the requests of callers and of peer agents.
type requestHandler struct {
	driver   *driver
	service  func() *config.Service // nil while none is known
	upstream *upstreamClient
	relays   *relayClient
	metrics  *metrics
	owner    string // of this agent, for callers
	// base ends with the process; tries outlive their caller.
	base context.Context
}

// callers returns the handler of the flows. What only agents may say is not
// read.
func (h *requestHandler) callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, request.Request{
			Attempt: attemptOf(r.Header),
			Owner:   refOf(r.Header, request.HeaderOwner),
		})
	})
}

// peers returns the handler of relayed requests.
func (h *requestHandler) peers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		via, err := request.ParseVia(r.Header.Get(request.HeaderRelays))
		target := refOf(r.Header, request.HeaderTarget)
		if err != nil || len(via) == 0 || target == nil {
			http.Error(w, "relay headers are missing", http.StatusBadRequest)
			return
		}
		h.serve(w, r, request.Request{Attempt: attemptOf(r.Header), Via: via, Target: target})
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
	q.Deadline = deadlineOf(r.Header, class.Deadline(), time.Now())
	if class.RunAtMostOnce {
		q.Key = keyOf(r.Header)
	}
	x := h.exchange(w, r, &q)
	if class.RunAtMostOnce && q.Target == nil {
		h.sayOwner(w)
	}
	if !class.StayConnected && !x.prefetch() {
		// To return here would send an empty success.
		panic(http.ErrAbortHandler)
	}
	h.driver.arrive(x, q)
	stop := context.AfterFunc(r.Context(), func() { h.driver.cancelled(x.id) })
	defer stop()
	x.serve()
}

func (h *requestHandler) exchange(w http.ResponseWriter, r *http.Request, q *request.Request) *exchange {
	return &exchange{
		handler:  h,
		inbound:  r,
		body:     newReplayBody(r.Body),
		gate:     newGate(w),
		atMost:   q.Class.RunAtMostOnce,
		stream:   q.Class.StayConnected,
		deadline: q.Deadline,
		relayed:  q.Target != nil,
		actions:  make(chan request.Action, maxActions),
	}
}

// sayOwner tells the caller, before anything runs, which agent knows the
// outcome of the request.
func (h *requestHandler) sayOwner(w http.ResponseWriter) {
	w.Header().Set(request.HeaderOwner, h.owner)
	w.WriteHeader(http.StatusEarlyHints)
}

// refuse answers a request that the engine never saw.
func (h *requestHandler) refuse(w http.ResponseWriter, reason request.Reason) {
	h.metrics.requests.WithLabelValues(string(request.OutcomeNotRun), string(reason)).Inc()
	writeRefusal(w, request.OutcomeNotRun, reason, 0)
}

func keyOf(h http.Header) string {
	key := strings.TrimSpace(h.Get(request.HeaderIdempotencyKey))
	if len(key) > maxKeyHeader {
		return key[:maxKeyHeader]
	}
	return key
}

func attemptOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(request.HeaderAttempt))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

func refOf(h http.Header, name string) *request.AgentRef {
	ref, err := request.ParseAgentRef(h.Get(name))
	if err != nil {
		return nil
	}
	return &ref
}
