package entry

import (
	"context"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/fleet"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

// Fleet is the part of the fleet node that an entry uses: the configuration in
// force, the members, and the process's own record.
type Fleet interface {
	// Run runs the node until ctx ends or Leave is done.
	Run(ctx context.Context) error
	// Config returns the configuration in force, never nil.
	Config() *config.Fleet
	// Members returns all known members.
	Members() []membership.Record
	// Watch returns a channel that receives a value when Config or Members
	// changes.
	Watch() <-chan struct{}
	// Update changes the process's own record and announces the change.
	Update(change func(*membership.Record))
	// Events returns the recent state changes recorded by the process.
	Events() *explain.Ring
	// SetStatus registers a function that adds fields to each status response.
	SetStatus(fill func(*wire.Status))
	// Leave announces that the process has left.
	Leave(ctx context.Context)
}

// newNode creates a fleet node from the settings.
func newNode(s *config.Entry, d *Deps) (Fleet, error) {
	return fleet.New(fleet.Options{
		Self: membership.Record{
			Addr:    s.Data,
			Control: s.Control,
			Role:    membership.RoleEntry,
			State:   membership.StateReady,
		},
		Zone:     s.Zone,
		Seeds:    s.Seeds,
		Store:    platform.New(s.Store, platform.Options{Registry: d.Registry}),
		TLS:      d.TLS,
		Log:      d.Log,
		Registry: d.Registry,
	})
}
