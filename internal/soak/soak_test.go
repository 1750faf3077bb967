package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crocusnotch/internal/processtest"
	"crocusnotch/platform/platformtest"
)

const (
	callerCount = 24
	// faultGrace is the time after an unplanned fault in which resets and slow
	// stops are allowed.
	faultGrace = 4 * time.Second
	// recoveryTime is the time after the last fault within which the fleet must
	// have recovered.
	recoveryTime = 6 * time.Second
	// idleTimeout is the configured IdleTimeoutMs, after which idle flows may be
	// discarded, less a second for the check itself.
	idleTimeout = 14 * time.Second
	// configDeadline is the time within which a change of the configuration must
	// be applied.
	configDeadline = 3 * time.Second
	// shortRun is the time under faults in CI, longRun in manual runs.
	shortRun = 6 * time.Second
	longRun  = 15 * time.Second

	envSeeds = "CROCUS_SOAK_SEEDS" // number of new seeds for a manual run
	envSeed  = "CROCUS_SOAK_SEED"  // one seed
)

// faultTimes records the unplanned faults of processes, the store and zones.
type faultTimes struct {
	mu     sync.Mutex
	last   time.Time
	active int
}

func (f *faultTimes) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
	f.last = time.Now()
}

func (f *faultTimes) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
	f.last = time.Now()
}

// activeWithin reports whether a fault is active, or began or ended less than d ago.
func (f *faultTimes) activeWithin(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active > 0 || time.Since(f.last) < d
}

// injectFaults starts random, overlapping faults and changes for the given time.
// With planned it makes only planned changes, under which every guarantee holds.
func (f *fleet) injectFaults(r *rand.Rand, length time.Duration, planned bool) {
	var running sync.WaitGroup
	actions := []func(*rand.Rand){f.restartGracefully, f.drainUpstream, f.changeConfiguration, f.reload}
	if !planned {
		actions = append(actions, f.killProcess, f.pauseProcess, f.disruptStore, f.crashUpstream, f.takeZoneOut, f.killGroup)
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		action := actions[r.IntN(len(actions))]
		rnd := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		running.Go(func() { action(rnd) })
		time.Sleep(time.Duration(50+r.IntN(700)) * time.Millisecond)
	}
	running.Wait()
	f.proxy.setMode(modePass)
}

func (f *fleet) randomProcess(r *rand.Rand) *process {
	all := f.processes()
	return all[r.IntN(len(all))]
}

// restartGracefully stops a process gracefully and starts it again.
func (f *fleet) restartGracefully(r *rand.Rand) {
	p := f.randomProcess(r)
	p.signal(syscall.SIGTERM)
	if !p.wait(8 * time.Second) {
		if !f.faults.activeWithin(faultGrace) {
			f.t.Errorf("%s did not stop before the timeout", p.name)
		}
		p.signal(syscall.SIGKILL)
		p.wait(startTimeout)
	}
	f.must(p.start(f.bin))
}

func (f *fleet) killProcess(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	p := f.randomProcess(r)
	p.signal(syscall.SIGKILL)
	p.wait(startTimeout)
	time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
	f.must(p.start(f.bin))
}

// killGroup kills all entries, or all processes, and restarts them.
func (f *fleet) killGroup(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	all := [][]*process{f.entries, f.processes()}[r.IntN(2)]
	for _, p := range all {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		p.wait(startTimeout)
		f.must(p.start(f.bin))
	}
}

// powerLossStream selects the random sequence of injectPowerLoss.
const powerLossStream = 3

