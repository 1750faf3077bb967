package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/request"
	"crocusnotch/internal/standin/payload"
)

func startUpstream(t *testing.T, o Options) *Upstream {
	t.Helper()
	o.Address = netip.MustParseAddrPort("127.0.0.1:0")
	u, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- u.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return u
}

func get(t *testing.T, u *Upstream, q payload.Request, deadline int) *http.Response {
	t.Helper()
	url := "http://" + u.Address().String() + "/x?" + q.Query()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	if deadline > 0 {
		req.Header.Set(request.HeaderDeadline, strconv.Itoa(deadline))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

func TestResponseMatchesRequest(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Options{Name: "u", Service: "bells", Slots: 1, Speed: 1, Work: time.Millisecond})
	res := get(t, u, payload.Request{ID: "a", Attempt: 1, Size: 50_000, Work: 1}, 0)
	is.Equal(res.Header.Get(payload.HeaderRequest), "a")
	is.Equal(res.Header.Get(payload.HeaderService), "bells")
	result, err := payload.Check("a", 50_000, res.Body)
	is.NoErr(err)
	is.Equal(result, payload.Complete)
	is.True(u.Options().Runs.Ran("a", 1))
}

func TestDeadlineAndShed(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Options{Slots: 1, Speed: 1, Work: 100 * time.Hour})
	res := get(t, u, payload.Request{ID: "late", Attempt: 1, Work: 1}, 1)
	is.Equal(res.StatusCode, http.StatusGatewayTimeout)
	is.Equal(u.Counts().Expired, uint64(1))

	for range shedFactor {
		_, ok := u.capacity.admit(time.Now())
		is.True(ok)
	}
	res = get(t, u, payload.Request{ID: "shed", Attempt: 1, Work: 1}, 0)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get(headerNotRun), "shed")
	is.True(!u.Options().Runs.Ran("shed", 1))
}

func TestAnnounceFollowsState(t *testing.T) {
	is := is.New(t)
	received := make(chan announcement, 16)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"drained":true}`))
			return
		}
		var a announcement
		is.NoErr(json.NewDecoder(r.Body).Decode(&a))
		received <- a
		_, _ = w.Write([]byte(`{"leaseMillis":3600000}`))
	}))
	t.Cleanup(agent.Close)
	address := netip.MustParseAddrPort(agent.Listener.Addr().String())
	u := startUpstream(t, Options{Service: "bells", Slots: 5, Connections: 7, Cold: ColdStart{InitialShare: 0.5, WarmUp: time.Hour}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go u.Announce(ctx, address)

	is.Equal(<-received, announcement{Service: "bells", Address: u.Address().String(), Slots: 5, Connections: 7, State: stateWarm})
	u.BeginColdStart(true)
	is.Equal((<-received).State, stateCold)
	u.Leave()
	is.Equal((<-received).State, stateLeaving)
	is.NoErr(u.WaitDrained(ctx, address))
}
