package agent

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

var serviceAddr = netip.MustParseAddrPort("127.23.9.1:443")

// testCert is valid for all names of the tests and signs itself.
var testCert = func() tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		panic(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "test"},
		// Time in a synctest bubble starts in the year 2000.
		NotBefore: time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:  time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:      true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		DNSNames:    []string{wire.FleetServerName, "bells.example"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		panic(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		panic(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
}()

func testPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(testCert.Leaf)
	return pool
}

func testRing(signing uint8) *keyring.Ring {
	ring, err := keyring.New([]keyring.Generation{{ID: 1}, {ID: 2, Secret: [32]byte{1}}}, signing)
	if err != nil {
		panic(err)
	}
	return ring
}

func testConfig(signing uint8, zoneOut bool) *config.Fleet {
	f := config.Empty()
	service := &config.Service{
		Name: "bells", ID: 7, Addresses: []netip.AddrPort{serviceAddr},
		Classes: []config.Class{
			{Name: "ring", PathPrefix: "/ring", RunAtMostOnce: true, DeadlineMillis: 2000},
			{Name: "watch", PathPrefix: "/watch", StayConnected: true},
			{Name: "get", PathPrefix: "/", DeadlineMillis: 2000},
		},
		Targets: config.Targets{
			FreshShare: 1, FreshSteps: 1, FreshIntervalMillis: 100,
			QueuePerSlot: 2, RetryShare: 1, RetentionMillis: 60000,
		},
	}
	f.Services[service.ID] = service
	f.ByAddress[serviceAddr] = service
	zone := &config.Zone{Name: "a", ID: 1, Region: "r", Out: zoneOut}
	f.Zones[1], f.ByZone["a"] = zone, zone
	f.Keys = testRing(signing)
	return f
}

// fakeCluster is the fleet that all agents of a test share.
type fakeCluster struct {
	mu      sync.Mutex
	config  *config.Fleet
	members map[netip.AddrPort]membership.Record
	watches []chan struct{}
}

func (c *fakeCluster) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	for _, w := range c.watches {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (c *fakeCluster) setConfig(f *config.Fleet) { c.change(func() { c.config = f }) }

// fakeFleet implements Fleet for one agent.
type fakeFleet struct {
	cluster *fakeCluster
	own     membership.Record
	events  *explain.Ring
	status  func(*wire.Status)
}

func (f *fakeFleet) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (f *fakeFleet) Config() *config.Fleet {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	return f.cluster.config
}

func (f *fakeFleet) Members() []membership.Record {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	var out []membership.Record
	for _, m := range f.cluster.members {
		if m.Addr != f.own.Addr && !m.State.Final() {
			out = append(out, m)
		}
	}
	return out
}

func (f *fakeFleet) Watch() <-chan struct{} {
	w := make(chan struct{}, 1)
	f.cluster.change(func() { f.cluster.watches = append(f.cluster.watches, w) })
	return w
}

func (f *fakeFleet) Update(change func(*membership.Record)) {
	f.cluster.change(func() {
		change(&f.own)
		f.own.Version++
		f.cluster.members[f.own.Addr] = f.own
	})
}

func (f *fakeFleet) Follow(string) {}
func (f *fakeFleet) record() membership.Record {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	return f.own
}

func (f *fakeFleet) Events() *explain.Ring             { return f.events }
func (f *fakeFleet) SetStatus(fill func(*wire.Status)) { f.status = fill }

func (f *fakeFleet) Leave(context.Context) {
	f.Update(func(r *membership.Record) { r.State = membership.StateLeft })
}

// bench is a small fleet in one synctest bubble.
type bench struct {
	t       *testing.T
	is      *is.I
	net     *memoryNetwork
	cluster *fakeCluster
	agents  []*testAgent
	callers []*caller
	boots   uint64
}

// testAgent is an agent with its upstream.
type testAgent struct {
	*Agent
	n        int
	fleet    *fakeFleet
	cancel   context.CancelFunc
	done     chan struct{} // closed when Run has returned err
	err      error
	upstream *http.Server
	stopped  chan struct{} // ends the announcements
	quiet    sync.Once
}

func addr(n, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.23.0.%d:%d", n, port))
}

// inBubble runs a test on a fleet of agents whose upstreams use the handlers.
func inBubble(t *testing.T, test func(b *bench), upstreams ...http.Handler) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		t.Cleanup(b.end)
		for i, h := range upstreams {
			b.startAgent(i+1, h)
		}
		b.spread()
		// Announcements, records and load reports settle.
		time.Sleep(2 * time.Second)
		test(b)
	})
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, is: is.New(t),
		net:     newMemoryNetwork(testRing(1), 7),
		cluster: &fakeCluster{config: testConfig(1, false), members: map[netip.AddrPort]membership.Record{}},
	}
	for i := range 3 {
		e := &testEntry{addr: addr(100+i, 1)}
		b.net.entries = append(b.net.entries, e)
		b.cluster.members[e.addr] = membership.Record{Addr: e.addr, Role: membership.RoleEntry, State: membership.StateReady}
	}
	return b
}

// spread gives every entry all agents as candidates, each in its own order.
func (b *bench) spread() {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	for i, e := range b.net.entries {
		e.candidates = nil
		for j := range b.agents {
			e.candidates = append(e.candidates, b.agents[(i+j)%len(b.agents)].settings.Data)
		}
	}
}