// injectPowerLoss ends all processes and all upstreams once in a run, so that nobody knows
// the open flows. Its random sequence is its own, so that seeds keep their other faults.
func (f *fleet) injectPowerLoss(seed uint64, length time.Duration) {
	r := rand.New(rand.NewPCG(seed, powerLossStream))
	time.Sleep(time.Duration(r.Int64N(int64(length))))
	f.faults.begin()
	defer f.faults.end()
	var exits []<-chan struct{}
	for _, p := range f.processes() {
		exits = append(exits, p.kill())
	}
	for _, a := range f.agents {
		a.mu.Lock()
		a.stopUpstream()
		a.mu.Unlock()
	}
	for _, exited := range exits {
		<-exited
	}
	time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
	for _, a := range f.agents {
		a.restartUpstream()
	}
	for _, p := range f.processes() {
		f.must(p.start(f.bin))
	}
}

func (f *fleet) pauseProcess(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	p := f.randomProcess(r)
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(200+r.IntN(2500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) reload(r *rand.Rand) { f.randomProcess(r).signal(syscall.SIGHUP) }

func (f *fleet) disruptStore(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	f.proxy.setMode(mode(1 + r.IntN(int(modeCount)-1)))
	time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	f.proxy.setMode(modePass)
}

// drainUpstream drains an upstream, then replaces it.
func (f *fleet) drainUpstream(r *rand.Rand) {
	a := f.agents[r.IntN(len(f.agents))]
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
	a.replaceUpstream()
}

// crashUpstream stops an upstream without an announcement and restarts it without
// its flows.
func (f *fleet) crashUpstream(r *rand.Rand) {
	a := f.agents[r.IntN(len(f.agents))]
	a.mu.Lock()
	a.stopUpstream()
	a.mu.Unlock()
	time.Sleep(time.Duration(r.IntN(2500)) * time.Millisecond)
	a.restartUpstream()
}

// changeConfiguration writes a configuration with another number of routes. The lock
// of the faults also serializes these changes, which may overlap.
func (f *fleet) changeConfiguration(*rand.Rand) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.extraRoutes = (f.extraRoutes + 1) % 5
	f.configure()
}

func (f *fleet) takeZoneOut(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	zone := zones[r.IntN(len(zones))]
	f.setZoneOut(zone, true)
	time.Sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
	f.setZoneOut(zone, false)
}

// setZoneOut writes an operator's request to the store and remembers it.
func (f *fleet) setZoneOut(zone string, out bool) {
	f.zonesOutMu.Lock()
	defer f.zonesOutMu.Unlock()
	f.zonesOut[zone] = out
	f.writeZone(zone)
}

func (f *fleet) writeZone(zone string) {
	if f.zonesOut[zone] {
		f.store.Put("evacuations", zone, "{}")
	} else {
		f.store.Delete("evacuations", zone)
	}
}

// injectRestores restores the store from copies that are up to five seconds old, at
// times that depend on the seed alone: the sequence of the other faults stays the same.
func (f *fleet) injectRestores(seed uint64, length time.Duration) {
	r := rand.New(rand.NewPCG(seed, 2))
	end := time.Now().Add(length)
	for {
		wait := time.Duration(300+r.IntN(5000)) * time.Millisecond
		if time.Until(end) < wait {
			return
		}
		time.Sleep(wait)
		f.restoreStore(r)
	}
}

// restoreStore restores the store after a moment without service, after which the
// operator writes again what it has lost.
func (f *fleet) restoreStore(r *rand.Rand) {
	f.faults.begin()
	defer f.faults.end()
	f.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Unavailable })
	time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
	f.store.Restore(time.Duration(r.IntN(5000)) * time.Millisecond)
	f.store.SetFault(nil)
	time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	f.changeConfiguration(r)
	f.zonesOutMu.Lock()
	defer f.zonesOutMu.Unlock()
	for _, zone := range zones {
		f.writeZone(zone)
	}
}

