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

// putProxy must write the same bytes as the library, and parseProxy must return
// the same header.
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
			is.Equal(p, proxyHeader{c.source, c.destination, len(want)})
			is.Equal(p, parseProxyWithLibrary(append(got, 1, 2, 3)))
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

func TestInvalidProxyHeaders(t *testing.T) {
	local := libraryHeader(callerAddr, serviceAddr)
	local.Command = proxyproto.LOCAL
	tcp := proxyproto.HeaderProxyFromAddrs(2, net.TCPAddrFromAddrPort(callerAddr), net.TCPAddrFromAddrPort(serviceAddr))
	portless := netip.AddrPortFrom(callerAddr.Addr(), 0)
	whole := libraryDatagram(libraryHeader(callerAddr, serviceAddr), nil)
	v6 := netip.MustParseAddrPort("[2001:db8::1]:443")
	for name, d := range map[string][]byte{
		"empty":        nil,
		"none":         initialPacket(),
		"cut IPv4":     whole[:len(whole)-1],
		"cut IPv6":     libraryDatagram(libraryHeader(v6, v6), nil)[:proxySize4+1],
		"local":        libraryDatagram(local, initialPacket()),
		"TCP":          libraryDatagram(tcp, initialPacket()),
		"no port":      libraryDatagram(libraryHeader(portless, serviceAddr), initialPacket()),
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
// panic or send to an address other than that of the service's agent.
func FuzzFabricDatagram(f *testing.F) {
	f.Add(fromCaller(initialPacket()))
	f.Add(fromCaller(establishedPacket(testKeys(), testZone)))
	f.Add(fromCaller(establishedPacket(testKeys(), otherZone)))
	h := libraryHeader(callerAddr, serviceAddr)
	_ = h.SetTLVs([]proxyproto.TLV{{Type: proxyproto.PP2_TYPE_MIN_CUSTOM, Value: []byte("fabric")}})
	f.Add(libraryDatagram(h, initialPacket()))
	env := newTestEnv()
	env.loadTable()
	forwarder := newForwarder(env.entry)
	m := newMessage(wire.HeaderSize)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m.deliver(nil, datagram, forwarder.handle)
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

// FuzzAgentDatagram checks that only answers with a valid MAC are relayed.
func FuzzAgentDatagram(f *testing.F) {
	f.Add(fromAgent(testKeys(), wire.KindToCaller, initialPacket()), true)
	f.Add(fromAgent(testKeys(), wire.KindToAgent, initialPacket()), false)
	env := newTestEnv()
	env.loadTable()
	r := newRelay(env.entry)
	m := newMessage(0)
	f.Fuzz(func(t *testing.T, datagram []byte, sign bool) {
		if sign && len(datagram) > wire.HeaderSize {
			datagram = bytes.Clone(datagram)
			h := wire.Header{Kind: wire.Kind(datagram[1]), Caller: callerAddr, Destination: serviceAddr}
			wire.PutHeader(datagram, testKeys(), &h)
		}
		m.deliver(nil, datagram, r.handle)
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
	packet, out := initialPacket(), make([]byte, proxySize4)
	datagram := fromCaller(packet)
	for name, run := range map[string]func(){
		"parse":          func() { parseProxy(datagram) },
		"parse/library":  func() { parseProxyWithLibrary(datagram) },
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

// BenchmarkHandle measures the handling of a packet without sockets. It includes
// a copy of the packet into the buffer.
func BenchmarkHandle(b *testing.B) {
	env := newTestEnv()
	env.loadTable()
	f, r := newForwarder(env.entry), newRelay(env.entry)
	for _, c := range []struct {
		name           string
		header, packet []byte
		headroom       int
		handle         func(*message)
	}{
		{"owner", callerProxyHeader, establishedPacket(testKeys(), testZone), wire.HeaderSize, f.handle},
		{"candidates", callerProxyHeader, initialPacket(), wire.HeaderSize, f.handle},
		{"answer", nil, fromAgent(testKeys(), wire.KindToCaller, initialPacket()), 0, r.handle},
	} {
		b.Run(c.name, func(b *testing.B) {
			m := newMessage(c.headroom)
			b.ReportAllocs()
			for b.Loop() {
				m.deliver(c.header, c.packet, c.handle)
			}
		})
	}
}
