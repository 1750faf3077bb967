package entry

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pires/go-proxyproto"

	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// discard is a socket that takes everything.
type discard struct{ PacketConn }

func (discard) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) { return len(b), nil }

func libraryHeader(source, destination netip.AddrPort) *proxyproto.Header {
	return proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(source), net.UDPAddrFromAddrPort(destination))
}

func libraryDatagram(h *proxyproto.Header, payload []byte) []byte {
	b, err := h.FormatUDPDatagram(payload)
	if err != nil {
		panic(err)
	}
	return b
}

// What is written and read here must be what the library writes and reads.
func TestProxyHeaderMatchesLibrary(t *testing.T) {
	v6 := netip.MustParseAddrPort("[2001:db8::1]:443")
	for name, c := range map[string]struct{ source, destination netip.AddrPort }{
		"IPv4":  {callerAddr, serviceAddr},
		"IPv6":  {v6, netip.MustParseAddrPort("[2001:db8::2]:50000")},
		"mixed": {v6, serviceAddr},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want := libraryDatagram(libraryHeader(c.source, c.destination), nil)
			got := make([]byte, proxySize(c.source, c.destination))
			putProxy(got, c.source, c.destination)
			is.Equal(got, want)
			p, ok := parseProxy(append(got, 1, 2, 3))
			is.True(ok)
			is.Equal(p, proxied{c.source, c.destination, len(want)})
			is.Equal(p, proxiedByLibrary(append(got, 1, 2, 3)))
		})
	}
}

func TestProxyHeaderWithTLVs(t *testing.T) {
	is := is.New(t)
	h := libraryHeader(callerAddr, serviceAddr)
	is.NoErr(h.SetTLVs([]proxyproto.TLV{{Type: proxyproto.PP2_TYPE_MIN_CUSTOM, Value: []byte("fabric")}}))
	d := libraryDatagram(h, []byte("packet"))
	p, ok := parseProxy(d)
	is.True(ok)
	is.Equal(p.caller, callerAddr)
	is.Equal(string(d[p.size:]), "packet")
}

func TestProxyHeadersThatAreRefused(t *testing.T) {
	local := libraryHeader(callerAddr, serviceAddr)
	local.Command = proxyproto.LOCAL
	tcp := proxyproto.HeaderProxyFromAddrs(2, net.TCPAddrFromAddrPort(callerAddr), net.TCPAddrFromAddrPort(serviceAddr))
	portless := netip.AddrPortFrom(callerAddr.Addr(), 0)
	whole := libraryDatagram(libraryHeader(callerAddr, serviceAddr), nil)
	v6 := netip.MustParseAddrPort("[2001:db8::1]:443")
	for name, d := range map[string][]byte{
		"empty":        nil,
		"none":         initial(),
		"cut IPv4":     whole[:len(whole)-1],
		"cut IPv6":     libraryDatagram(libraryHeader(v6, v6), nil)[:proxySize4+1],
		"local":        libraryDatagram(local, initial()),
		"TCP":          libraryDatagram(tcp, initial()),
		"no port":      libraryDatagram(libraryHeader(portless, serviceAddr), initial()),
		"version 1":    []byte("PROXY TCP4 198.51.100.7 192.0.2.1 50000 443\r\npacket"),
		"long, no TLV": append(append([]byte{}, whole[:14]...), 0xFF, 0xFF, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ok := parseProxy(d)
			is.True(!ok)
		})
	}
}

