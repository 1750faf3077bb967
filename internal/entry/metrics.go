package entry

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/routing"
	"crocusnotch/internal/telemetry"
	"crocusnotch/internal/wire"
)

const subsystem = "entry"

// counters counts datagrams by verdict, and failed socket calls.
type counters struct {
	packets      []atomic.Uint64 // by routing.Verdict
	answers      [answerVerdictCount]atomic.Uint64
	readFailures atomic.Uint64
	sendFailures atomic.Uint64
}

func newCounters(registry *prometheus.Registry) *counters {
	c := &counters{packets: make([]atomic.Uint64, len(routing.Verdicts()))}
	for _, v := range routing.Verdicts() {
		register(registry, &c.packets[v], prometheus.CounterOpts{
			Name:        "packets_total",
			Help:        "Packets from the fabric by verdict.",
			ConstLabels: prometheus.Labels{"verdict": v.String()},
		})
	}
	for v, name := range answerVerdictNames {
		register(registry, &c.answers[v], prometheus.CounterOpts{
			Name:        "answers_total",
			Help:        "Datagrams from agents by verdict.",
			ConstLabels: prometheus.Labels{"verdict": name},
		})
	}
	register(registry, &c.readFailures, prometheus.CounterOpts{
		Name: "read_failures_total",
		Help: "Reads from a socket that failed.",
	})
	register(registry, &c.sendFailures, prometheus.CounterOpts{
		Name: "send_failures_total",
		Help: "Datagrams that the system did not take.",
	})
	return c
}

func register(registry *prometheus.Registry, value *atomic.Uint64, opts prometheus.CounterOpts) {
	opts.Namespace = telemetry.Namespace
	opts.Subsystem = subsystem
	read := func() float64 { return float64(value.Load()) }
	registry.MustRegister(prometheus.NewCounterFunc(opts, read))
}

func (c *counters) countPacket(v routing.Verdict) { c.packets[v].Add(1) }

func (c *counters) countAnswer(v answerVerdict) { c.answers[v].Add(1) }

func (c *counters) countReadFailure() { c.readFailures.Add(1) }

func (c *counters) countSendFailures(n int) {
	if n > 0 {
		c.sendFailures.Add(uint64(n))
	}
}

// addToStatus adds the counters that are not zero to a status response.
func (c *counters) addToStatus(s *wire.Status) {
	if s.Counters == nil {
		s.Counters = map[string]uint64{}
	}
	add := func(name string, value *atomic.Uint64) {
		if n := value.Load(); n > 0 {
			s.Counters[name] = n
		}
	}
	for _, v := range routing.Verdicts() {
		add("packets."+v.String(), &c.packets[v])
	}
	for v, name := range answerVerdictNames {
		add("answers."+name, &c.answers[v])
	}
	add("readFailures", &c.readFailures)
	add("sendFailures", &c.sendFailures)
}
