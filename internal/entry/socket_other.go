//go:build !linux

package entry

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

func listenUDP(a netip.AddrPort) (socket, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket")
	}
	return unbatchedSocket{c}, nil
}
