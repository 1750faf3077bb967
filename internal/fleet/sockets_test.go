package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/telemetry"
	"crocusnotch/internal/wire"
)

// testTimeout bounds a test that would otherwise hang.
const testTimeout = time.Minute

// startOnSockets starts nodes on loopback addresses with mutual TLS. The first entry
// is the seed of all.
func startOnSockets(t *testing.T, store Store, entries, agents int) []*Node {
	t.Helper()
	certs, err := devcerts.New(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []*Node
	var done []chan struct{}
	for i := range entries + agents {
		a := netip.MustParseAddrPort(fmt.Sprintf("127.22.5.%d:7000", 1+i))
		self := membership.Record{Addr: a, Control: a, Role: membership.RoleEntry}
		if i >= entries {
			self.Role, self.Service = membership.RoleAgent, 7
		}
		n, err := New(Options{
			Self: self, Zone: testZones[i%2].Name, Store: store, TLS: certs.MutualTLS(),
			Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.22.5.1:7000")},
			Log:   slog.New(slog.NewJSONHandler(io.Discard, nil)), Registry: telemetry.NewRegistry(),
		})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = n.Run(ctx)
		}()
		nodes, done = append(nodes, n), append(done, ended)
	}
	t.Cleanup(func() {
		cancel()
		for _, d := range done {
			<-d
		}
	})
	return nodes
}

// formed reports whether all entries know all other nodes and all nodes have keys.
func formed(nodes []*Node) bool {
	for _, n := range nodes {
		complete := n.Self().Role == membership.RoleAgent || len(n.Members()) == len(nodes)-1
		if !complete || n.Config().Keys == nil {
			return false
		}
	}
	return true
}

func waitFormed(t *testing.T, nodes []*Node) {
	t.Helper()
	for began := time.Now(); !formed(nodes); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("the fleet did not form in time")
		}
	}
}

func TestFleetFormsOverSockets(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t)
	nodes := startOnSockets(t, b.store, 2, 2)
	waitFormed(t, nodes)
	var status wire.Status
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(nodes[0].opts.Call(ctx, nodes[1].Self().Control, wire.MethodStatus, nil, &status))
	is.Equal(status.Process, nodes[1].Self().Addr.String())

	otherCA, err := devcerts.New(time.Now())
	is.NoErr(err)
	err = wire.Call(ctx, nodes[1].Self().Control, otherCA.MutualTLS(), wire.MethodStatus, nil, &status)
	is.True(err != nil) // a certificate of another authority
}

// TestSocketCost prints the processor time of nodes with real sockets, where each
// entry monitors as many agents as at the design size. It runs only with
// CROCUS_SLOPES set.
func TestSocketCost(t *testing.T) {
	if os.Getenv("CROCUS_SLOPES") == "" {
		t.Skip("CROCUS_SLOPES is not set")
	}
	const period = 10 * time.Second
	for _, agents := range []int{16, 32} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			b := newTestBench(t)
			nodes := startOnSockets(t, b.store, 3, agents)
			waitFormed(t, nodes)
			time.Sleep(3 * time.Second)
			before := processTime()
			time.Sleep(period)
			used := processTime() - before
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			t.Logf("3 entries and %d agents: %v of processor time a second for all, heap %d KB", agents, used/10, m.HeapAlloc>>10)
		})
	}
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
