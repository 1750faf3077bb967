package passthrough

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// A zone out of service that holds all agents of a service must be visible to operators,
// once at each change: nothing else tells them why its callers are refused.
func TestServicesWithoutAgents(t *testing.T) {
	is := is.New(t)
	alpha, beta, idle := config.ServiceID("alpha"), config.ServiceID("beta"), config.ServiceID("idle")
	out := func(zone string) excludedAgent { return excludedAgent{flow.Agent{Zone: zone}, flow.ExcludedZoneOut} }
	v := &View{
		Fleet:  &config.Fleet{Pools: map[string]*config.Pool{"alpha": {}, "beta": {}, "idle": {}}},
		Agents: map[uint16][]flow.Agent{beta: {{Zone: "zb"}}},
		excluded: map[uint16][]excludedAgent{
			alpha: {out("zc"), out("za"), out("za")},
			beta:  {out("za")},
			idle:  {{flow.Agent{Zone: "za"}, flow.ExcludedDraining}},
		},
	}
	now := servicesWithoutAgents(v)
	is.Equal(now, map[string][]string{"alpha": {"za", "zc"}})

	var lines bytes.Buffer
	log := slog.New(slog.NewTextHandler(&lines, nil))
	reportServicesWithoutAgents(log, nil, now, 7)
	reportServicesWithoutAgents(log, now, now, 8)
	reportServicesWithoutAgents(log, now, nil, 9)
	is.Equal(strings.Count(lines.String(), "\n"), 2)
	is.True(strings.Contains(lines.String(), `msg="service without agents" service=alpha zones_out="[za zc]" version=7`))
	is.True(strings.Contains(lines.String(), `msg="service has agents again" service=alpha version=9`))
}
