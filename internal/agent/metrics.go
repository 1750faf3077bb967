package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/request"
	"crocusnotch/internal/telemetry"
	"crocusnotch/internal/wire"
)

// dropReason is the reason why a datagram was dropped, a metric label.
type dropReason string

const (
	dropNoKeys            dropReason = "no-keys"
	dropTooShort          dropReason = "too-short"
	dropMalformed         dropReason = "malformed"
	dropUnknownKey        dropReason = "unknown-key"
	dropBadMAC            dropReason = "bad-mac"
	dropWrongKind         dropReason = "kind"
	dropWrongService      dropReason = "wrong-service"
	dropWrongOwner        dropReason = "wrong-owner"
	dropFormerIncarnation dropReason = "former-incarnation"
	dropPathsFull         dropReason = "paths-full"
	dropNoPath            dropReason = "no-path"
	dropSendFailed        dropReason = "send-failed"
	dropBadLoadReport     dropReason = "bad-load-report"
)

func headerDropReason(v wire.HeaderVerdict) dropReason {
	switch v {
	case wire.HeaderTooShort:
		return dropTooShort
	case wire.HeaderUnknownKey:
		return dropUnknownKey
	case wire.HeaderBadMAC:
		return dropBadMAC
	default:
		return dropMalformed
	}
}

// socketMetrics are the datagram counters.
type socketMetrics struct {
	packetsIn  prometheus.Counter
	packetsOut prometheus.Counter
	forwarded  prometheus.Counter
	drops      map[dropReason]prometheus.Counter
}

func (m *socketMetrics) drop(r dropReason) { m.drops[r].Inc() }

// metrics are the counters of one agent.
type metrics struct {
	socket    socketMetrics
	flows     *prometheus.CounterVec // by event
	refused   *prometheus.CounterVec // flows, by reason
	requests  *prometheus.CounterVec // by outcome and reason
	relays    *prometheus.CounterVec // by reason
	retries   *prometheus.CounterVec // by reason
	loadBytes *prometheus.CounterVec // by direction
}

func newMetrics(r prometheus.Registerer) *metrics {
	drops := telemetry.CounterVec("", "agent_datagrams_dropped_total", "Datagrams dropped, by reason.", "reason")
	packets := telemetry.CounterVec("", "agent_packets_total", "QUIC packets, by direction.", "direction")
	m := &metrics{
		flows:     telemetry.CounterVec("", "agent_flows_total", "Flows, by event.", "event"),
		refused:   telemetry.CounterVec("", "agent_flows_refused_total", "Flows refused, by reason.", "reason"),
		requests:  telemetry.CounterVec("", "agent_requests_total", "Requests ended, by outcome and reason.", "outcome", "reason"),
		relays:    telemetry.CounterVec("", "agent_relays_total", "Requests relayed to a peer agent, by reason.", "reason"),
		retries:   telemetry.CounterVec("", "agent_retries_total", "Requests tried again, by reason.", "reason"),
		loadBytes: telemetry.CounterVec("", "agent_load_bytes_total", "Bytes of load reports, by direction.", "direction"),
	}
	r.MustRegister(drops, packets, m.flows, m.refused, m.requests, m.relays, m.retries, m.loadBytes)
	m.socket = socketMetrics{
		packetsIn:  packets.WithLabelValues("in"),
		packetsOut: packets.WithLabelValues("out"),
		forwarded:  packets.WithLabelValues("handed-on"),
		drops:      map[dropReason]prometheus.Counter{},
	}
	for _, d := range dropReasons() {
		m.socket.drops[d] = drops.WithLabelValues(string(d))
	}
	for _, reason := range request.Reasons() {
		m.refused.WithLabelValues(string(reason))
		m.relays.WithLabelValues(string(reason))
		m.retries.WithLabelValues(string(reason))
	}
	return m
}

// registerGauges exports the current state of the agent.
func (a *Agent) registerGauges() {
	load := func(pick func(admission.Load) int) func() float64 {
		return func() float64 { return float64(pick(a.driver.status().load)) }
	}
	gauge := func(name, help string, value func() float64) {
		a.deps.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Name: name, Help: help,
		}, value))
	}
	gauge("agent_flows", "Live flows.", func() float64 { return float64(a.flows.len()) })
	gauge("agent_paths", "Callers with a return path.", func() float64 { return float64(a.socket.paths.len()) })
	gauge("agent_busy", "Slots in use.", load(func(l admission.Load) int { return l.Busy }))
	gauge("agent_limit", "Requests allowed at once now.", load(func(l admission.Load) int { return l.Limit }))
	gauge("agent_queued", "Requests that wait for a slot.", load(func(l admission.Load) int { return l.Queued }))
}

func dropReasons() []dropReason {
	return []dropReason{
		dropNoKeys, dropTooShort, dropMalformed, dropUnknownKey, dropBadMAC, dropWrongKind, dropWrongService,
		dropWrongOwner, dropFormerIncarnation, dropPathsFull, dropNoPath, dropSendFailed, dropBadLoadReport,
	}
}
