package entry

import (
	"bytes"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pires/go-proxyproto"

	"crocusnotch/internal/wire"
)

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
	b := newHarness()
	b.adopt()
	forwarder := newForwarder(b.entry)
	m := newMessage(wire.HeaderSize)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m.pass(nil, datagram, forwarder.handle)
		if m.out != nil && m.to != agentAddr {
			t.Fatalf("sent to %s", m.to)
		}
		if m.out != nil {
			h, verdict := wire.ParseHeader(testKeys(), m.out)
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
	b := newHarness()
	b.adopt()
	r := newRelay(b.entry)
	m := newMessage(0)
	f.Fuzz(func(t *testing.T, datagram []byte, sign bool) {
		if sign && len(datagram) > wire.HeaderSize {
			datagram = bytes.Clone(datagram)
			h := wire.Header{Kind: wire.Kind(datagram[1]), Caller: callerAddr, Destination: serviceAddr}
			wire.PutHeader(datagram, testKeys(), &h)
		}
		m.pass(nil, datagram, r.handle)
		if m.out != nil && m.to != returnAddr {
			t.Fatalf("sent to %s", m.to)
		}
		if m.out != nil && !sign {
			if _, verdict := wire.ParseHeader(testKeys(), datagram); verdict != wire.HeaderValid {
				t.Fatalf("relayed an answer with verdict %d", verdict)
			}
		}
	})
}

func BenchmarkProxyHeader(b *testing.B) {
	packet, out := initial(), make([]byte, proxySize4)
	datagram := fromCaller(packet)
	for name, run := range map[string]func(){
		"parse":          func() { parseProxy(datagram) },
		"parse/library":  func() { proxiedByLibrary(datagram) },
		"format":         func() { putProxy(out, serviceAddr, callerAddr) },
		"format/library": func() { libraryDatagram(libraryHeader(serviceAddr, callerAddr), packet) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
	}
}

// BenchmarkHandle measures a packet's way through the entry without the
// system's sockets, with a copy of the packet into the buffer.
func BenchmarkHandle(b *testing.B) {
	bench := newHarness()
	bench.adopt()
	f, r := newForwarder(bench.entry), newRelay(bench.entry)
	for _, c := range []struct {
		name           string
		header, packet []byte
		headroom       int
		handle         func(*message)
	}{
		{"owner", fromCallerTo, established(testKeys(), testZone), wire.HeaderSize, f.handle},
		{"candidates", fromCallerTo, initial(), wire.HeaderSize, f.handle},
		{"answer", nil, fromAgent(testKeys(), wire.KindToCaller, initial()), 0, r.handle},
	} {
		b.Run(c.name, func(b *testing.B) {
			m := newMessage(c.headroom)
			b.ReportAllocs()
			for b.Loop() {
				m.pass(c.header, c.packet, c.handle)
			}
		})
	}
}
