package platform

import (
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/telemetry"
)

// subsystem is part of the names of the metrics.
const subsystem = "store"

type metrics struct {
	calls   *prometheus.CounterVec
	retries *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	eras    *prometheus.CounterVec

	unreadable *prometheus.CounterVec
}

// callBuckets are in seconds and range from a fast response to the longest watch.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 30}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls:   storeCounter("calls_total", "Calls to the platform's store by method and result.", "result"),
		retries: storeCounter("retries_total", "Repeated calls to the platform's store by method and reason.", "reason"),
	}
	m.eras = telemetry.CounterVec(subsystem, "eras_total", "Eras in the store's responses that rose or could not be read.", "result")
	m.unreadable = telemetry.CounterVec(subsystem, "unreadable_objects_total", "Objects in lists of the store that could not be read, by kind.", "kind")
	m.seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "call_seconds",
		Help: "Duration of calls to the platform's store by method, waiting included.", Buckets: callBuckets,
	}, []string{"method"})
	if r != nil {
		r.MustRegister(m.calls, m.retries, m.seconds, m.eras, m.unreadable)
	}
	return m
}

func storeCounter(name, help, label string) *prometheus.CounterVec {
	return telemetry.CounterVec(subsystem, name, help, "method", label)
}

func (m *metrics) countCall(method, result string) { m.calls.WithLabelValues(method, result).Inc() }

func (m *metrics) countRetry(method, reason string) { m.retries.WithLabelValues(method, reason).Inc() }
