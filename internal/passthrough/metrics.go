package passthrough

import (
	"log/slog"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/explain"
	"crocusnotch/internal/telemetry"
)

const subsystem = "passthrough"

// counters are the metrics of an entry or an agent.
type counters struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	dropped   *prometheus.CounterVec
	placement prometheus.Histogram
	answers   prometheus.Histogram
	pauses    prometheus.Counter
	hedges    *prometheus.CounterVec

	upstreamChecks *prometheus.CounterVec
	checkpoints    *prometheus.CounterVec
	announcements  *prometheus.CounterVec
}

// latencyBuckets range from the latency of a hop inside a zone to the longest
// deadline of a request, in seconds.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

func newCounters(r *prometheus.Registry) *counters {
	c := &counters{
		registry:  r,
		decisions: telemetry.CounterVec(subsystem, "decisions_total", "Decisions about flows by kind and reason.", "decision", "reason"),
		dropped:   telemetry.CounterVec(subsystem, "dropped_total", "Datagrams dropped by reason.", "reason"),
		hedges:    telemetry.CounterVec(subsystem, "hedges_total", "Openings that waited for the hedge delay, and what became of their hedges.", "outcome"),
		placement: histogram("placement_seconds", "Time from a flow's first packet here until its owner is known."),
		answers:   histogram("answer_seconds", "Time from a request to the first packet of its answer."),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "pauses_total",
			Help: "Pauses of a second or more in which the process did not run.",
		}),
		checkpoints:    telemetry.CounterVec(subsystem, "checkpoints_total", "Reads and writes of the checkpoint of flows, by outcome.", "outcome"),
		announcements:  telemetry.CounterVec(subsystem, "announcements_total", "Announcements at the agent's address, by effect.", "outcome"),
		upstreamChecks: telemetry.CounterVec(subsystem, "upstream_checks_total", "Checks whether an upstream is running, by result.", "result"),
	}
	if r != nil {
		r.MustRegister(c.decisions, c.dropped, c.placement, c.answers, c.pauses, c.upstreamChecks, c.hedges, c.checkpoints, c.announcements)
	}
	return c
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: latencyBuckets,
	})
}

func (c *counters) gauge(name, help string, read func() float64) {
	if c.registry == nil {
		return
	}
	c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, read))
}

// Reasons for dropping datagrams.
const (
	dropMalformed = "malformed"
	dropBadMAC    = "bad-mac"
	dropRead      = "read-failed"
	dropSend      = "send-failed"
)

func (c *counters) countDropped(reason string) { c.dropped.WithLabelValues(reason).Inc() }

// observer returns an Observer that logs and counts decisions, and adds them to
// the ring of recent events.
func (c *counters) observer(log *slog.Logger, events func() *explain.Ring) Observer {
	return func(d Decision) {
		if d.Kind == DecisionHedge {
			c.hedges.WithLabelValues(d.Reason).Inc()
			if d.Reason != hedgeSent {
				return // one line for each hedge
			}
		}
		if ring := events(); ring != nil {
			ring.Add(time.Now(), explain.SubjectFlow, d.Key.String(), d.Kind, strings.TrimSpace(d.Reason+" "+d.Agent.String()))
		}
		c.decisions.WithLabelValues(d.Kind, d.Reason).Inc()
		if d.Kind == DecisionOwned || d.Kind == DecisionFound {
			c.placement.Observe(d.Age.Seconds())
		}
		log.Info(
			"flow", "decision", d.Kind, "reason", d.Reason, "flow", d.Key.String(), "agent", d.Agent.String(),
			"tries", d.Tries, "age_ms", d.Age.Milliseconds(), "version", d.Version,
		)
	}
}
