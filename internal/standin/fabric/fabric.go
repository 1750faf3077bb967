// Package fabric simulates the platform's network fabric: it forwards every
// packet for a service address to a random entry, with the caller's address in a
// PROXY protocol v2 header, and sends the entries' return packets to the callers
// from the service address.
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
	maxHeaderCache  = 1 << 16 // callers per service address
	proxyVersion    = 2
	reorderInterval = 2 * time.Millisecond
)

// Entry is an entry that receives packets from the fabric.
type Entry struct {
	Addr  netip.AddrPort // receives the forwarded packets
	Zone  string
	Delay time.Duration // one-way

	lastSent *atomic.Int64 // when a packet was last sent, Unix nanoseconds
}

// Conditions are the simulated network faults. Shares range from 0 to 1.
type Conditions struct {
	Loss    float64 // share of packets that are dropped
	Reorder float64 // share of packets that are delayed by reorderInterval
	Delay   time.Duration
}

// Counts holds the number of packets since the start.
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
	returnConn *net.UDPConn
	entries    atomic.Pointer[[]Entry]
	conditions atomic.Pointer[Conditions]
	mu         sync.Mutex // serializes changes of entries
	lastSent   sync.Map   // address of an entry to *atomic.Int64, Unix nanoseconds

	toEntries, toCallers, lost, noEntry, malformed atomic.Uint64
}

// New opens a socket on every service address and one for the entries' return
// packets.
func New(returns netip.AddrPort, services []netip.AddrPort) (*Fabric, error) {
	f := &Fabric{services: map[netip.AddrPort]*net.UDPConn{}}
	f.entries.Store(&[]Entry{})
	f.conditions.Store(&Conditions{})
	conn, err := listen(returns)
	if err != nil {
		return nil, err
	}
	f.returnConn = conn
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

// ReturnAddress returns the address that entries send return packets to.
func (f *Fabric) ReturnAddress() netip.AddrPort {
	return f.returnConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Services returns the service addresses.
func (f *Fabric) Services() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(f.services))
	for a := range f.services {
		out = append(out, a)
	}
	return out
}

// Add starts forwarding to an entry. It replaces one with the same address.
func (f *Fabric) Add(e Entry) {
	v, _ := f.lastSent.LoadOrStore(e.Addr, new(atomic.Int64))
	e.lastSent = v.(*atomic.Int64)
	f.replaceEntry(e.Addr, func(list []Entry) []Entry { return append(list, e) })
}

// LastSent returns when a packet was last sent to the entry. It returns the zero
// time for an address that was never added, and the Unix epoch for an entry that
// was sent none.
func (f *Fabric) LastSent(a netip.AddrPort) time.Time {
	if v, ok := f.lastSent.Load(a); ok {
		return time.Unix(0, v.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// Remove stops forwarding to an entry.
func (f *Fabric) Remove(a netip.AddrPort) {
	f.replaceEntry(a, func(list []Entry) []Entry { return list })
}

// replaceEntry removes the entry with the address and then applies update.
func (f *Fabric) replaceEntry(a netip.AddrPort, update func([]Entry) []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next []Entry
	for _, e := range *f.entries.Load() {
		if e.Addr != a {
			next = append(next, e)
		}
	}
	next = update(next)
	f.entries.Store(&next)
}

// Entries returns the entries that receive packets.
func (f *Fabric) Entries() []Entry { return *f.entries.Load() }

// SetConditions sets the network faults for the following packets.
func (f *Fabric) SetConditions(c Conditions) { f.conditions.Store(&c) }

// Counts returns the number of packets since the start.
func (f *Fabric) Counts() Counts {
	return Counts{
		ToEntries: f.toEntries.Load(), ToCallers: f.toCallers.Load(), Lost: f.lost.Load(),
		NoEntry: f.noEntry.Load(), Malformed: f.malformed.Load(),
	}
}

// Run forwards packets until ctx ends. The seed determines the random choices of
// entries and faults.
func (f *Fabric) Run(ctx context.Context, seed uint64) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	stream := uint64(0)
	for a, conn := range f.services {
		stream++
		rnd := rand.New(rand.NewPCG(seed, stream))
		g.Go(func() error { return ignoreAfterCancel(ctx, f.forward(a, conn, rnd)) })
	}
	for range returnReaders {
		stream++
		rnd := rand.New(rand.NewPCG(seed, stream))
		g.Go(func() error { return ignoreAfterCancel(ctx, f.forwardReturns(rnd)) })
	}
	return g.Wait()
}

// ignoreAfterCancel drops the error of a socket that was closed because ctx ended.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "fabric")
}

func (f *Fabric) close() {
	_ = f.returnConn.Close()
	for _, conn := range f.services {
		_ = conn.Close()
	}
}

// forward sends packets for one service address to random entries.
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
			_, _ = f.returnConn.WriteToUDPAddrPort(packet, e.Addr)
			e.lastSent.Store(time.Now().UnixNano())
		})
	}
}

func proxyHeader(source, destination netip.AddrPort) ([]byte, error) {
	h := proxyproto.HeaderProxyFromAddrs(proxyVersion,
		net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
	return h.Format()
}

// forwardReturns sends the entries' return packets to the callers, from the
// service address that the header gives as the source.
func (f *Fabric) forwardReturns(rnd *rand.Rand) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := f.returnConn.ReadFromUDPAddrPort(buf)
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
		f.deliver(rnd, f.entryDelay(from), &f.toCallers, func() {
			_, _ = conn.WriteToUDPAddrPort(packet, caller)
		})
	}
}

func (f *Fabric) entryDelay(entry netip.AddrPort) time.Duration {
	for _, e := range *f.entries.Load() {
		if e.Addr == entry {
			return e.Delay
		}
	}
	return 0
}

// deliver sends a packet subject to the current conditions. count counts the
// packets that are not lost.
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
