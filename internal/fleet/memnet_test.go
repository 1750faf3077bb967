package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

const linkDelay = time.Millisecond

// memNet carries datagrams and control connections between nodes in memory.
type memNet struct {
	mu      sync.Mutex
	conns   map[netip.AddrPort]*memConn
	listens map[netip.AddrPort]*memListener
	blocked func(from, to netip.AddrPort) bool
	zones   map[netip.AddrPort]string
}

func newMemNet() *memNet {
	return &memNet{conns: map[netip.AddrPort]*memConn{}, listens: map[netip.AddrPort]*memListener{}, zones: map[netip.AddrPort]string{}}
}

func (m *memNet) cut(blocked func(from, to netip.AddrPort) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = blocked
}

func (m *memNet) reaches(from, to netip.AddrPort) bool {
	return m.blocked == nil || !m.blocked(from, to)
}

// memConn is a net.PacketConn with one millisecond of delay.
type memConn struct {
	net.PacketConn // nil: only the methods below are used
	m              *memNet
	addr           netip.AddrPort
	inbox          chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (c *memConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbox:
		return copy(b, p), nil, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memConn) WriteTo(b []byte, to net.Addr) (int, error) {
	target := to.(*net.UDPAddr).AddrPort()
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	peer := c.m.conns[target]
	if peer == nil || !c.m.reaches(c.addr, target) {
		return len(b), nil
	}
	p := slices.Clone(b)
	time.AfterFunc(linkDelay, func() {
		select {
		case peer.inbox <- p:
		default:
		}
	})
	return len(b), nil
}

func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.m.mu.Lock()
		defer c.m.mu.Unlock()
		if c.m.conns[c.addr] == c {
			delete(c.m.conns, c.addr)
		}
	})
	return nil
}

// memListener accepts in-memory control connections.
type memListener struct {
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return nil }

func (m *memNet) caller(from netip.AddrPort) CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
		m.mu.Lock()
		l := m.listens[to]
		reach := m.reaches(from, to) && m.reaches(to, from)
		m.mu.Unlock()
		if l == nil || !reach {
			return errors.New("unreachable")
		}
		ours, theirs := net.Pipe()
		select {
		case l.accepts <- theirs:
		case <-l.closed:
			return errors.New("refused")
		}
		conn := jsonrpc2.NewConn(ctx, wire.RPCStream(ours), jsonrpc2.HandlerWithError(nil))
		defer conn.Close()
		return conn.Call(ctx, method, params, result)
	}
}

func (m *memNet) open(a netip.AddrPort, zone string) (*memConn, *memListener) {
	c := &memConn{m: m, addr: a, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
	l := &memListener{accepts: make(chan net.Conn), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[a], m.listens[a], m.zones[a] = c, l, zone
	return c, l
}

// memStore is a platform store in memory that can be put out of service.
type memStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[config.ID]config.Object
	changed  chan struct{}
	down     bool
	calls    int
}

func newMemStore() *memStore {
	return &memStore{objects: map[config.ID]config.Object{}, changed: make(chan struct{})}
}

func (s *memStore) enter() error {
	s.calls++
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *memStore) since(from uint64, kinds []string) platform.Snapshot {
	out := platform.Snapshot{Revision: s.revision}
	for _, o := range s.objects {
		if o.Revision > from && slices.Contains(kinds, o.Kind) {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(x, y config.Object) int { return strings.Compare(x.Name, y.Name) })
	return out
}

func (s *memStore) List(_ context.Context, kinds ...string) (platform.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return platform.Snapshot{}, err
	}
	return s.since(0, kinds), nil
}

func (s *memStore) Watch(ctx context.Context, from uint64, wait time.Duration, kinds ...string) (platform.Snapshot, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			s.calls++
		}
		if s.down {
			s.mu.Unlock()
			return platform.Snapshot{}, platform.ErrUnavailable
		}
		got, changed := s.since(from, kinds), s.changed
		s.mu.Unlock()
		if len(got.Objects) > 0 {
			return got, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return got, nil
		case <-ctx.Done():
			return platform.Snapshot{}, ctx.Err()
		}
	}
}

func (s *memStore) Create(_ context.Context, id config.ID, value []byte) (config.Object, error) {
	return s.write(id, 0, value)
}

func (s *memStore) Update(_ context.Context, id config.ID, expected uint64, value []byte) (config.Object, error) {
	return s.write(id, expected, value)
}

