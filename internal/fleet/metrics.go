package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/telemetry"
)

const subsystem = "fleet"

// metrics holds the counters of a node.
type metrics struct {
	messages      *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	changes       *prometheus.CounterVec
	storeErrors   *prometheus.CounterVec
	joins         *prometheus.CounterVec
	rosterWrites  prometheus.Counter
	configRefused prometheus.Counter
	storeRestores prometheus.Counter
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		messages:      telemetry.CounterVec(subsystem, "messages_total", "Membership messages by direction and kind.", "direction", "kind"),
		dropped:       telemetry.CounterVec(subsystem, "dropped_total", "Membership messages dropped by reason.", "reason"),
		changes:       telemetry.CounterVec(subsystem, "changes_total", "Changes of members by new state and cause.", "state", "cause"),
		storeErrors:   telemetry.CounterVec(subsystem, "store_errors_total", "Failed calls to the store by purpose.", "purpose"),
		joins:         telemetry.CounterVec(subsystem, "joins_total", "Searches for peers by result.", "result"),
		rosterWrites:  counter("roster_writes_total", "Writes of the zone's roster."),
		configRefused: counter("config_refused_total", "Configuration objects refused."),
		storeRestores: counter("store_restores_total", "Restores of the store from a copy that were noticed."),
	}
	if r != nil {
		r.MustRegister(m.messages, m.dropped, m.changes, m.storeErrors, m.joins, m.rosterWrites, m.configRefused, m.storeRestores)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
	})
}

// export registers the metrics whose values are read from the node.
func (m *metrics) export(r *prometheus.Registry, n *Node) {
	if r == nil {
		return
	}
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem,
			Name: "received_bytes_total", Help: "Bytes of membership messages received.",
		}, func() float64 { return float64(n.bytesIn.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem,
			Name: "sent_bytes_total", Help: "Bytes of membership messages sent.",
		}, func() float64 { return float64(n.bytesOut.Load()) }),
		gauge("members", "Members that are not final.", func() float64 { return float64(len(n.Members())) }),
		gauge("config_revision", "Revision of the configuration in force.", func() float64 { return float64(config.StoreRevision(n.Config().Revision)) }),
		gauge("config_era", "Era of the store in which that revision was given out.", func() float64 { return float64(config.EraOf(n.Config().Revision)) }),
	)
}

func gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
	}, read)
}
