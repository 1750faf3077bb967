package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Service runs alongside a process until ctx ends.
type Service func(ctx context.Context) error

// processWithServices is a process with services that run alongside it.
type processWithServices struct {
	Process
	services []Service
}

// WithServices returns a process that runs p and, until p returns, the services.
func WithServices(p Process, services ...Service) Process {
	return &processWithServices{Process: p, services: services}
}

// Run implements Process.
func (w *processWithServices) Run(ctx context.Context) error {
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
