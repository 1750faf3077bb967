package entry

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// Layout of a PROXY protocol v2 header, offsets and sizes in bytes.
const (
	offCommand  = 12
	offFamily   = 13
	offLength   = 14
	offSource   = 16
	addresses4  = 12
	addresses6  = 36
	proxySize4  = offSource + addresses4
	proxySize6  = offSource + addresses6
	ip4Size     = 4
	ip6Size     = 16
	portSize    = 2
	commandByte = byte(proxyproto.PROXY)
	udp4Byte    = byte(proxyproto.UDPv4)
	udp6Byte    = byte(proxyproto.UDPv6)
)

var (
	prefix4 = proxyPrefix(udp4Byte, addresses4)
	prefix6 = proxyPrefix(udp6Byte, addresses6)
)

// proxyHeader is the decoded PROXY header in front of a packet.
type proxyHeader struct {
	caller      netip.AddrPort
	destination netip.AddrPort
	size        int // length of the header in bytes
}

func proxyPrefix(family byte, length uint16) [offSource]byte {
	var p [offSource]byte
	copy(p[:], proxyproto.SIGV2)
	p[offCommand] = commandByte
	p[offFamily] = family
	binary.BigEndian.PutUint16(p[offLength:], length)
	return p
}

// parseProxy parses the PROXY header of a datagram from the fabric. Headers for
// UDP without TLVs, which are the usual ones, are parsed here without
// allocating, all others by the library.
func parseProxy(datagram []byte) (h proxyHeader, ok bool) {
	if len(datagram) < proxySize4 {
		return proxyHeader{}, false
	}
	switch [offSource]byte(datagram) {
	case prefix4:
		h = parseProxy4(datagram)
	case prefix6:
		if len(datagram) < proxySize6 {
			return proxyHeader{}, false
		}
		h = parseProxy6(datagram)
	default:
		h = parseProxyWithLibrary(datagram)
	}
	return h, usable(h.caller) && usable(h.destination)
}

func parseProxy4(b []byte) proxyHeader {
	source := netip.AddrFrom4([ip4Size]byte(b[offSource:]))
	destination := netip.AddrFrom4([ip4Size]byte(b[offSource+ip4Size:]))
	ports := b[offSource+2*ip4Size:]
	return proxyHeader{
		caller:      netip.AddrPortFrom(source, binary.BigEndian.Uint16(ports)),
		destination: netip.AddrPortFrom(destination, binary.BigEndian.Uint16(ports[portSize:])),
		size:        proxySize4,
	}
}

func parseProxy6(b []byte) proxyHeader {
	source := netip.AddrFrom16([ip6Size]byte(b[offSource:])).Unmap()
	destination := netip.AddrFrom16([ip6Size]byte(b[offSource+ip6Size:])).Unmap()
	ports := b[offSource+2*ip6Size:]
	return proxyHeader{
		caller:      netip.AddrPortFrom(source, binary.BigEndian.Uint16(ports)),
		destination: netip.AddrPortFrom(destination, binary.BigEndian.Uint16(ports[portSize:])),
		size:        proxySize6,
	}
}

// parseProxyWithLibrary returns the zero value for headers that are malformed
// or not for UDP.
func parseProxyWithLibrary(datagram []byte) proxyHeader {
	h, payload, err := proxyproto.ParseUDPDatagram(datagram)
	if err != nil || h.Command != proxyproto.PROXY {
		return proxyHeader{}
	}
	source, destination, ok := h.UDPAddrs()
	if !ok {
		return proxyHeader{}
	}
	return proxyHeader{
		caller:      unmap(source),
		destination: unmap(destination),
		size:        len(datagram) - len(payload),
	}
}

func unmap(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// proxySize returns the length of the PROXY header for the addresses in bytes.
func proxySize(source, destination netip.AddrPort) int {
	if source.Addr().Is4() && destination.Addr().Is4() {
		return proxySize4
	}
	return proxySize6
}

// putProxy writes the PROXY header for the addresses into dst, whose length is
// proxySize. It does not allocate.
func putProxy(dst []byte, source, destination netip.AddrPort) {
	ports := dst[len(dst)-2*portSize:]
	binary.BigEndian.PutUint16(ports, source.Port())
	binary.BigEndian.PutUint16(ports[portSize:], destination.Port())
	if len(dst) == proxySize4 {
		copy(dst, prefix4[:])
		s, d := source.Addr().As4(), destination.Addr().As4()
		copy(dst[offSource:], s[:])
		copy(dst[offSource+ip4Size:], d[:])
		return
	}
	copy(dst, prefix6[:])
	s, d := source.Addr().As16(), destination.Addr().As16()
	copy(dst[offSource:], s[:])
	copy(dst[offSource+ip6Size:], d[:])
}
