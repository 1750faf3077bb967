package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const goodAnnouncement = `{"service":"bells","address":"127.23.0.1:9000","slots":5,"connections":2000,"state":"warm"}`

func TestBadAnnouncementsNameTheField(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"service", `{"service":"Bells","address":"127.0.0.1:1","slots":1,"connections":1,"state":"warm"}`, `"path":"service"`},
		{"address", `{"service":"bells","address":"here","slots":1,"connections":1,"state":"warm"}`, `"path":"address"`},
		{"slots", `{"service":"bells","address":"127.0.0.1:1","slots":0,"connections":1,"state":"warm"}`, `"path":"slots"`},
		{"connections", `{"service":"bells","address":"127.0.0.1:1","slots":1,"state":"warm"}`, `"path":"connections"`},
		{"state", `{"service":"bells","address":"127.0.0.1:1","slots":1,"connections":1,"state":"hot"}`, `"path":"state"`},
		{"unknown", `{"weight":2}`, `"path":"weight"`},
		{"other service", `{"service":"chimes","address":"127.23.0.1:9000","slots":5,"connections":2000,"state":"warm"}`, `"path":"service"`},
	}
	inBubble(t, func(b *bench) {
		for _, tt := range cases {
			status, text := b.onAnnounce(b.agents[0], http.MethodPut, []byte(tt.body))
			b.is.Equal(status, http.StatusBadRequest) // tt.name
			if !strings.Contains(text, tt.want) {
				t.Errorf("%s: %s", tt.name, text)
			}
		}
		status, text := b.onAnnounce(b.agents[0], http.MethodPut, []byte(goodAnnouncement))
		b.is.Equal(status, 200)
		b.is.Equal(text, `{"leaseMillis":3000}`+"\n")
	}, echo)
}

func TestLapsedLeaseStopsNewFlows(t *testing.T) {
	inBubble(t, func(b *bench) {
		a := b.agents[0]
		b.is.Equal(a.fleet.record().State, membership.StateCold)
		a.silence()
		time.Sleep(announceLease + time.Second)
		b.is.Equal(a.fleet.record().State, membership.StateDraining)
		ok, reason := a.Health()
		b.is.True(!ok)
		b.is.Equal(reason, "no-upstream")
		_, err := b.dial()
		b.is.True(err != nil)
		var s wire.Status
		a.fleet.status(&s)
		b.is.Equal(s.Agent.Service, "bells")
	}, echo)
}

// TestServiceUnknownAtFirst announces before the configuration is there.
func TestServiceUnknownAtFirst(t *testing.T) {
	inBubble(t, func(b *bench) {
		whole := b.cluster.config
		b.cluster.setConfig(config.Empty())
		a := b.startAgent(2, echo)
		time.Sleep(time.Second)
		_, reason := a.Health()
		b.is.Equal(reason, "no-configuration")
		b.cluster.setConfig(whole)
		time.Sleep(time.Second)
		b.spread()
		ok, _ := a.Health()
		b.is.True(ok)
		b.is.Equal(a.fleet.record().Service, uint16(7))
		status, _, _, err := b.mustDial().get("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo)
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(goodAnnouncement))
	f.Add([]byte(`{"service":"bells","address":"[::1]:9000","slots":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := DecodeAnnouncement(b)
		var invalid *config.InvalidError
		switch {
		case err != nil && (!errors.As(err, &invalid) || len(invalid.Fields) == 0):
			t.Fatalf("not an InvalidError with fields: %v", err)
		case err == nil && (a.Slots < 1 || a.Connections < 1 || !a.Address.IsValid() || a.Address.Port() == 0):
			t.Fatalf("accepted %+v", a)
		}
	})
}

func TestLoadReportIsAuthentic(t *testing.T) {
	is := is.New(t)
	ring := testRing(1)
	r := loadReport{ref: requestRef(3), flows: 70_000}
	r.load.Busy, r.load.Limit, r.load.Connections, r.load.Cold = 3, 5, 100_000, true
	b := make([]byte, wire.HeaderSize)
	wire.PutHeader(b, ring, &wire.Header{Kind: wire.KindLoadReport, Service: 7})
	b = appendLoad(b, ring, &r)
	got, ok := parseLoad(testRing(2), b) // after a rotation
	is.True(ok)
	is.Equal(got, r)
	for i := range b {
		b[i] ^= 1
		_, ok := parseLoad(ring, b)
		is.True(!ok)
		b[i] ^= 1
	}
}

// TestLoadReportsStayInBudget changes the load at every look, in groups of all
// sizes.
func TestLoadReportsStayInBudget(t *testing.T) {
	for _, size := range []int{1, 6, 100, 5000} {
		is := is.New(t)
		p := newLoadPacer(testRand())
		peers := make([]membership.Record, size)
		sent := 0
		const seconds = 60
		for i := range int(seconds * time.Second / loadInterval) {
			now := time.Unix(0, 0).Add(time.Duration(i) * loadInterval)
			r := loadReport{flows: i}
			r.load.Busy = i
			sent += len(p.next(now, r, peers)) * (loadDatagram + packetOverhead)
		}
		is.True(sent <= seconds*loadBudget+loadBurst)
		is.True(sent > 0)
	}
}
