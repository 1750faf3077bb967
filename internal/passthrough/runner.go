package passthrough

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// runner runs the goroutines of an entry or an agent: loops that end with ctx,
// readers that end when their sockets are closed, and a graceful stop.
type runner struct {
	loops   []func(ctx context.Context) error
	sockets []PacketConn
	readers []func() error
	tick    func(now time.Time)
	drain   func(ctx context.Context) // returns when a stop is complete or ctx is done
}

func (r *runner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range r.loops {
		g.Go(func() error { return loop(ctx) })
	}
	for _, read := range r.readers {
		g.Go(read)
	}
	g.Go(func() error { return every(ctx, tickPeriod, r.tick) })
	g.Go(func() error {
		defer cancel()
		r.drain(ctx)
		var err error
		for _, s := range r.sockets {
			err = errors.Join(err, s.Close())
		}
		return err
	})
	return g.Wait()
}
