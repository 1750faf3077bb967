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

// The fleet node must do for the entry what the fake of the other tests does:
// bring a configuration into force, take a zone out within the stated time,
// and end with a graceful stop.
func TestWithFleetNode(t *testing.T) {
	const zoneOutLimit = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		platformStore := platform.New("http://store", platform.Options{
			HTTP: &http.Client{Transport: handlerTransport{store.New(store.Options{})}},
		})
		b := newHarnessWith(newTestNode(t, platformStore))
		_, done := b.start(t)
		forwarded := func() bool {
			b.fabric.in <- fromCaller(established(testKeys(), testZone))
			_, ok := b.data.take()
			return ok
		}
		create := func(kind, name, value string) uint64 {
			o, err := platformStore.Create(ctx, config.ID{Kind: kind, Name: name}, []byte(value))
			is.NoErr(err)
			return o.Revision
		}
		is.True(!forwarded()) // no configuration is known
		secret := "07" + strings.Repeat("00", keyring.SecretSize-1)
		create(config.KindKeys, config.KeysName, `{"signing":1,"generations":[{"id":1,"secret":"`+secret+`"}]}`)
		zone := create(config.KindZone, "one", `{"name":"one","id":1,"region":"r","out":false}`)
		create(config.KindService, "bells", serviceObject)
		time.Sleep(zoneOutLimit)
		is.True(forwarded())
		healthy, _ := b.entry.Health()
		is.True(healthy)

		out := `{"name":"one","id":1,"region":"r","out":true}`
		_, err := platformStore.Update(ctx, config.ID{Kind: config.KindZone, Name: "one"}, zone, []byte(out))
		is.NoErr(err)
		time.Sleep(zoneOutLimit)
		is.True(!forwarded())
		is.Equal(b.packets(routing.DropZoneOut), uint64(1))
		healthy, reason := b.entry.Health()
		is.True(!healthy) // the fabric must turn to entries of other zones
		is.Equal(reason, "zone out")

		b.entry.Stop()
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

// handlerTransport answers requests by a handler, without a network.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// silentConn and silentListener are sockets on which nothing arrives.
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
