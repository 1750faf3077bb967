package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

var (
	fabricAddr  = netip.MustParseAddrPort("127.21.0.1:7000")
	dataAddr    = netip.MustParseAddrPort("127.21.0.1:7001")
	controlAddr = netip.MustParseAddrPort("127.21.0.1:7002")
	returnAddr  = netip.MustParseAddrPort("127.21.0.2:7000")
	agentAddr   = netip.MustParseAddrPort("127.21.0.3:7001")
	serviceAddr = netip.MustParseAddrPort("192.0.2.1:443")
	callerAddr  = netip.MustParseAddrPort("198.51.100.7:50000")
)

const (
	testService = 3
	testZone    = 1
	otherZone   = 2
)

// fakeFleet is a fleet node whose configuration and members are set by the test.
type fakeFleet struct {
	mu      sync.Mutex
	config  *config.Fleet
	members []membership.Record
	own     membership.Record
	left    bool
	changed chan struct{}
	events  *explain.Ring
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{
		config:  testConfig(false),
		own:     membership.Record{Role: membership.RoleEntry, State: membership.StateReady},
		changed: make(chan struct{}, 1),
		events:  explain.NewRing("entry", 64),
	}
	f.members = []membership.Record{{
		Addr: agentAddr, Role: membership.RoleAgent, Service: testService, Zone: testZone,
		State: membership.StateReady, Incarnation: 1, Slots: 5,
	}}
	return f
}

func testKeys() *keyring.Ring {
	r, err := keyring.New([]keyring.Generation{{ID: 1, Secret: [keyring.SecretSize]byte{7}}}, 1)
	if err != nil {
		panic(err)
	}
	return r
}

func testConfig(out bool) *config.Fleet {
	f := config.Empty()
	f.Revision = 1
	f.Keys = testKeys()
	for _, z := range []*config.Zone{{Name: "one", ID: testZone, Region: "r", Out: out}, {Name: "two", ID: otherZone, Region: "r"}} {
		f.Zones[z.ID] = z
		f.ByZone[z.Name] = z
	}
	f.Services[testService] = &config.Service{Name: "bells", ID: testService, Targets: config.Targets{FreshShare: 0.2}}
	f.ByAddress[serviceAddr] = f.Services[testService]
	return f
}

func (f *fakeFleet) set(change func()) {
	f.mu.Lock()
	change()
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *fakeFleet) state() (membership.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.own.State, f.left
}

func (f *fakeFleet) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (f *fakeFleet) Config() *config.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeFleet) Members() []membership.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]membership.Record(nil), f.members...)
}

func (f *fakeFleet) Watch() <-chan struct{} { return f.changed }

func (f *fakeFleet) Update(change func(*membership.Record)) { f.set(func() { change(&f.own) }) }

func (f *fakeFleet) Events() *explain.Ring { return f.events }

func (f *fakeFleet) SetStatus(func(*wire.Status)) {}

func (f *fakeFleet) Leave(context.Context) { f.set(func() { f.left = true }) }

// memoryConn is a datagram socket in memory.
type memoryConn struct {
	in     chan []byte
	out    chan sentDatagram
	closed chan struct{}
	once   sync.Once
}

type sentDatagram struct {
	data []byte
	to   netip.AddrPort
}

func newMemoryConn() *memoryConn {
	const depth = 64
	return &memoryConn{in: make(chan []byte, depth), out: make(chan sentDatagram, depth), closed: make(chan struct{})}
}

func (c *memoryConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.in:
		return copy(b, d), netip.AddrPort{}, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *memoryConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case c.out <- sentDatagram{append([]byte(nil), b...), to}:
	default:
	}
	return len(b), nil
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// testEnv is an entry with in-memory sockets and, by default, a fake fleet node.
type testEnv struct {
	entry  *Entry
	fleet  *fakeFleet
	fabric *memoryConn
	data   *memoryConn
}

func testSettings() config.Entry {
	s := config.Entry{Fabric: fabricAddr, FabricReturn: returnAddr}
	s.Zone = "one"
	s.Data = dataAddr
	return s
}

func newTestEnv() *testEnv {
	f := newFakeFleet()
	env := newTestEnvWith(f)
	env.fleet = f
	return env
}

func newTestEnvWith(f Fleet) *testEnv {
	env := &testEnv{fabric: newMemoryConn(), data: newMemoryConn()}
	e, err := New(testSettings(), Deps{
		Log:      slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Registry: prometheus.NewRegistry(),
		Fleet:    f,
		Listen: func(a netip.AddrPort) (PacketConn, error) {
			if a == fabricAddr {
				return env.fabric, nil
			}
			return env.data, nil
		},
	})
	if err != nil {
		panic(err)
	}
	env.entry = e
	return env
}

// loadTable builds the table from the current configuration and members, for
// tests that do not call Run.
func (env *testEnv) loadTable() {
	env.entry.table.Store(routing.NewTable(env.fleet.Config(), "one", env.fleet.Members()))
}

// fromCaller returns a caller's packet as the fabric sends it, with a PROXY header.
func fromCaller(packet []byte) []byte {
	d := make([]byte, proxySize(callerAddr, serviceAddr))
	putProxy(d, callerAddr, serviceAddr)
	return append(d, packet...)
}

// establishedPacket returns a short-header packet with a token.
func establishedPacket(keys *keyring.Ring, zone uint8) []byte {
	t := routing.Token{Agent: agentAddr, Service: testService, Zone: zone, Incarnation: 1}
	return append(routing.AppendToken([]byte{0x40}, keys, t), make([]byte, 1200)...)
}

// initialPacket returns the long-header packet that starts a flow.
func initialPacket() []byte {
	return append([]byte{0xC0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}, make([]byte, 1200)...)
}

func fromAgent(keys *keyring.Ring, kind wire.Kind, packet []byte) []byte {
	d := make([]byte, wire.HeaderSize)
	wire.PutHeader(d, keys, &wire.Header{
		Kind: kind, Service: testService, Caller: callerAddr, Destination: serviceAddr, Entry: dataAddr,
	})
	return append(d, packet...)
}

// newMessage returns a message with headroom, in bytes, in front of the datagram.
func newMessage(headroom int) *testMessage {
	m := &testMessage{headroom: headroom}
	m.buffer = make([]byte, headroom+maxDatagramSize)
	return m
}

type testMessage struct {
	message
	headroom int
}

// callerProxyHeader is the PROXY header for callerAddr.
var callerProxyHeader = fromCaller(nil)

// deliver calls handle with a datagram of header and packet.
func (m *testMessage) deliver(header, packet []byte, handle func(*message)) {
	m.size = copy(m.buffer[m.headroom:], header)
	m.size += copy(m.buffer[m.headroom+m.size:], packet)
	m.out = nil
	m.to = netip.AddrPort{}
	handle(&m.message)
}
