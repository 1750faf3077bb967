package fleet

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
)

// testBench is a fleet of nodes on an in-memory network, with a store in memory.
type testBench struct {
	t      *testing.T
	net    *memNet
	store  *memStore
	nodes  map[string]*runningNode
	starts int
	seeds  []netip.AddrPort
	keys   *keyring.Ring // fixed keys of all nodes, nil: those in the store
	// callsFail reports whether a node's requests to peers fail.
	callsFail func(name string) bool
}

var errPeerDown = errors.New("connection reset by peer")

// runningNode is a node whose Run is running.
type runningNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

var testZones = []config.Zone{
	{Name: "pier", ID: 1, Region: "coast"},
	{Name: "quay", ID: 2, Region: "coast"},
	{Name: "hill", ID: 3, Region: "inland"},
}

func newTestBench(t *testing.T) *testBench {
	b := &testBench{t: t, net: newMemNet(), store: newMemStore(), nodes: map[string]*runningNode{}}
	b.store.put(t, config.KindKeys, config.KeysName, testKeys(1, 1))
	for _, z := range testZones {
		b.store.put(t, config.KindZone, z.Name, z)
	}
	b.store.put(t, config.KindService, "bells", testService("bells", 7, "127.22.0.1:443"))
	return b
}

func itoa(n int) string { return strconv.Itoa(n) }

// testKeys returns keys with the given generations; generation 0 is left out.
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

// start starts the node with the given name: e1@pier is entry 1 in zone pier,
// a1@quay is agent 1 in zone quay. It stops a running node of that name first.
func (b *testBench) start(name string) *runningNode {
	b.t.Helper()
	b.kill(name) // two processes can't share an address
	b.starts++
	id, zone, _ := strings.Cut(name, "@")
	a := memberAddr(id)
	self := membership.Record{Addr: a, Control: a, Role: membership.RoleEntry}
	if id[0] == 'a' {
		self.Role, self.Service, self.Slots, self.Connections = membership.RoleAgent, 7, 5, 2000
	}
	conn, l := b.net.open(a, zone)
	o := Options{
		Self: self, Zone: zone, Store: b.store, Conn: conn, Listener: l, Call: b.net.callFrom(a), Seeds: b.seeds,
		Log:  slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Rand: rand.New(rand.NewPCG(1, uint64(b.starts))),
	}
	if os.Getenv("CROCUS_TEST_LOG") != "" {
		o.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("node", name)
	}
	o.Keys = b.keys
	call := o.Call
	o.Call = func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
		if b.callsFail != nil && b.callsFail(name) {
			return errPeerDown
		}
		return call(ctx, to, method, params, result)
	}
	n, err := New(o)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{Node: n, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
	b.nodes[name] = r
	return r
}

// memberAddr returns the address of a node: 127.22.1.3:7000 for e3,
// 127.22.2.3:7000 for a3.
func memberAddr(id string) netip.AddrPort {
	net := "127.22.1."
	if id[0] == 'a' {
		net = "127.22.2."
	}
	return netip.MustParseAddrPort(net + id[1:] + ":7000")
}

// kill stops a node without announcing that it leaves.
func (b *testBench) kill(name string) {
	r := b.nodes[name]
	if r == nil {
		return
	}
	delete(b.nodes, name)
	r.cancel()
	<-r.done
}

func (b *testBench) stop() {
	for name := range b.nodes {
		b.kill(name)
	}
}