// FuzzFabricDatagram checks that no datagram from the fabric makes the entry
// panic or send to another address than an agent of the service.
func FuzzFabricDatagram(f *testing.F) {
	f.Add(fromCaller(initial()))
	f.Add(fromCaller(established(testKeys(), testZone)))
	f.Add(fromCaller(established(testKeys(), otherZone)))
	h := libraryHeader(callerAddr, serviceAddr)
	_ = h.SetTLVs([]proxyproto.TLV{{Type: proxyproto.PP2_TYPE_MIN_CUSTOM, Value: []byte("fabric")}})
	f.Add(libraryDatagram(h, initial()))
	b := newBench()
	b.adopt()
	out := &lastSent{}
	b.entry.data = out
	forwarder := newForwarder(b.entry)
	buffer := make([]byte, wire.HeaderSize+datagramSize)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		*out = lastSent{}
		n := copy(buffer[wire.HeaderSize:], datagram)
		forwarder.handle(buffer, n)
		if out.to.IsValid() && out.to != agentAddr {
			t.Fatalf("sent to %s", out.to)
		}
		if out.to.IsValid() {
			h, verdict := wire.ParseHeader(testKeys(), out.data)
			if verdict != wire.HeaderValid || h.Service != testService || h.Destination != serviceAddr {
				t.Fatalf("sent %+v, verdict %d", h, verdict)
			}
		}
	})
}

// FuzzAgentDatagram checks that only answers with a MAC of the fleet leave.
func FuzzAgentDatagram(f *testing.F) {
	f.Add(fromAgent(testKeys(), wire.KindToCaller, initial()), true)
	f.Add(fromAgent(testKeys(), wire.KindToAgent, initial()), false)
	b := newBench()
	b.adopt()
	out := &lastSent{}
	b.entry.fabric = out
	r := newRelay(b.entry)
	buffer := make([]byte, datagramSize)
	f.Fuzz(func(t *testing.T, datagram []byte, sign bool) {
		*out = lastSent{}
		n := copy(buffer, datagram)
		if sign && n > wire.HeaderSize {
			h := wire.Header{Kind: wire.Kind(datagram[1]), Caller: callerAddr, Destination: serviceAddr}
			wire.PutHeader(buffer, testKeys(), &h)
		}
		r.handle(buffer, n)
		if out.to.IsValid() && out.to != returnAddr {
			t.Fatalf("sent to %s", out.to)
		}
		if out.to.IsValid() && !sign {
			if _, verdict := wire.ParseHeader(testKeys(), datagram); verdict != wire.HeaderValid {
				t.Fatalf("relayed an answer with verdict %d", verdict)
			}
		}
	})
}

type lastSent struct {
	PacketConn
	data []byte
	to   netip.AddrPort
}

func (l *lastSent) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	l.data, l.to = b, to
	return len(b), nil
}

func BenchmarkParseProxy(b *testing.B) {
	datagram := fromCaller(initial())
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			parseProxy(datagram)
		}
	})
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			proxiedByLibrary(datagram)
		}
	})
}

func BenchmarkFormatProxy(b *testing.B) {
	payload := initial()
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		out := make([]byte, proxySize4)
		for b.Loop() {
			putProxy(out, serviceAddr, callerAddr)
		}
	})
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			libraryDatagram(libraryHeader(serviceAddr, callerAddr), payload)
		}
	})
}

// BenchmarkHandle measures a packet's way through the entry without the
// system's sockets.
func BenchmarkHandle(b *testing.B) {
	bench := newBench()
	bench.adopt()
	bench.entry.data = discard{}
	bench.entry.fabric = discard{}
	buffer := make([]byte, wire.HeaderSize+datagramSize)
	for name, packet := range map[string][]byte{
		routing.ForwardOwner.String():      established(testKeys(), testZone),
		routing.ForwardCandidates.String(): initial(),
	} {
		b.Run(name, func(b *testing.B) {
			datagram := fromCaller(packet)
			f := newForwarder(bench.entry)
			b.ReportAllocs()
			for b.Loop() {
				copy(buffer[wire.HeaderSize:], datagram[:proxySize4])
				copy(buffer[wire.HeaderSize+proxySize4:], datagram[proxySize4:])
				f.handle(buffer, len(datagram))
			}
		})
	}
	b.Run("answer", func(b *testing.B) {
		datagram := fromAgent(testKeys(), wire.KindToCaller, initial())
		r := newRelay(bench.entry)
		b.ReportAllocs()
		for b.Loop() {
			copy(buffer, datagram[:wire.HeaderSize])
			r.handle(buffer, len(datagram))
		}
	})
}
