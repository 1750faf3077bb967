package agent

import (
	"context"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

// Fleet is the agent's view of the other processes and of the configuration.
type Fleet interface {
	Run(ctx context.Context) error
	Config() *config.Fleet
	Members() []membership.Record
	Watch() <-chan struct{}
	Update(change func(*membership.Record))
	Follow(service string)
	Events() *explain.Ring
	SetStatus(fill func(*wire.Status))
	Leave(ctx context.Context)
}
