package agent

import (
	"context"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/fleet"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

// Fleet is the agent's view of the other processes and of the configuration.
type Fleet interface {
	Run(ctx context.Context) error
	Config() *config.Fleet
	Members() []membership.Record
	Watch() <-chan struct{}
	Update(change func(*membership.Record))
	SetServiceName(service string)
	Events() *explain.Ring
	SetStatus(fill func(*wire.Status))
	Leave(ctx context.Context)
}

// newNode returns the fleet node that the settings describe. Its membership
// record is draining and names no service until an upstream is announced.
func newNode(s *config.Agent, d *Deps) (*fleet.Node, error) {
	return fleet.New(fleet.Options{
		Self: membership.Record{
			Addr: s.Data, Control: s.Control, Relay: s.Relay,
			Role: membership.RoleAgent, State: membership.StateDraining,
		},
		Zone:     s.Zone,
		Seeds:    s.Seeds,
		Store:    platform.New(s.Store, platform.Options{Registry: d.Registry}),
		TLS:      d.TLS,
		Log:      d.Log,
		Registry: d.Registry,
	})
}
