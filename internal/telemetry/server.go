// Package telemetry serves a process's metrics and health checks over HTTP and sets
// up its logger.
package telemetry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"crocusnotch/internal/lifecycle"
)

// Namespace prefixes all metrics.
const Namespace = "crocus"

const (
	readHeaderTimeout = 5 * time.Second
	closeTimeout      = time.Second
)

// Health reports whether the process can do its work and, if not, the reason.
type Health func() (ok bool, reason string)

// NewRegistry returns a registry with the metrics of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// CounterVec returns a counter vector with the labels. The subsystem may be empty.
func CounterVec(subsystem, name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, labels)
}

// Serve serves /metrics and /healthz on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, r *prometheus.Registry, health Health) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := health()
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return lifecycle.ServeHTTP(ctx, "metrics", server, l, closeTimeout)
}
