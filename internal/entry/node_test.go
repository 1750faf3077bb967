package entry

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/fleet"
	"crocusnotch/internal/keyring"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/standin/store"
)

const serviceObject = `{"name":"bells","id":3,"addresses":["192.0.2.1:443"],
	"classes":[{"name":"all","pathPrefix":"/","deadlineMillis":1000}],
	"targets":{"freshShare":0.2,"freshSteps":1,"freshIntervalMillis":1000,"retentionMillis":1000}}`

// With a real fleet node instead of the fake one, the entry must apply a
// configuration, take a zone out of service within zoneOutLimit and stop
// gracefully.
func TestWithFleetNode(t *testing.T) {
	const zoneOutLimit = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		platformStore := platform.New("http://store", platform.Options{
			HTTP: &http.Client{Transport: handlerTransport{store.New(store.Options{})}},
		})
		env := newTestEnvWith(newTestNode(t, platformStore))
		_, done := env.start(t)
		forwarded := func() bool {
			env.fabric.in <- fromCaller(establishedPacket(testKeys(), testZone))
			_, ok := env.data.nextSent()
			return ok
		}
		create := func(kind, name, value string) uint64 {
			o, err := platformStore.Create(ctx, config.ID{Kind: kind, Name: name}, []byte(value))
			is.NoErr(err)
			return o.Revision
		}
		is.True(!forwarded()) // no configuration is loaded
		secret := "07" + strings.Repeat("00", keyring.SecretSize-1)
		create(config.KindKeys, config.KeysName, `{"signing":1,"generations":[{"id":1,"secret":"`+secret+`"}]}`)
		zone := create(config.KindZone, "one", `{"name":"one","id":1,"region":"r","out":false}`)
		create(config.KindService, "bells", serviceObject)
		time.Sleep(zoneOutLimit)
		is.True(forwarded())
		healthy, _ := env.entry.Health()
		is.True(healthy)

		out := `{"name":"one","id":1,"region":"r","out":true}`
		_, err := platformStore.Update(ctx, config.ID{Kind: config.KindZone, Name: "one"}, zone, []byte(out))
		is.NoErr(err)
		time.Sleep(zoneOutLimit)
		is.True(!forwarded())
		is.Equal(env.packets(routing.DropZoneOut), uint64(1))
		healthy, reason := env.entry.Health()
		is.True(!healthy) // the fabric must switch to entries in other zones
		is.Equal(reason, "zone out")

		env.entry.Stop()
		is.NoErr(<-done)
	})
}

func newTestNode(t *testing.T, s fleet.Store) Fleet {
	node, err := fleet.New(fleet.Options{
		Self:     membership.Record{Addr: dataAddr, Control: controlAddr, Role: membership.RoleEntry},
		Zone:     "one",
		Store:    s,
		Log:      slog.New(slog.NewJSONHandler(io.Discard, nil)),
		Registry: prometheus.NewRegistry(),
		Conn:     silentConn{memoryConn: newMemoryConn()},
		Listener: silentListener{memoryConn: newMemoryConn()},
		Call: func(context.Context, netip.AddrPort, string, any, any) error {
			return errors.New("unreachable")
		},
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// handlerTransport serves requests with a handler, without a network.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// silentConn and silentListener are sockets that receive nothing.
type silentConn struct {
	net.PacketConn
	*memoryConn
}

func (c silentConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, _, err := c.ReadFromUDPAddrPort(b)
	return n, nil, err
}

func (c silentConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

func (c silentConn) Close() error { return c.memoryConn.Close() }

type silentListener struct {
	net.Listener
	*memoryConn
}

func (l silentListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l silentListener) Close() error { return l.memoryConn.Close() }
