package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

var serviceAddr = netip.MustParseAddrPort("127.23.9.1:443")

// testCert is a self-signed certificate for all server names in the tests.
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

// fakeCluster is the configuration and membership that all agents of a test share.
type fakeCluster struct {
	mu       sync.Mutex
	config   *config.Fleet
	members  map[netip.AddrPort]membership.Record
	watchers []chan struct{}
}

func (c *fakeCluster) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	for _, w := range c.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

func (c *fakeCluster) setConfig(f *config.Fleet) { c.update(func() { c.config = f }) }

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
	f.cluster.update(func() { f.cluster.watchers = append(f.cluster.watchers, w) })
	return w
}

func (f *fakeFleet) Update(change func(*membership.Record)) {
	f.cluster.update(func() {
		change(&f.own)
		f.own.Version++
		f.cluster.members[f.own.Addr] = f.own
	})
}

func (f *fakeFleet) SetServiceName(string) {}

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

func newTestRegistry() *prometheus.Registry { return prometheus.NewRegistry() }

func testRand() *mathrand.Rand { return mathrand.New(mathrand.NewPCG(1, 2)) }

func testRef(clock int64) request.AgentRef {
	return request.AgentRef{Addr: addr(1, 2), Incarnation: 9, ClockMillis: clock}
}
