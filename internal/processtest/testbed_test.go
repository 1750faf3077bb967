package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/fabric"
	"crocusnotch/internal/standin/store"
	"crocusnotch/internal/standin/upstream"
	"crocusnotch/internal/wire"
)

// Ports of the instances; each instance has its own IP address.
const (
	portData     = 7000
	portControl  = 7001
	portMetrics  = 7002
	portFabric   = 7003
	portRelay    = 7004
	portAnnounce = 7005
	portService  = 7443
	portStore    = 8000
)

const (
	serviceName  = "bells"
	slots        = 5
	waitTimeout  = 20 * time.Second // upper bound of each wait, not an expected duration
	pollInterval = 20 * time.Millisecond
)

// testbed is a small fleet. Entries and agents are separate processes; the store,
// the fabric, the upstreams and the callers are simulated in the test's process.
type testbed struct {
	t        *testing.T
	ctx      context.Context
	cancel   context.CancelFunc
	bin, dir string
	subnet   byte // second octet of all addresses
	certs    *devcerts.Set
	store    *store.Store
	fabric   *fabric.Fabric
	runs     *upstream.Runs
	counters *caller.Counters

	mu     sync.Mutex
	notRun map[string]int // last attempt reported as not-run, by request ID
}

func newTestbed(t *testing.T, bin string) *testbed {
	ctx, cancel := context.WithCancel(context.Background())
	b := &testbed{
		t: t, ctx: ctx, cancel: cancel, bin: bin, dir: t.TempDir(), subnet: byte(64 + os.Getpid()%128),
		store: store.New(store.Options{}), runs: upstream.NewRuns(), counters: caller.NewCounters(),
		notRun: map[string]int{},
	}
	var err error
	b.certs, err = devcerts.New(time.Now())
	b.requireNoError(err)
	b.requireNoError(b.certs.Write(b.dir))
	b.fabric, err = fabric.New(b.addr(0, 3, portData), []netip.AddrPort{b.addr(0, 1, portService)})
	b.requireNoError(err)
	l, err := net.Listen("tcp", b.addr(0, 2, portStore).String())
	b.requireNoError(err)
	server := &http.Server{Handler: b.store}
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(l) })
	wg.Go(func() { _ = b.fabric.Run(ctx, 1) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		wg.Wait()
	})
	b.createConfig()
	return b
}

func (b *testbed) requireNoError(err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *testbed) addr(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.subnet, third, fourth}), port)
}

func zoneName(i byte) string { return fmt.Sprintf("zone-%d", i) }

// createConfig writes the zones, a key and the service to the store.
func (b *testbed) createConfig() {
	c := platform.New(b.storeURL(), platform.Options{CallsPerSec: 1000})
	for i := byte(1); i <= 3; i++ {
		b.create(c, config.KindZone, zoneName(i), config.Zone{Name: zoneName(i), ID: i, Region: "adjara"})
	}
	b.create(c, config.KindKeys, config.KeysName, config.Keys{
		Signing: 1, Generations: []config.Generation{{ID: 1, Secret: strings.Repeat("5a", 32)}},
	})
	b.create(c, config.KindService, serviceName, config.Service{
		Name: serviceName, ID: 1, Addresses: []netip.AddrPort{b.addr(0, 1, portService)},
		Classes: []config.Class{
			{Name: "departure", PathPrefix: "/once", RunAtMostOnce: true, DeadlineMillis: 5000},
			{Name: "session", PathPrefix: "/stream", StayConnected: true},
			{Name: "status", PathPrefix: "/", DeadlineMillis: 5000},
		},
		Targets: config.Targets{
			FreshShare: 0.4, FreshSteps: 4, FreshIntervalMillis: 200,
			QueuePerSlot: 4, RetryShare: 0.2, RetentionMillis: 600000,
		},
	})
}

func (b *testbed) create(c *platform.Client, kind, name string, v any) {
	value, err := config.Encode(v)
	b.requireNoError(err)
	_, err = c.Create(b.ctx, config.ID{Kind: kind, Name: name}, value)
	b.requireNoError(err)
}

func (b *testbed) storeURL() string { return "http://" + b.addr(0, 2, portStore).String() }

