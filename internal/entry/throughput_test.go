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

	"crocusnotch/internal/wire"
)

const (
	forwarderEnv   = "CROCUS_BENCH_FORWARDER"
	bareForwarder  = "bare"
	entryForwarder = "entry"

	throughputRounds = 4
	throughputPeriod = 1500 * time.Millisecond
	senders          = 3
	sinks            = 2
)

// TestMain turns the test binary into a forwarder when the benchmark of
// throughput starts it as one.
func TestMain(m *testing.M) {
	role := os.Getenv(forwarderEnv)
	if role == "" {
		os.Exit(m.Run())
	}
	run := runBare
	if role == entryForwarder {
		run = runEntry
	}
	go run()
	// The parent writes a line at the start and at the end of the measurement.
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

// runBare forwards every datagram unchanged, as plain Go code does, with the
// entry's number of goroutines.
func runBare() {
	in := mustListen(fabricAddr)
	out := mustListen(dataAddr)
	for range readersPerSocket {
		go func() {
			buffer := make([]byte, datagramSize)
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

// forwarded is what one forwarder did in one round.
type forwarded struct {
	packetsPerSecond float64
	cpuPerPacket     time.Duration
}

// BenchmarkThroughput compares the entry with a bare UDP forwarder on the same
// machine, each in a process of its own, in turns. Run it with -benchtime 1x.
func BenchmarkThroughput(b *testing.B) {
	for range b.N {
		var sum [2]forwarded
		for range throughputRounds {
			for i, role := range []string{bareForwarder, entryForwarder} {
				f := measureForwarder(b, role)
				b.Logf("%-5s %8.0f packets/s %v CPU per packet", role, f.packetsPerSecond, f.cpuPerPacket)
				sum[i].packetsPerSecond += f.packetsPerSecond / throughputRounds
				sum[i].cpuPerPacket += f.cpuPerPacket / throughputRounds
			}
		}
		b.ReportMetric(sum[0].packetsPerSecond, "bare-packets/s")
		b.ReportMetric(sum[1].packetsPerSecond, "entry-packets/s")
		b.ReportMetric(sum[1].packetsPerSecond/sum[0].packetsPerSecond, "ratio")
		b.ReportMetric(float64(sum[0].cpuPerPacket), "bare-cpu-ns/packet")
		b.ReportMetric(float64(sum[1].cpuPerPacket), "entry-cpu-ns/packet")
	}
}

func measureForwarder(b *testing.B, role string) forwarded {
	sink := mustListen(agentAddr)
	defer sink.Close()
	var received atomic.Uint64
	for range sinks {
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
	return forwarded{float64(count) / spent.Seconds(), cpu / time.Duration(count)}
}

func countDatagrams(c *net.UDPConn, received *atomic.Uint64) {
	buffer := make([]byte, datagramSize)
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
	datagram := fromCaller(established(testKeys(), testZone))
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = c.WriteToUDPAddrPort(datagram, fabricAddr)
		}
	}
}

// BenchmarkWireHeader measures the header between the fleet's processes.
func BenchmarkWireHeader(b *testing.B) {
	keys := testKeys()
	h := wire.Header{Kind: wire.KindToAgent, Caller: callerAddr, Destination: serviceAddr, Entry: dataAddr}
	out := make([]byte, wire.HeaderSize)
	b.Run("put", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			wire.PutHeader(out, keys, &h)
		}
	})
	b.Run("parse", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			wire.ParseHeader(keys, out)
		}
	})
}
