package agent

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"crocusnotch/internal/request"
)

// headerNotRun marks an upstream's 503 as a refusal before the request ran.
const headerNotRun = "Crocus-Not-Run"

// ownPrefix starts the names of the fleet's own headers.
const fleetPrefix = "Crocus-"

// copyHeaders copies the end-to-end headers from src to dst, without those of
// the fleet.
func copyHeaders(dst, src http.Header) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if hopByHop(name) || listed[name] || strings.HasPrefix(name, fleetPrefix) {
			continue
		}
		dst[name] = append(dst[name], values...)
	}
}

func connectionHeaders(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// hopByHop reports whether a header concerns one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// deadlineOf returns when the caller stops waiting, the sooner of the class's
// limit and the caller's header. The zero time means none.
func requestDeadline(h http.Header, limit time.Duration, now time.Time) time.Time {
	millis, err := strconv.ParseInt(h.Get(request.HeaderDeadline), 10, 32)
	requested := time.Duration(millis) * time.Millisecond
	if err != nil || requested <= 0 {
		requested = 0
	}
	switch {
	case limit == 0:
		limit = requested
	case requested > 0:
		limit = min(limit, requested)
	}
	if limit == 0 {
		return time.Time{}
	}
	return now.Add(limit)
}

// setDeadline passes the remaining time on.
func setDeadlineHeader(h http.Header, deadline, now time.Time) {
	if deadline.IsZero() {
		return
	}
	left := max(1, deadline.Sub(now).Milliseconds())
	h.Set(request.HeaderDeadline, strconv.FormatInt(left, 10))
}

// status returns the HTTP status of an answer that is not the upstream's.
func statusCode(o request.Outcome, r request.Reason) int {
	switch r {
	case request.ReasonKeyMissing:
		return http.StatusBadRequest
	case request.ReasonNoClass:
		return http.StatusNotFound
	case request.ReasonDuplicate:
		return http.StatusConflict
	case request.ReasonQueueDeadline, request.ReasonUpstreamTimeout:
		return http.StatusGatewayTimeout
	}
	if o == request.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeRefusal answers a request that has no answer of the upstream.
func writeFailure(w http.ResponseWriter, o request.Outcome, r request.Reason, retryAfter time.Duration) {
	h := w.Header()
	h.Set(request.HeaderOutcome, string(o))
	if r != request.ReasonNone {
		h.Set(request.HeaderReason, string(r))
	}
	if retryAfter > 0 {
		// The header counts whole seconds; a shorter pause is rounded up.
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		h.Set(request.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(statusCode(o, r))
}
