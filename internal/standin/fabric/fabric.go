// Package fabric is a stand-in for the platform's network fabric: it hands
// every packet for a service address to a random entry, with the caller's
// address in a PROXY protocol v2 header, and sends the entries' answers from
// the service address.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/pires/go-proxyproto"
	"golang.org/x/sync/errgroup"
)

const (
	maxDatagram     = 2048
	socketBuffer    = 4 << 20 // bytes
	returnReaders   = 4
	maxHeaderCache  = 1 << 16 // callers for each service address
	proxyVersion    = 2
	reorderInterval = 2 * time.Millisecond
)

// Entry is a live entry behind the fabric.
type Entry struct {
	Addr  netip.AddrPort // where its packets go
	Zone  string
	Delay time.Duration // one way

	last *atomic.Int64 // when a packet was last sent, Unix nanoseconds
}

// Conditions are the faults of the network, as shares from 0 to 1.
type Conditions struct {
	Loss    float64
	Reorder float64 // share of packets that arrive reorderInterval late
	Delay   time.Duration
}

// Counts are the packets since the start.
type Counts struct {
	ToEntries uint64 `json:"toEntries"`
	ToCallers uint64 `json:"toCallers"`
	Lost      uint64 `json:"lost"`
	NoEntry   uint64 `json:"noEntry"`
	Malformed uint64 `json:"malformed"`
}

// Fabric forwards packets between callers and entries.
type Fabric struct {
	services   map[netip.AddrPort]*net.UDPConn
	returns    *net.UDPConn
	entries    atomic.Pointer[[]Entry]
	conditions atomic.Pointer[Conditions]
	mu         sync.Mutex // serialises changes of entries
	lastSent   sync.Map   // address of an entry to *atomic.Int64, Unix nanoseconds

	toEntries, toCallers, lost, noEntry, malformed atomic.Uint64
}

// New opens a socket on every service address and one for the entries'
// answers.
func New(returns netip.AddrPort, services []netip.AddrPort) (*Fabric, error) {
	f := &Fabric{services: map[netip.AddrPort]*net.UDPConn{}}
	f.entries.Store(&[]Entry{})
	f.conditions.Store(&Conditions{})
	conn, err := listen(returns)
	if err != nil {
		return nil, err
	}
	f.returns = conn
	for _, s := range services {
		conn, err := listen(s)
		if err != nil {
			f.close()
			return nil, err
		}
		f.services[conn.LocalAddr().(*net.UDPAddr).AddrPort()] = conn
	}
	return f, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "fabric")
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// ReturnAddress is the address that entries send their answers to.
func (f *Fabric) ReturnAddress() netip.AddrPort {
	return f.returns.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Services returns the service addresses.
func (f *Fabric) Services() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(f.services))
	for a := range f.services {
		out = append(out, a)
	}
	return out
}

// Add puts an entry behind the fabric, in place of one with the same address.
func (f *Fabric) Add(e Entry) {
	v, _ := f.lastSent.LoadOrStore(e.Addr, new(atomic.Int64))
	e.last = v.(*atomic.Int64)
	f.change(e.Addr, func(list []Entry) []Entry { return append(list, e) })
}

