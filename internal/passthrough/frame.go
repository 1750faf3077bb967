package passthrough

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// frame is what an entry and an agent run: loops that end with ctx, loops that
// end when their sockets are closed, and a graceful stop.
type frame struct {
	loops   []func(ctx context.Context) error
	sockets []PacketConn
	readers []func() error
	tick    func(now time.Time)
	drain   func(ctx context.Context) // returns when a stop is done or ctx ended
}

func (f *frame) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range f.loops {
		g.Go(func() error { return loop(ctx) })
	}
	for _, read := range f.readers {
		g.Go(read)
	}
	g.Go(func() error { return every(ctx, tickPeriod, f.tick) })
	g.Go(func() error {
		defer cancel()
		f.drain(ctx)
		var err error
		for _, s := range f.sockets {
			err = errors.Join(err, s.Close())
		}
		return err
	})
	return g.Wait()
}
