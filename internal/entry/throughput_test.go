package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	forwarderEnv     = "CROCUS_BENCH_FORWARDER"
	bareForwarder    = "bare"
	batchedForwarder = "batched"
	entryForwarder   = "entry"

	throughputRounds = 4
	throughputPeriod = 1500 * time.Millisecond
	senders          = 3
	sinkReaders      = 2
)

// TestMain runs a forwarder instead of the tests when BenchmarkThroughput starts
// the test binary as a child process.
func TestMain(m *testing.M) {
	role := os.Getenv(forwarderEnv)
	if role == "" {
		os.Exit(m.Run())
	}
	forwarders := map[string]func(){
		bareForwarder:    runBare,
		batchedForwarder: runBatched,
		entryForwarder:   runEntry,
	}
	go forwarders[role]()
	// The parent writes one line at the start and one at the end of the
	// measurement.
	in := bufio.NewReader(os.Stdin)
	fmt.Println("ready")
	_, _ = in.ReadString('\n')
	start := cpuTime()
	_, _ = in.ReadString('\n')
	fmt.Println(int64(cpuTime() - start))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runBare forwards every datagram unchanged through net.UDPConn, with the same
// number of goroutines as the entry.
func runBare() {
	in := mustListen(fabricAddr)
	out := mustListen(dataAddr)
	for range readersPerSocket {
		go func() {
			buffer := make([]byte, maxDatagramSize)
			for {
				n, _, err := in.ReadFromUDPAddrPort(buffer)
				if err != nil {
					panic(err)
				}
				_, _ = out.WriteToUDPAddrPort(buffer[:n], agentAddr)
			}
		}()
	}
}

// runBatched forwards every datagram unchanged through the entry's sockets.
func runBatched() {
	in, err := listenUDP(fabricAddr)
	if err != nil {
		panic(err)
	}
	out, err := listenUDP(dataAddr)
	if err != nil {
		panic(err)
	}
	c := newCounters(prometheus.NewRegistry())
	for range readersPerSocket {
		go func() {
			_ = transfer(in, out, newBatch(0), c, func(m *message) {
				m.out = m.buffer[:m.size]
				m.to = agentAddr
			})
		}()
	}
}

func runEntry() {
	e, err := New(testSettings(), Deps{
		Log:      slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Registry: prometheus.NewRegistry(),
		Fleet:    newFakeFleet(),
	})
	if err != nil {
		panic(err)
	}
	_ = e.Run(context.Background())
}

func mustListen(a netip.AddrPort) *net.UDPConn {
	const buffer = 4 << 20
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		panic(err)
	}
	_ = c.SetReadBuffer(buffer)
	_ = c.SetWriteBuffer(buffer)
	return c
}

// throughput is the result of one forwarder in one round.
type throughput struct {
	packetsPerSecond float64
	cpuPerPacket     time.Duration
}

// BenchmarkThroughput compares the entry with two UDP forwarders that do not
// route. They run one after the other, each in its own process. Run it with
// -benchtime 1x.
func BenchmarkThroughput(b *testing.B) {
	roles := []string{bareForwarder, batchedForwarder, entryForwarder}
	for range b.N {
		mean := map[string]throughput{}
		for range throughputRounds {
			for _, role := range roles {
				f := measureForwarder(b, role)
				b.Logf("%-7s %8.0f packets/s %v CPU per packet", role, f.packetsPerSecond, f.cpuPerPacket)
				m := mean[role]
				m.packetsPerSecond += f.packetsPerSecond / throughputRounds
				m.cpuPerPacket += f.cpuPerPacket / throughputRounds
				mean[role] = m
			}
		}
		entry := mean[entryForwarder]
		for _, role := range roles {
			b.ReportMetric(mean[role].packetsPerSecond, role+"-packets/s")
			b.ReportMetric(float64(mean[role].cpuPerPacket), role+"-cpu-ns/packet")
		}
		b.ReportMetric(entry.packetsPerSecond/mean[bareForwarder].packetsPerSecond, "of-bare")
		b.ReportMetric(entry.packetsPerSecond/mean[batchedForwarder].packetsPerSecond, "of-batched")
	}
}

func measureForwarder(b *testing.B, role string) throughput {
	sink := mustListen(agentAddr)
	defer sink.Close()
	var received atomic.Uint64
	for range sinkReaders {
		go countDatagrams(sink, &received)
	}

	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), forwarderEnv+"="+role)
	child.Stderr = os.Stderr
	in, _ := child.StdinPipe()
	out, _ := child.StdoutPipe()
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	lines := bufio.NewReader(out)
	_, _ = lines.ReadString('\n')

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { flood(stop) })
	}
	time.Sleep(throughputPeriod / 3)
	before, start := received.Load(), time.Now()
	fmt.Fprintln(in)
	time.Sleep(throughputPeriod)
	count, spent := received.Load()-before, time.Since(start)
	fmt.Fprintln(in)
	var cpu time.Duration
	if _, err := fmt.Fscan(lines, (*int64)(&cpu)); err != nil {
		b.Fatal(err)
	}
	close(stop)
	wg.Wait()
	if err := child.Wait(); err != nil {
		b.Fatal(err)
	}
	if count == 0 {
		b.Fatal("nothing was forwarded")
	}
	return throughput{float64(count) / spent.Seconds(), cpu / time.Duration(count)}
}

func countDatagrams(c *net.UDPConn, received *atomic.Uint64) {
	buffer := make([]byte, maxDatagramSize)
	for {
		if _, _, err := c.ReadFromUDPAddrPort(buffer); err != nil {
			return
		}
		received.Add(1)
	}
}

func flood(stop chan struct{}) {
	c := mustListen(netip.MustParseAddrPort("127.21.0.2:0"))
	defer c.Close()
	datagram := fromCaller(establishedPacket(testKeys(), testZone))
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = c.WriteToUDPAddrPort(datagram, fabricAddr)
		}
	}
}