// checkRecovered checks after the faults that open flows still work and that every
// entry applies a configuration change.
func (f *fleet) checkRecovered(r *rand.Rand, load *scarceLoad) {
	f.t.Helper()
	time.Sleep(recoveryTime)
	load.finish(f)
	for _, c := range f.callers.usableFlows() {
		if _, ok := c.exchange(flagAck, 60, func() int { return r.IntN(entryCount) }); !ok && f.owned(c.key, c.ack) {
			f.t.Errorf("flow %s got no response although its upstream is running", c.key)
		}
	}
	f.extraRoutes = 6
	f.configure()
	time.Sleep(configDeadline)
	for i := range entryCount {
		for _, to := range []int{0, 1, 5} {
			if _, ok := f.callers.newFlow(extraRoute(to)).exchange(flagOpen, 0, func() int { return i }); !ok {
				f.t.Errorf("entry %d opened no flow to an address that was added %s ago", i+1, configDeadline)
			}
		}
	}
}

// usableFlows returns the open flows that an upstream still has and that have not
// been idle long enough to be discarded.
func (c *callers) usableFlows() []*callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerFlow
	for _, f := range c.flows {
		f.mu.Lock()
		if f.open && time.Since(f.lastExchange) < idleTimeout && c.f.owned(f.key, f.ack) {
			out = append(out, f)
		}
		f.mu.Unlock()
	}
	return out
}

func soak(t *testing.T, bin string, seed uint64, length time.Duration, planned bool) {
	o := drawOptions(seed)
	t.Logf("seed %d: %+v", seed, o)
	f := newFleet(t, bin, o)
	t.Cleanup(func() {
		if t.Failed() {
			f.saveLogs(seed)
		}
	})
	r := rand.New(rand.NewPCG(seed, 1))
	f.startAll()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range callerCount {
		rnd := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		running.Go(func() { f.callers.runFlows(rnd, stop) })
	}
	if !planned {
		running.Go(func() { f.injectRestores(seed, length) })
		running.Go(func() { f.injectPowerLoss(seed, length) })
	}
	load := startScarceLoad(f, seed)
	f.injectFaults(r, length, planned)
	f.startAll()
	load.endBursts()
	close(stop)
	running.Wait()
	sent, succeeded := f.callers.sent.Load(), f.callers.succeeded.Load()
	t.Logf("seed %d: %d of %d exchanges succeeded", seed, succeeded, sent)
	if succeeded < callerCount {
		t.Errorf("only %d of %d exchanges succeeded: too few for a valid test", succeeded, sent)
	}
	f.checkRecovered(r, load)
}

// saveLogs copies the settings and logs of the processes to a directory that
// remains after the test.
func (f *fleet) saveLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("crocus-soak-%d-", seed))
	if err != nil {
		f.t.Log("logs not saved:", err)
		return
	}
	if err := os.CopyFS(dir, os.DirFS(f.dir)); err != nil {
		f.t.Log("logs not saved:", err)
		return
	}
	f.t.Log("logs of the processes:", dir)
}

// regressionSeeds returns the seeds in seeds.txt, which failed once.
func regressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []uint64
	for s := bufio.NewScanner(file); s.Scan(); {
		word, _, _ := strings.Cut(s.Text(), " ")
		if seed, err := strconv.ParseUint(word, 10, 64); err == nil {
			out = append(out, seed)
		}
	}
	return out
}

// TestSoakPlanned makes planned changes only, so that every guarantee holds at all
// times. It runs in CI.
func TestSoakPlanned(t *testing.T) {
	soak(t, processtest.Build(t), 1, shortRun, true)
}

// TestSoak adds unplanned faults, except for seeds divisible by 4, which make planned
// changes only. CI runs one fixed seed; manual runs execute the seeds in seeds.txt and
// new ones.
func TestSoak(t *testing.T) {
	bin := processtest.Build(t)
	seeds, length := []uint64{7}, shortRun
	if n, err := strconv.Atoi(os.Getenv(envSeeds)); err == nil {
		seeds, length = regressionSeeds(t), longRun
		for range n {
			seeds = append(seeds, rand.Uint64N(1_000_000))
		}
	}
	if one, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64); err == nil {
		seeds, length = []uint64{one}, longRun
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			soak(t, bin, seed, length, seed%4 == 0)
		})
	}
}
