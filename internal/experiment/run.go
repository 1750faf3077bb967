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

// Options are the settings of a run besides its scenario.
type Options struct {
	Net      netip.Addr // loopback network of the addresses
	Scale    float64    // factor on the number of callers' flows
	Log      *slog.Logger
	Progress io.Writer // receives one line per second
}

// run is the state of one run.
type run struct {
	testbed       *Testbed
	start         time.Time
	elapsed       time.Duration
	targetFlows   int
	factor        atomic.Pointer[float64]
	notSent       atomic.Uint64
	requestCtx    context.Context // cancels requests that are in flight finishTimeout after the load ends
	inFlight      sync.WaitGroup  // requests
	configChanges int

	zoneChanges atomic.Int64 // zone steps so far

	mu                    sync.Mutex // guards the fields below
	series                map[string]*series
	seriesInOrder         []*series
	stepRecords           []stepRecord
	failures              []string
	zoneOutSeconds        float64
	zoneOutReceiver       string
	zoneOutMeasured       bool
	zoneBackStart         *caller.Totals
	zoneBackEnd           time.Time
	zoneBackSuccess       float64
	zoneBackMeasured      bool
	configAppliedSeconds  float64
	configAppliedMeasured bool
	overload              overload
}

func (r *run) loadFactor() float64 { return *r.factor.Load() }

func (r *run) recordStep(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepRecords = append(r.stepRecords, stepRecord{At: time.Since(r.start), Text: text})
}

func (r *run) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, err.Error())
}

// Run runs the scenario and returns its report. The error covers the run itself;
// failures of steps are in the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	tb, err := newTestbed(s, o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platformCtx, endPlatform := context.WithCancel(ctx)
	defer endPlatform()
	platform, platformCtx := errgroup.WithContext(platformCtx)
	if err := tb.runPlatform(platformCtx, platform); err != nil {
		return nil, err
	}
	defer tb.killAll()
	if err := tb.startFleet(ctx); err != nil {
		return nil, err
	}
	r := &run{testbed: tb, start: time.Now(), series: map[string]*series{}}
	r.setLoad(s.LoadFactor)
	report, err := r.runLoad(ctx, o.Progress)
	endPlatform()
	if failed := platform.Wait(); err == nil && failed != nil {
		err = failed
	}
	return report, err
}

// runLoad opens the flows, offers load, runs the steps and returns the report.
func (r *run) runLoad(ctx context.Context, progress io.Writer) (*Report, error) {
	callerCtx, endCallers := context.WithCancel(ctx)
	defer endCallers()
	callers, _ := errgroup.WithContext(callerCtx)
	if err := r.openCallers(callerCtx, callers); err != nil {
		return nil, err
	}
	r.awaitFlows(ctx)
	settle := seconds(r.testbed.scenario.SettleSeconds)
	r.start = time.Now().Add(settle)
	cpu := cpuTime()
	var endRequests context.CancelFunc
	r.requestCtx, endRequests = context.WithCancel(ctx)
	defer endRequests()

	loadCtx, endLoad := context.WithTimeout(ctx, settle+r.testbed.scenario.duration())
	defer endLoad()
	work, _ := errgroup.WithContext(loadCtx)
	r.startWorkers(loadCtx, work, progress)
	err := work.Wait()
	cutoff := time.AfterFunc(finishTimeout, endRequests)
	r.inFlight.Wait()
	cutoff.Stop()
	r.elapsed = time.Since(r.start)
	report := r.report(ctx, (cpuTime()-cpu).Seconds()/(settle+r.elapsed).Seconds())
	endCallers()
	if failed := callers.Wait(); err == nil {
		err = failed
	}
	if ctx.Err() != nil {
		return report, errors.Wrap(ctx.Err(), "run")
	}
	return report, err
}

func (r *run) startWorkers(ctx context.Context, g *errgroup.Group, progress io.Writer) {
	for i := range r.testbed.scenario.Services {
		s := &r.testbed.scenario.Services[i]
		rnd := rand.New(rand.NewPCG(r.testbed.scenario.Seed, uint64(i)))
		g.Go(func() error { r.offerLoad(ctx, s, r.testbed.pools[i], rnd); return nil })
	}
	g.Go(func() error { r.sampleLoad(ctx); return nil })
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
		r.finishZoneBack()
		t := r.testbed.callers.Totals()
		fmt.Fprintf(out, "%3.0fs flows=%d/%d broken=%d requests=%d ran=%d step=%q\n",
			time.Since(r.start).Seconds(), r.openFlows(), r.targetFlows, sum(t.FlowsBroken),
			t.Requests, t.Outcomes["ran"], r.lastStep())
	}
}

// finishZoneBack completes the measurement that startZoneBack began, once
// zoneBackPeriod is over, and keeps the lowest ratio of the run.
func (r *run) finishZoneBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zoneBackStart == nil || time.Now().Before(r.zoneBackEnd) {
		return
	}
	ratio := successRatio(*r.zoneBackStart, r.testbed.callers.Totals())
	if !r.zoneBackMeasured || ratio < r.zoneBackSuccess {
		r.zoneBackSuccess = ratio
	}
	r.zoneBackMeasured, r.zoneBackStart = true, nil
}

func (r *run) lastStep() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.stepRecords) == 0 {
		return ""
	}
	return r.stepRecords[len(r.stepRecords)-1].Text
}

func sum[K comparable](m map[K]uint64) uint64 {
	var n uint64
	for _, v := range m {
		n += v
	}
	return n
}

// upstreamCounts returns the sum of the counts of all upstreams.
func (tb *Testbed) upstreamCounts() upstream.Counts {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var t upstream.Counts
	for _, u := range tb.upstreams {
		c := u.server.Counts()
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
