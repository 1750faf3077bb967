package agent

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"crocusnotch/internal/request"
)

// headerNotRun marks an upstream's 503 as a refusal to run the request.
const headerNotRun = "Crocus-Not-Run"

// fleetPrefix is the prefix of the fleet's own headers.
const fleetPrefix = "Crocus-"

// copyHeaders copies the end-to-end headers from src to dst, except for the
// fleet's own.
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

// hopByHop reports whether a header applies to a single connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// requestDeadline returns the earlier of the class's limit and the deadline in
// the caller's header. The zero time means that there is no deadline.
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

// setDeadlineHeader sends the remaining time to the next hop.
func setDeadlineHeader(h http.Header, deadline, now time.Time) {
	if deadline.IsZero() {
		return
	}
	left := max(1, deadline.Sub(now).Milliseconds())
	h.Set(request.HeaderDeadline, strconv.FormatInt(left, 10))
}

// statusCode returns the HTTP status of a response that the agent generates.
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

// writeFailure responds to a request that has no response of the upstream.
func writeFailure(w http.ResponseWriter, o request.Outcome, r request.Reason, retryAfter time.Duration) {
	h := w.Header()
	h.Set(request.HeaderOutcome, string(o))
	if r != request.ReasonNone {
		h.Set(request.HeaderReason, string(r))
	}
	if retryAfter > 0 {
		// The header counts whole seconds, rounded up.
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		h.Set(request.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(statusCode(o, r))
}
