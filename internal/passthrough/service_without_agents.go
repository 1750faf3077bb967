package passthrough

import (
	"log/slog"
	"maps"
	"slices"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// servicesWithoutAgents returns the services whose only agents are in zones out of service,
// with those zones, sorted. No caller of such a service can be served.
func servicesWithoutAgents(v *View) map[string][]string {
	out := map[string][]string{}
	for name := range v.Fleet.Pools {
		id := config.ServiceID(name)
		if len(v.Agents[id]) > 0 {
			continue
		}
		zones := map[string]bool{}
		for _, a := range v.excluded[id] {
			if a.reason == flow.ExcludedZoneOut {
				zones[a.Zone] = true
			}
		}
		if len(zones) > 0 {
			out[name] = slices.Sorted(maps.Keys(zones))
		}
	}
	return out
}

// reportServicesWithoutAgents logs the services that zones out of service have left
// without agents since the earlier view, and those that have agents again.
func reportServicesWithoutAgents(log *slog.Logger, before, now map[string][]string, version uint64) {
	for _, service := range slices.Sorted(maps.Keys(now)) {
		if !slices.Equal(before[service], now[service]) {
			log.Warn("service without agents", "service", service, "zones_out", now[service], "version", version)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(before)) {
		if now[service] == nil {
			log.Info("service has agents again", "service", service, "version", version)
		}
	}
}
