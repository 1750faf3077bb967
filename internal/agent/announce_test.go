package agent

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

const validAnnouncement = `{"service":"bells","address":"127.23.0.1:9000","slots":5,"connections":2000,"state":"warm"}`

func TestInvalidAnnouncementsReportTheField(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"service", `{"service":"Bells","address":"127.0.0.1:1","slots":1,"connections":1,"state":"warm"}`, `"path":"service"`},
		{"address", `{"service":"bells","address":"here","slots":1,"connections":1,"state":"warm"}`, `"path":"address"`},
		{"slots", `{"service":"bells","address":"127.0.0.1:1","slots":0,"connections":1,"state":"warm"}`, `"path":"slots"`},
		{"connections", `{"service":"bells","address":"127.0.0.1:1","slots":1,"state":"warm"}`, `"path":"connections"`},
		{"state", `{"service":"bells","address":"127.0.0.1:1","slots":1,"connections":1,"state":"hot"}`, `"path":"state"`},
		{"unknown", `{"weight":2}`, `"path":"weight"`},
		{"other service", `{"service":"chimes","address":"127.23.0.1:9000","slots":5,"connections":2000,"state":"warm"}`, `"path":"service"`},
	}
	inBubble(t, func(b *testBench) {
		for _, tt := range cases {
			status, text := b.requestAnnounce(b.agents[0], http.MethodPut, []byte(tt.body))
			b.is.Equal(status, http.StatusBadRequest) // tt.name
			if !strings.Contains(text, tt.want) {
				t.Errorf("%s: %s", tt.name, text)
			}
		}
		status, text := b.requestAnnounce(b.agents[0], http.MethodPut, []byte(validAnnouncement))
		b.is.Equal(status, 200)
		b.is.Equal(text, `{"leaseMillis":3000}`+"\n")
	}, echo)
}

func TestExpiredLeaseStopsNewFlows(t *testing.T) {
	inBubble(t, func(b *testBench) {
		a := b.agents[0]
		b.is.Equal(a.fleet.record().State, membership.StateCold)
		a.stopAnnouncing()
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

// An agent whose instance is suspended for longer than the lease resumes with requests
// waiting. Its clock stood still, but the upstream may have left or turned cold
// meanwhile: no request runs before the upstream announces itself again.
func TestSuspendedAgentRunsNothingOnItsLease(t *testing.T) {
	var runs atomic.Int32
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	})
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		status, _, _, err := c.fetch("GET", "/x", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
		b.agents[0].stopAnnouncing()
		b.suspended.Add(int64(announceLease + time.Second))
		status, _, h, err := c.fetch("GET", "/x", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 503)
		b.is.Equal(h.Get(request.HeaderOutcome), "not-run")
		b.is.Equal(int(runs.Load()), 1)
		b.announce(b.agents[0], "warm", 5)
		status, _, _, err = c.fetch("GET", "/x", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, counted)
}

// TestServiceUnknownAtFirst announces an upstream before the configuration
// arrives.
func TestServiceUnknownAtFirst(t *testing.T) {
	inBubble(t, func(b *testBench) {
		complete := b.cluster.config
		b.cluster.setConfig(config.Empty())
		a := b.startAgent(2, echo)
		time.Sleep(time.Second)
		_, reason := a.Health()
		b.is.Equal(reason, "no-configuration")
		b.cluster.setConfig(complete)
		time.Sleep(time.Second)
		b.rotateCandidates()
		ok, _ := a.Health()
		b.is.True(ok)
		b.is.Equal(a.fleet.record().Service, uint16(7))
		status, _, _, err := b.mustDial().fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo)
}

func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(validAnnouncement))
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
	r := loadReport{ref: testRef(3), flows: 70_000}
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

// TestLoadReportsStayWithinBudget changes the load at every check, with different
// numbers of peers.
func TestLoadReportsStayWithinBudget(t *testing.T) {
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
			sent += len(p.recipients(now, r, peers)) * (loadDatagramSize + packetOverhead)
		}
		is.True(sent <= seconds*loadBytesPerSecond+loadBurstBytes)
		is.True(sent > 0)
	}
}
