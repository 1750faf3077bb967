package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

var testStart = time.Unix(1764800000, 0)

func testAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 22, byte(n >> 8), byte(n)}), 7000)
}

func testCore(role Role, n int) *Core {
	a := testAddr(n)
	self := Record{Addr: a, Control: a, Role: role, State: StateReady, Incarnation: uint64(testStart.UnixMilli()), Version: 1}
	if role == RoleAgent {
		self.Service = 7
	}
	return New(Options{Self: self, Rand: rand.New(rand.NewPCG(1, uint64(n))), Timing: DefaultTiming()})
}