// LastSent returns when a packet was last handed to the entry; the zero time
// when none was.
func (f *Fabric) LastSent(a netip.AddrPort) time.Time {
	if v, ok := f.lastSent.Load(a); ok {
		return time.Unix(0, v.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// Remove takes an entry away.
func (f *Fabric) Remove(a netip.AddrPort) {
	f.change(a, func(list []Entry) []Entry { return list })
}

func (f *Fabric) change(a netip.AddrPort, then func([]Entry) []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next []Entry
	for _, e := range *f.entries.Load() {
		if e.Addr != a {
			next = append(next, e)
		}
	}
	next = then(next)
	f.entries.Store(&next)
}

// Entries returns the entries behind the fabric.
func (f *Fabric) Entries() []Entry { return *f.entries.Load() }

// SetConditions changes the faults of the network from now on.
func (f *Fabric) SetConditions(c Conditions) { f.conditions.Store(&c) }

// Counts returns the packets since the start.
func (f *Fabric) Counts() Counts {
	return Counts{
		ToEntries: f.toEntries.Load(), ToCallers: f.toCallers.Load(), Lost: f.lost.Load(),
		NoEntry: f.noEntry.Load(), Malformed: f.malformed.Load(),
	}
}

// Run forwards packets until ctx ends. The seed decides the spray.
func (f *Fabric) Run(ctx context.Context, seed uint64) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	stream := uint64(0)
	for a, conn := range f.services {
		stream++
		rnd := rand.New(rand.NewPCG(seed, stream))
		g.Go(func() error { return ended(ctx, f.forward(a, conn, rnd)) })
	}
	for range returnReaders {
		stream++
		rnd := rand.New(rand.NewPCG(seed, stream))
		g.Go(func() error { return ended(ctx, f.backward(rnd)) })
	}
	return g.Wait()
}

func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "fabric")
}

func (f *Fabric) close() {
	_ = f.returns.Close()
	for _, conn := range f.services {
		_ = conn.Close()
	}
}

// forward hands packets for one service address to random entries.
func (f *Fabric) forward(service netip.AddrPort, conn *net.UDPConn, rnd *rand.Rand) error {
	buf := make([]byte, maxDatagram)
	headers := map[netip.AddrPort][]byte{}
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		entries := *f.entries.Load()
		if len(entries) == 0 {
			f.noEntry.Add(1)
			continue
		}
		header := headers[caller]
		if header == nil {
			header, err = proxyHeader(caller, service)
			if err != nil {
				return err
			}
			if len(headers) >= maxHeaderCache {
				clear(headers)
			}
			headers[caller] = header
		}
		e := entries[rnd.IntN(len(entries))]
		packet := append(append(make([]byte, 0, len(header)+n), header...), buf[:n]...)
		f.deliver(rnd, e.Delay, &f.toEntries, func() {
			_, _ = f.returns.WriteToUDPAddrPort(packet, e.Addr)
			e.last.Store(time.Now().UnixNano())
		})
	}
}

func proxyHeader(source, destination netip.AddrPort) ([]byte, error) {
	h := proxyproto.HeaderProxyFromAddrs(proxyVersion,
		net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
	return h.Format()
}

// backward sends the entries' answers from the service address that the
// header names as the source.
func (f *Fabric) backward(rnd *rand.Rand) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.returns.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		header, payload, err := proxyproto.ParseUDPDatagram(buf[:n])
		if err != nil {
			f.malformed.Add(1)
			continue
		}
		source, destination, ok := header.UDPAddrs()
		if !ok {
			f.malformed.Add(1)
			continue
		}
		conn := f.services[source.AddrPort()]
		if conn == nil {
			f.malformed.Add(1)
			continue
		}
		packet := append([]byte(nil), payload...)
		caller := destination.AddrPort()
		f.deliver(rnd, f.delayOf(from), &f.toCallers, func() {
			_, _ = conn.WriteToUDPAddrPort(packet, caller)
		})
	}
}

func (f *Fabric) delayOf(entry netip.AddrPort) time.Duration {
	for _, e := range *f.entries.Load() {
		if e.Addr == entry {
			return e.Delay
		}
	}
	return 0
}

// deliver sends a packet under the network's present conditions.
func (f *Fabric) deliver(rnd *rand.Rand, delay time.Duration, count *atomic.Uint64, send func()) {
	c := f.conditions.Load()
	if c.Loss > 0 && rnd.Float64() < c.Loss {
		f.lost.Add(1)
		return
	}
	delay += c.Delay
	if c.Reorder > 0 && rnd.Float64() < c.Reorder {
		delay += reorderInterval
	}
	count.Add(1)
	if delay <= 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}
