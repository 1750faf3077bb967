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

// Fleet is what an entry needs of its fleet node: the configuration in force,
// the members, and its own record among them.
type Fleet interface {
	// Run works until ctx ends or Leave is done.
	Run(ctx context.Context) error
	// Config returns the configuration in force, never nil.
	Config() *config.Fleet
	// Members returns all known members.
	Members() []membership.Record
	// Watch returns a channel that signals changes of Config or Members.
	Watch() <-chan struct{}
	// Update changes the process's own record and announces it.
	Update(change func(*membership.Record))
	// Events returns the process's recent changes of state.
	Events() *explain.Ring
	// SetStatus registers what adds to each status answer.
	SetStatus(fill func(*wire.Status))
	// Leave announces that the process has left.
	Leave(ctx context.Context)
}

// newNode returns the fleet node that the settings describe.
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
