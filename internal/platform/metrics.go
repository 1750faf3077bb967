package platform

import (
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/telemetry"
)

type metrics struct {
	calls   *prometheus.CounterVec
	retries *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls:   storeCounter("calls_total", "Calls to the platform's store by method and result.", "result"),
		retries: storeCounter("retries_total", "Repeated calls to the platform's store by method and reason.", "reason"),
	}
	if r != nil {
		r.MustRegister(m.calls, m.retries)
	}
	return m
}

func storeCounter(name, help, label string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: telemetry.Namespace, Subsystem: "store", Name: name, Help: help}
	return prometheus.NewCounterVec(opts, []string{"method", label})
}

func (m *metrics) call(method, result string) { m.calls.WithLabelValues(method, result).Inc() }

func (m *metrics) retry(method, reason string) { m.retries.WithLabelValues(method, reason).Inc() }
