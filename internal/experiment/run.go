package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/upstream"
)

const (
	progressInterval = time.Second
	finishTimeout    = 10 * time.Second
)

// Options are what a run is given besides its scenario.
type Options struct {
	Net      netip.Addr // loopback net of the addresses
	Scale    float64    // factor on the callers' flows
	Log      *slog.Logger
	Progress io.Writer // one line a second
}

// run is the state of one run.
type run struct {
	world    *World
	start    time.Time
	elapsed  time.Duration
	flows    int
	factor   atomic.Pointer[float64]
	notSent  atomic.Uint64
	requests context.Context // ends requests that outlast the run
	wg       sync.WaitGroup  // requests
	applied  int

	zoneMoves atomic.Int64 // zone steps so far

	mu          sync.Mutex // guards what follows
	series      map[string]*series
	order       []*series
	marks       []mark
	faults      []string
	zoneOut     float64
	zoneOutBy   string
	zoneOutSeen bool
	zoneBack    *caller.Totals
	zoneBackEnd time.Time
	zoneRatio   float64
	zoneSeen    bool
	inForce     float64
	inForceSeen bool
	overload    overload
}

func (r *run) load() float64 { return *r.factor.Load() }

func (r *run) mark(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, mark{At: time.Since(r.start), Text: text})
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, err.Error())
}

// Run runs the scenario and returns what it showed. The error is about the run
// itself; what went wrong in a step is in the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	w, err := newWorld(s, o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platformCtx, endPlatform := context.WithCancel(ctx)
	defer endPlatform()
	platform, platformCtx := errgroup.WithContext(platformCtx)
	if err := w.serve(platformCtx, platform); err != nil {
		return nil, err
	}
	defer w.stop()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	r := &run{world: w, start: time.Now(), series: map[string]*series{}}
	r.setLoad(s.LoadFactor)
	report, err := r.drive(ctx, o.Progress)
	endPlatform()
	if failed := platform.Wait(); err == nil && failed != nil {
		err = failed
	}
	return report, err
}

// drive opens the callers, offers load, takes the steps and reports.
func (r *run) drive(ctx context.Context, progress io.Writer) (*Report, error) {
	callerCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	callers, _ := errgroup.WithContext(callerCtx)
	if err := r.openCallers(callerCtx, callers); err != nil {
		return nil, err
	}
	r.awaitFlows(ctx)
	settle := seconds(r.world.scenario.SettleSeconds)
	r.start = time.Now().Add(settle)
	cpu := processorTime()
	var endRequests context.CancelFunc
	r.requests, endRequests = context.WithCancel(ctx)
	defer endRequests()

	loadCtx, endLoad := context.WithTimeout(ctx, settle+r.world.scenario.duration())
	defer endLoad()
	work, _ := errgroup.WithContext(loadCtx)
	r.launch(loadCtx, work, progress)
	err := work.Wait()
	late := time.AfterFunc(finishTimeout, endRequests)
	r.wg.Wait()
	late.Stop()
	r.elapsed = time.Since(r.start)
	report := r.report(ctx, (processorTime()-cpu).Seconds()/(settle+r.elapsed).Seconds())
	endCallers()
	if failed := callers.Wait(); err == nil {
		err = failed
	}
	if ctx.Err() != nil {
		return report, errors.Wrap(ctx.Err(), "run")
	}
	return report, err
}

func (r *run) launch(ctx context.Context, g *errgroup.Group, progress io.Writer) {
	for i := range r.world.scenario.Services {
		s := &r.world.scenario.Services[i]
		rnd := rand.New(rand.NewPCG(r.world.scenario.Seed, uint64(i)))
		g.Go(func() error { r.offer(ctx, s, r.world.pools[i], rnd); return nil })
	}
	g.Go(func() error { r.sampler(ctx); return nil })
	g.Go(func() error { r.showProgress(ctx, progress); return nil })
	g.Go(func() error { return r.runSteps(ctx, g) })
}

func (r *run) showProgress(ctx context.Context, out io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.endZoneBack()
		t := r.world.callers.Totals()
		fmt.Fprintf(out, "%3.0fs flows=%d/%d broken=%d requests=%d ran=%d step=%q\n",
			time.Since(r.start).Seconds(), r.openFlows(), r.flows, sum(t.FlowsBroken),
			t.Requests, t.Outcomes["ran"], r.lastMark())
	}
}

// endZoneBack closes the measurement that starts when a zone comes back.
func (r *run) endZoneBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zoneBack == nil || time.Now().Before(r.zoneBackEnd) {
		return
	}
	ratio := zoneBackRatio(*r.zoneBack, r.world.callers.Totals())
	if !r.zoneSeen || ratio < r.zoneRatio {
		r.zoneRatio = ratio
	}
	r.zoneSeen, r.zoneBack = true, nil
}

func (r *run) lastMark() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.marks) == 0 {
		return ""
	}
	return r.marks[len(r.marks)-1].Text
}

func sum[K comparable](m map[K]uint64) uint64 {
	var n uint64
	for _, v := range m {
		n += v
	}
	return n
}

// upstreamCounts adds up the counts of all upstreams.
func (w *World) upstreamCounts() upstream.Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	var t upstream.Counts
	for _, u := range w.upstreams {
		c := u.up.Counts()
		t.Started += c.Started
		t.Shed += c.Shed
		t.Cancelled += c.Cancelled
		t.Expired += c.Expired
		t.Streams += c.Streams
		t.ColdOverload += c.ColdOverload
		t.UnannouncedColdOverload += c.UnannouncedColdOverload
		t.StartedAfterLeaving += c.StartedAfterLeaving
		t.SlotsExceeded += c.SlotsExceeded
	}
	return t
}