// route gives every entry the same candidates.
func (b *bench) route(agents ...*testAgent) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	for _, e := range b.net.entries {
		e.candidates = nil
		for _, a := range agents {
			e.candidates = append(e.candidates, a.settings.Data)
		}
	}
}

func (b *bench) startAgent(n int, upstream http.Handler) *testAgent {
	a := b.newAgent(n)
	a.upstream = &http.Server{Handler: upstream, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	l, err := b.net.Listen(addr(n, 9000))
	b.is.NoErr(err)
	go func() { _ = a.upstream.Serve(l) }()
	go b.keepAnnouncing(a)
	b.agents = append(b.agents, a)
	return a
}

// restart starts a new process in place of a killed one, beside the same
// upstream.
func (b *bench) restart(old *testAgent) *testAgent {
	old.silence()
	a := b.newAgent(old.n)
	a.upstream = old.upstream
	go b.keepAnnouncing(a)
	return a
}

// newAgent starts an agent without an upstream.
func (b *bench) newAgent(n int) *testAgent {
	b.boots++
	f := &fakeFleet{cluster: b.cluster, events: explain.NewRing("test", 64)}
	f.own = membership.Record{Addr: addr(n, 1), Role: membership.RoleAgent, Incarnation: b.boots}
	a := &testAgent{n: n, fleet: f, done: make(chan struct{}), stopped: make(chan struct{})}
	s := config.Agent{
		Process: config.Process{Zone: "a", Data: addr(n, 1)},
		Relay:   addr(n, 2), Announce: addr(n, 3),
	}
	var err error
	a.Agent, err = New(s, Deps{
		Log: slog.New(slog.DiscardHandler), Registry: newTestRegistry(),
		TLS: wire.NewMutualTLS(testCert, testPool()), Callers: &testCert,
		Fleet: f, Network: b.net, Incarnation: b.boots,
	})
	b.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() {
		a.err = a.Run(ctx)
		close(a.done)
	}()
	return a
}

// keepAnnouncing renews the upstream's lease until the test ends it.
func (b *bench) keepAnnouncing(a *testAgent) {
	for {
		b.announce(a, "warm", 5)
		select {
		case <-a.stopped:
			return
		case <-time.After(announceLease / 3):
		}
	}
}

func (b *bench) announce(a *testAgent, state string, slots int) int {
	body, _ := json.Marshal(Announcement{
		Service: "bells", Address: addr(a.n, 9000), Slots: slots, Connections: 2000, State: state,
	})
	status, _ := b.onAnnounce(a, http.MethodPut, body)
	return status
}

func (b *bench) onAnnounce(a *testAgent, method string, body []byte) (int, string) {
	t := &http.Transport{DialContext: dialFunc(b.net), DisableKeepAlives: true}
	r, err := http.NewRequest(method, "http://"+a.settings.Announce.String()+announcePath, bytes.NewReader(body))
	b.is.NoErr(err)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// silence ends the upstream's announcements.
func (a *testAgent) silence() { a.quiet.Do(func() { close(a.stopped) }) }

// kill ends the agent's process without a word.
func (a *testAgent) kill() {
	a.cancel()
	<-a.done
}

func (b *bench) end() {
	for _, c := range b.callers {
		c.close()
	}
	for _, a := range b.agents {
		a.silence()
		a.cancel()
		<-a.done
		_ = a.upstream.Close()
	}
	synctest.Wait()
}

// caller is one flow with its HTTP/3 client.
type caller struct {
	addr      netip.AddrPort
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
}

// dial opens a flow. The caller's packets are sprayed over all entries.
func (b *bench) dial() (*caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return b.dialContext(ctx)
}

func (b *bench) dialContext(ctx context.Context) (*caller, error) {
	c := b.prepare()
	return c, b.connect(ctx, c)
}

// prepare opens a caller's socket.
func (b *bench) prepare() *caller {
	c := &caller{addr: addr(200, 1000+len(b.callers))}
	b.callers = append(b.callers, c)
	c.transport = &quic.Transport{Conn: callerConn{b.net.endpoint(c.addr)}, ConnectionIDLength: 8}
	return c
}

func (b *bench) connect(ctx context.Context, c *caller) error {
	tlsConf := &tls.Config{RootCAs: testPool(), ServerName: "bells.example", NextProtos: []string{http3.NextProtoH3}}
	// Every process makes a certificate of its own.
	tlsConf.InsecureSkipVerify = b.net.bridge != nil
	var err error
	c.conn, err = c.transport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddr), tlsConf, &quic.Config{
		KeepAlivePeriod: 10 * time.Second, DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.conn)
	return nil
}

func (b *bench) mustDial() *caller {
	b.t.Helper()
	c, err := b.dial()
	b.is.NoErr(err)
	return c
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "")
	}
	_ = c.transport.Close()
}

func (c *caller) do(ctx context.Context, method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "https://bells.example"+path, body)
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return c.http.RoundTrip(r)
}

// get returns the status and the whole body, or the error of either.
func (c *caller) get(method, path string, body io.Reader, headers ...string) (int, string, http.Header, error) {
	resp, err := c.do(context.Background(), method, path, body, headers...)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header, err
}

func newTestRegistry() *prometheus.Registry { return prometheus.NewRegistry() }

func testRand() *mathrand.Rand { return mathrand.New(mathrand.NewPCG(1, 2)) }

func requestRef(clock int64) request.Ref {
	return request.Ref{Addr: addr(1, 2), Incarnation: 9, Clock: clock}
}