func (s *memStore) write(id config.ID, expected uint64, value []byte) (config.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return config.Object{}, err
	}
	current := s.objects[id]
	if current.Revision != expected {
		return config.Object{}, &platform.ConflictError{ID: id, Expected: expected, Current: &current}
	}
	s.revision++
	o := config.Object{Kind: id.Kind, Name: id.Name, Revision: s.revision, Value: value}
	s.objects[id] = o
	s.wake()
	return o, nil
}

func (s *memStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *memStore) put(t *testing.T, kind, name string, v any) uint64 {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	expected := s.objects[config.ID{Kind: kind, Name: name}].Revision
	down := s.down
	s.down = false
	s.mu.Unlock()
	o, err := s.write(config.ID{Kind: kind, Name: name}, expected, value)
	if err != nil {
		t.Fatal(err)
	}
	s.setDown(down)
	return o.Revision
}

// bench is a fleet of nodes in memory.
type bench struct {
	t      *testing.T
	net    *memNet
	store  *memStore
	nodes  map[string]*running
	starts int
	seeds  []netip.AddrPort
}

type running struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

var testZones = []config.Zone{
	{Name: "pier", ID: 1, Region: "coast"},
	{Name: "quay", ID: 2, Region: "coast"},
	{Name: "hill", ID: 3, Region: "inland"},
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, net: newMemNet(), store: newMemStore(), nodes: map[string]*running{}}
	b.store.put(t, config.KindKeys, config.KeysName, testKeys(1, 1))
	for _, z := range testZones {
		b.store.put(t, config.KindZone, z.Name, z)
	}
	b.store.put(t, config.KindService, "bells", testService("bells", 7, "127.22.0.1:443"))
	return b
}

func itoa(n int) string { return strconv.Itoa(n) }

// testKeys makes a key object; a generation 0 is left out.
func testKeys(signing uint8, generations ...uint8) config.Keys {
	k := config.Keys{Signing: signing}
	for _, g := range generations {
		if g != 0 {
			k.Generations = append(k.Generations, config.Generation{ID: g, Secret: strings.Repeat("0"+itoa(int(g)), 32)})
		}
	}
	return k
}

func testService(name string, id uint16, addresses ...string) config.Service {
	s := config.Service{Name: name, ID: id, Targets: config.Targets{
		FreshShare: 0.2, FreshSteps: 4, FreshIntervalMillis: 1000, RetentionMillis: 60000,
	}}
	for _, a := range addresses {
		s.Addresses = append(s.Addresses, netip.MustParseAddrPort(a))
	}
	s.Classes = []config.Class{{Name: "all", PathPrefix: "/", DeadlineMillis: 1000}}
	return s
}

// start starts a node named like e1@pier or a1@quay; a for an agent.
func (b *bench) start(name string) *running {
	b.t.Helper()
	b.kill(name) // two processes cannot have one address
	b.starts++
	id, zone, _ := strings.Cut(name, "@")
	a := memberAddr(id)
	self := membership.Record{Addr: a, Control: a, Role: membership.RoleEntry}
	if id[0] == 'a' {
		self.Role, self.Service, self.Slots, self.Connections = membership.RoleAgent, 7, 5, 2000
	}
	conn, l := b.net.open(a, zone)
	o := Options{
		Self: self, Zone: zone, Store: b.store, Conn: conn, Listener: l, Call: b.net.caller(a), Seeds: b.seeds,
		Log:  slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Rand: rand.New(rand.NewPCG(1, uint64(b.starts))),
	}
	if os.Getenv("CROCUS_TEST_LOG") != "" {
		o.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("node", name)
	}
	n, err := New(o)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Node: n, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
	b.nodes[name] = r
	return r
}

// memberAddr gives e3 the address 127.22.1.3:7000 and a3 127.22.2.3:7000.
func memberAddr(id string) netip.AddrPort {
	net := "127.22.1."
	if id[0] == 'a' {
		net = "127.22.2."
	}
	return netip.MustParseAddrPort(net + id[1:] + ":7000")
}

// kill ends a node without a farewell.
func (b *bench) kill(name string) {
	r := b.nodes[name]
	if r == nil {
		return
	}
	delete(b.nodes, name)
	r.cancel()
	<-r.done
}

func (b *bench) stop() {
	for name := range b.nodes {
		b.kill(name)
	}
}
