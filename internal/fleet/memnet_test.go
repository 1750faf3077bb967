package fleet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/standin/memnet"
	"crocusnotch/internal/wire"
)

const linkDelay = time.Millisecond

// memNet is an in-memory network that records the zone of each address.
type memNet struct {
	*memnet.Network
	zones sync.Map // address to zone name
}

func newMemNet() *memNet {
	return &memNet{Network: memnet.New(memnet.Options{Delay: linkDelay, Blackhole: true})}
}

func (m *memNet) inZone(a netip.AddrPort, zone string) bool {
	actual, _ := m.zones.Load(a)
	return actual == zone
}

// callFrom returns a function that makes requests from the address.
func (m *memNet) callFrom(from netip.AddrPort) CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
		c, err := m.Dial(ctx, from, to)
		if err != nil {
			return err
		}
		conn := jsonrpc2.NewConn(ctx, wire.RPCStream(c), jsonrpc2.HandlerWithError(nil))
		defer func() { _ = conn.Close() }()
		return conn.Call(ctx, method, params, result)
	}
}

// open returns the datagram socket and the listener of an address in the zone.
func (m *memNet) open(a netip.AddrPort, zone string) (net.PacketConn, net.Listener) {
	m.zones.Store(a, zone)
	l, _ := m.Listen(a)
	return m.Socket(a), l
}