// processSettings returns the common settings of instance i, whose IP address has
// the third octet.
func (b *testbed) processSettings(third, i byte) config.Process {
	return config.Process{
		Zone: zoneName(i), Data: b.addr(third, i, portData), Control: b.addr(third, i, portControl),
		Metrics: b.addr(third, i, portMetrics), Store: b.storeURL(),
		Seeds: []netip.AddrPort{b.addr(1, 1, portControl), b.addr(1, 2, portControl), b.addr(1, 3, portControl)},
		TLS: wire.TLSFiles{
			Cert: filepath.Join(b.dir, devcerts.FileProcessCert),
			Key:  filepath.Join(b.dir, devcerts.FileProcessKey),
			CA:   filepath.Join(b.dir, devcerts.FileCA),
		},
	}
}

// startEntry starts entry i and adds it to the fabric once it is healthy.
func (b *testbed) startEntry(i byte) *process {
	s := config.Entry{Process: b.processSettings(1, i), Fabric: b.addr(1, i, portFabric), FabricReturn: b.fabric.ReturnAddress()}
	p := b.start("crocus-entry", fmt.Sprintf("entry-%d", i), s, s.Metrics)
	b.waitFor(p.name+" is healthy", func() bool { return healthy(s.Metrics) })
	b.fabric.Add(b.fabricEntry(i))
	return p
}

func (b *testbed) fabricEntry(i byte) fabric.Entry {
	return fabric.Entry{Addr: b.addr(1, i, portFabric), Zone: zoneName(i)}
}

func (b *testbed) startAgent(i byte) *process {
	s := config.Agent{
		Process: b.processSettings(2, i), Relay: b.addr(2, i, portRelay), Announce: b.addr(2, i, portAnnounce),
		Callers: config.CallerTLS{
			Cert: filepath.Join(b.dir, devcerts.FileCallersCert),
			Key:  filepath.Join(b.dir, devcerts.FileCallersKey),
		},
	}
	return b.start("crocus-agent", fmt.Sprintf("agent-%d", i), s, s.Metrics)
}

// process is one operating-system process of the fleet.
type process struct {
	t       *testing.T
	metrics netip.AddrPort
	name    string
	cmd     *exec.Cmd
	done    chan error
	log     string
}

// start runs a program with the settings. If the test fails, its log is printed
// at the end.
func (b *testbed) start(program, name string, settings any, metrics netip.AddrPort) *process {
	text, err := json.Marshal(settings)
	b.requireNoError(err)
	path := filepath.Join(b.dir, name+".json")
	b.requireNoError(os.WriteFile(path, text, 0o600))
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	b.requireNoError(err)
	p := &process{t: b.t, metrics: metrics, name: name, done: make(chan error, 1), log: log.Name()}
	p.cmd = exec.Command(filepath.Join(b.bin, program), "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	b.requireNoError(p.cmd.Start())
	go func() {
		p.done <- p.cmd.Wait()
		_ = log.Close()
	}()
	b.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		if b.t.Failed() {
			text, _ := os.ReadFile(p.log)
			b.t.Logf("log of %s:\n%s", name, text)
		}
	})
	return p
}

func healthy(metrics netip.AddrPort) bool {
	res, err := http.Get("http://" + metrics.String() + "/healthz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(p.name, err)
	}
}

// waitExit waits for the end of the process and returns its error.
func (p *process) waitExit() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s does not exit; its gauges:\n%s", p.name, agentGauges(p.metrics))
		return nil
	}
}

// agentGauges returns the gauges of an agent, which include its remaining work.
func agentGauges(metrics netip.AddrPort) string {
	res, err := http.Get("http://" + metrics.String() + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	var out []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "crocus_agent_") && !strings.Contains(line, "_total") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "")
}

// waitFor polls until the condition holds.
func (b *testbed) waitFor(what string, holds func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			totals, _ := json.Marshal(b.counters.Totals())
			b.t.Fatalf("still waiting: %s; callers: %s", what, totals)
		}
		time.Sleep(pollInterval)
	}
}

// waitRequests waits until n more requests have finished.
func (b *testbed) waitRequests(n uint64) {
	b.t.Helper()
	want := b.finishedRequests() + n
	b.waitFor(fmt.Sprintf("%d requests", n), func() bool { return b.finishedRequests() >= want })
}

func (b *testbed) finishedRequests() uint64 {
	var n uint64
	for _, count := range b.counters.Totals().Outcomes {
		n += count
	}
	return n
}
