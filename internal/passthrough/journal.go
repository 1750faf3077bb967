package passthrough

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/telemetry"
)

const subsystem = "passthrough"

// counters are the metrics of an entry or an agent.
type counters struct {
	decisions *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	packets   *prometheus.CounterVec
}

func newCounters(r *prometheus.Registry) *counters {
	c := &counters{
		decisions: counterVec("decisions_total", "Decisions about flows by kind and reason.", "decision", "reason"),
		dropped:   counterVec("dropped_total", "Datagrams dropped by reason.", "reason"),
		packets:   counterVec("packets_total", "Datagrams by direction.", "direction"),
	}
	if r != nil {
		r.MustRegister(c.decisions, c.dropped, c.packets)
	}
	return c
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, labels)
}

// Reasons of dropped datagrams.
const (
	dropMalformed = "malformed"
	dropBadMAC    = "bad-mac"
	dropRead      = "read-failed"
	dropSend      = "send-failed"
)

func (c *counters) drop(reason string) { c.dropped.WithLabelValues(reason).Inc() }

// observer logs and counts decisions.
func (c *counters) observer(log *slog.Logger, start time.Time) Observer {
	_ = start
	return func(d Decision) {
		c.decisions.WithLabelValues(d.What, d.Reason).Inc()
		log.Info(
			"flow", "decision", d.What, "reason", d.Reason, "flow", d.Key.String(),
			"agent", d.Agent.String(), "tries", d.Tries, "age_ms", d.Age,
		)
	}
}
