package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

type response struct {
	status  int
	object  config.Object
	listing listing
}

func call(t *testing.T, server *httptest.Server, method, path, match, body string) (response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	switch match {
	case "":
	case "*":
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", `"`+match+`"`)
	}
	res, err := server.Client().Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}, err
	}
	r := response{status: res.StatusCode}
	_ = json.Unmarshal(raw, &r.object)
	_ = json.Unmarshal(raw, &r.listing)
	return r, nil
}

func startStore(t *testing.T, o Options) (*Store, *httptest.Server) {
	s := New(o)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server
}

func TestObjectAPI(t *testing.T) {
	_, server := startStore(t, Options{})
	steps := []struct {
		name, method, path, match, body string
		status                          int
		revision                        uint64
	}{
		{"missing", "GET", "/v1/objects/zone/a", "", "", 404, 0},
		{"unconditional", "PUT", "/v1/objects/zone/a", "", "1", 428, 0},
		{"update of missing", "PUT", "/v1/objects/zone/a", "1", "1", 412, 0},
		{"create", "PUT", "/v1/objects/zone/a", "*", "1", 200, 1},
		{"create again", "PUT", "/v1/objects/zone/a", "*", "2", 412, 1},
		{"other object", "PUT", "/v1/objects/zone/b", "*", "1", 200, 2},
		{"update", "PUT", "/v1/objects/zone/a", "1", "2", 200, 3},
		{"stale update", "PUT", "/v1/objects/zone/a", "1", "3", 412, 3},
		{"get", "GET", "/v1/objects/zone/a", "", "", 200, 3},
		{"stale delete", "DELETE", "/v1/objects/zone/a", "1", "", 412, 3},
		{"delete", "DELETE", "/v1/objects/zone/a", "3", "", 200, 4},
		{"deleted", "GET", "/v1/objects/zone/a", "", "", 404, 0},
		{"create after delete", "PUT", "/v1/objects/zone/a", "*", "4", 200, 5},
		{"too large", "PUT", "/v1/objects/zone/c", "*", strings.Repeat("x", MaxValueBytes+1), 413, 0},
		{"empty value", "PUT", "/v1/objects/zone/d", "*", "", 200, 6},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			got, err := call(t, server, step.method, step.path, step.match, step.body)
			is.NoErr(err)
			is.Equal(got.status, step.status)
			is.Equal(got.object.Revision, step.revision)
		})
	}
}

func TestWatchReturnsLastChangeOfEachObject(t *testing.T) {
	is := is.New(t)
	s, server := startStore(t, Options{History: 3})
	put := func(name string, c Condition) { s.state.write(config.ID{Kind: "zone", Name: name}, c, []byte(name)) }
	put("a", Condition{Absent: true})
	put("b", Condition{Absent: true})
	put("a", Condition{Revision: 1})
	s.state.write(config.ID{Kind: "keys", Name: "k"}, Condition{Absent: true}, []byte("k"))

	got, err := call(t, server, "GET", "/v1/watch?kind=zone&from=1&waitMillis=0", "", "")
	is.NoErr(err)
	is.Equal(got.listing.Revision, uint64(4))
	is.Equal(len(got.listing.Objects), 2) // b and a, not the key
	is.Equal(got.listing.Objects[1].Revision, uint64(3))

	got, err = call(t, server, "GET", "/v1/watch?kind=zone&from=0&waitMillis=0", "", "")
	is.NoErr(err)
	is.Equal(got.status, http.StatusGone)

	got, err = call(t, server, "GET", "/v1/watch?kind=zone&from=4&waitMillis=0", "", "")
	is.NoErr(err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(got.listing.Objects), 0)
}

func TestWatchWaitsForAChange(t *testing.T) {
	is := is.New(t)
	s, server := startStore(t, Options{})
	done := make(chan response, 1)
	go func() {
		got, _ := call(t, server, "GET", "/v1/watch?kind=zone&from=0&waitMillis=60000", "", "")
		done <- got
	}()
	for s.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.state.write(config.ID{Kind: "zone", Name: "a"}, Condition{Absent: true}, []byte("1"))
	got := <-done
	is.Equal(got.listing.Revision, uint64(1))
	is.Equal(len(got.listing.Objects), 1)
}

func TestFaults(t *testing.T) {
	const create = "/v1/objects/zone/a"
	cases := []struct {
		name   string
		fault  Fault
		method string
		status int // 0 means that the response is dropped
		stored bool
	}{
		{"read in outage", Fault{Down: true}, "GET", 503, false},
		{"write in outage", Fault{Down: true}, "PUT", 503, false},
		{"slow write", Fault{Delay: time.Millisecond}, "PUT", 200, true},
		{"slow then down", Fault{Delay: time.Millisecond, Down: true}, "PUT", 503, false},
		{"dropped response", Fault{DropResponses: true}, "PUT", 0, true},
		{"read while responses are dropped", Fault{DropResponses: true}, "GET", 404, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, server := startStore(t, Options{})
			s.SetFault(c.fault)
			match := ""
			if c.method == "PUT" {
				match = "*"
			}
			got, err := call(t, server, c.method, create, match, "1")
			is.Equal(err != nil, c.status == 0)
			is.Equal(got.status, c.status)
			_, stored := s.state.get(config.ID{Kind: "zone", Name: "a"})
			is.Equal(stored, c.stored)
			s.SetFault(Fault{})
			_, err = call(t, server, "GET", create, "", "")
			is.NoErr(err)
		})
	}
}

func TestOutageEndsOpenWatches(t *testing.T) {
	is := is.New(t)
	s, server := startStore(t, Options{})
	done := make(chan response, 1)
	go func() {
		got, _ := call(t, server, "GET", "/v1/watch?kind=zone&from=0&waitMillis=60000", "", "")
		done <- got
	}()
	for s.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFault(Fault{Down: true})
	is.Equal((<-done).status, http.StatusServiceUnavailable)
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	s, server := startStore(t, Options{ReadsPerSecond: 1})
	s.reads.SetLimit(0) // no refill, so that the result does not depend on time
	first, err := call(t, server, "GET", "/v1/objects/zone", "", "")
	is.NoErr(err)
	is.Equal(first.status, http.StatusOK)
	second, err := call(t, server, "GET", "/v1/objects/zone", "", "")
	is.NoErr(err)
	is.Equal(second.status, http.StatusTooManyRequests)
	is.Equal(s.Counts().Limited, uint64(1))
}

func TestWaitEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	revision, objects, err := newState(0).wait(ctx, []string{"zone"}, 0)
	is.NoErr(err)
	is.Equal(revision, uint64(0))
	is.Equal(len(objects), 0)
}
