package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Service works beside a process until ctx ends.
type Service func(ctx context.Context) error

// withServices is a process with services beside it.
type withServices struct {
	Process
	services []Service
}

// WithServices returns a process that runs services as long as p runs.
func WithServices(p Process, services ...Service) Process {
	return &withServices{Process: p, services: services}
}

// Run implements Process.
func (w *withServices) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range w.services {
		g.Go(func() error { return s(ctx) })
	}
	g.Go(func() error {
		defer cancel()
		return w.Process.Run(ctx)
	})
	return g.Wait()
}
