package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	measureEnv       = "CROCUS_MEASURE"       // set to 1 to run the measurement
	measuredAgentEnv = "CROCUS_MEASURE_AGENT" // set in the process that is measured
)

// TestFlowMemory logs the resident memory of an agent's process for several
// numbers of idle flows that have made one request each. The callers run in
// another process.
func TestFlowMemory(t *testing.T) {
	if os.Getenv(measuredAgentEnv) != "" {
		runMeasuredAgent()
		return
	}
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + "=1 to measure")
	}
	is := is.New(t)
	b := newTestBench(t)
	bridge, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.23.8.1:0")))
	is.NoErr(err)
	b.net.bridge = bridge
	entry := &testEntry{addr: bridge.LocalAddr().(*net.UDPAddr).AddrPort(), candidates: []netip.AddrPort{measuredAgentAddr}}
	b.net.entries = []*testEntry{entry}
	go b.net.readBridge(entry)
	child := exec.Command(os.Args[0], "-test.run", "^TestFlowMemory$")
	child.Env = append(os.Environ(), measuredAgentEnv+"=1")
	is.NoErr(child.Start())
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	time.Sleep(2 * time.Second)
	last, lastRSS := 0, 0
	for _, n := range []int{0, 500, 1000, 2000, 4000} {
		b.dialUpTo(n)
		time.Sleep(3 * time.Second)
		rss := residentKB(t, child.Process.Pid)
		perFlow := 0.0
		if n > last {
			perFlow = float64(rss-lastRSS) / float64(n-last)
		}
		t.Logf("flows %d: resident %d KB, %.1f KB for each additional flow", n, rss, perFlow)
		last, lastRSS = n, rss
	}
}

var measuredAgentAddr = netip.MustParseAddrPort("127.23.8.2:7001")

// runMeasuredAgent runs an agent with its upstream until the process is killed.
func runMeasuredAgent() {
	cluster := &fakeCluster{config: testConfig(1, false), members: map[netip.AddrPort]membership.Record{}}
	f := &fakeFleet{cluster: cluster, events: explain.NewRing("test", 64)}
	f.own.Addr = measuredAgentAddr
	announce := netip.MustParseAddrPort("127.23.8.2:7003")
	a, err := New(config.Agent{
		Process: config.Process{Zone: "a", Data: measuredAgentAddr},
		Relay:   netip.MustParseAddrPort("127.23.8.2:7002"), Announce: announce,
	}, Deps{
		Log: slog.New(slog.DiscardHandler), Registry: newTestRegistry(),
		TLS: wire.NewMutualTLS(testCert, testPool()), CallerCert: &testCert, Fleet: f,
	})
	if err != nil {
		panic(err)
	}
	upstream, err := net.Listen("tcp", "127.23.8.2:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(upstream, echo) }()
	go func() { _ = a.Run(context.Background()) }()
	body, _ := json.Marshal(Announcement{
		Service: "bells", Address: upstream.Addr().(*net.TCPAddr).AddrPort(), Slots: 50, Connections: 10_000, State: "warm",
	})
	for {
		r, _ := http.NewRequest(http.MethodPut, "http://"+announce.String()+announcePath, bytes.NewReader(body))
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
		debug.FreeOSMemory()
		time.Sleep(announceLease / 3)
	}
}

// dialUpTo opens flows, a few at a time, until there are n.
func (b *testBench) dialUpTo(n int) {
	const parallel = 16
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for len(b.callers) < n {
		slots <- struct{}{}
		c := b.newCaller()
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if err := b.connect(ctx, c); err != nil {
				b.t.Error(err)
				return
			}
			if status, _, _, err := c.fetch("GET", "/", nil); err != nil || status != 200 {
				b.t.Error(status, err)
			}
		})
	}
	wg.Wait()
}

// readBridge delivers packets from an agent in another process to callers.
func (n *memoryNetwork) readBridge(e *testEntry) {
	buf := make([]byte, datagramSize)
	for {
		size, _, err := n.bridge.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		n.deliverToCaller(e, buf[:size])
	}
}

func residentKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	t.Fatal("no VmRSS")
	return 0
}
