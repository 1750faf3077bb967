package entry

import (
	"context"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/membership"
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
