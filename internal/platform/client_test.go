package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// fault is a fault that fakeStore injects into one call.
type fault int

const (
	none             fault = iota
	responseLost           // the request is applied, the response is lost
	requestLost            // the request is not applied, no response
	outage                 // 503, the request is not applied
	rateLimited            // 429, the request is not applied
	timeout                // no response until the call's deadline
	outageAfterWrite       // 503, but the request is applied
)

var errReset = errors.New("connection reset")

// fakeStore is an http.RoundTripper that stores one object and injects the n-th
// fault into the n-th call.
type fakeStore struct {
	object config.Object
	faults []fault
	calls  []string
	before map[int]func(*fakeStore) // functions to run before a call, by its index
}

func (f *fakeStore) RoundTrip(r *http.Request) (*http.Response, error) {
	n := len(f.calls)
	f.calls = append(f.calls, r.Method)
	if hook := f.before[n]; hook != nil {
		hook(f)
	}
	injected := none
	if n < len(f.faults) {
		injected = f.faults[n]
	}
	switch injected {
	case requestLost:
		return nil, errReset
	case outage:
		return response(http.StatusServiceUnavailable, nil), nil
	case rateLimited:
		return response(http.StatusTooManyRequests, nil), nil
	case timeout:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	res := f.handle(r)
	switch injected {
	case responseLost:
		return nil, errReset
	case outageAfterWrite:
		return response(http.StatusServiceUnavailable, nil), nil
	}
	return res, nil
}

func (f *fakeStore) handle(r *http.Request) *http.Response {
	exists := f.object.Revision != 0 && !f.object.Deleted
	if r.Method == http.MethodGet {
		if !exists {
			return response(http.StatusNotFound, nil)
		}
		return response(http.StatusOK, f.object)
	}
	if !f.preconditionHolds(r, exists) {
		return response(http.StatusPreconditionFailed, f.object)
	}
	value, _ := io.ReadAll(r.Body)
	f.write(value)
	f.object.Deleted = r.Method == http.MethodDelete
	return response(http.StatusOK, f.object)
}

func (f *fakeStore) preconditionHolds(r *http.Request, exists bool) bool {
	if r.Header.Get(headerIfNoneMatch) == "*" {
		return !exists
	}
	want, _ := json.Marshal(f.object.Revision)
	return exists && strings.Trim(r.Header.Get(headerIfMatch), `"`) == string(want)
}

func (f *fakeStore) write(value []byte) {
	f.object = config.Object{Kind: "zone", Name: "a", Revision: f.object.Revision + 1, Value: value}
}

func response(status int, v any) *http.Response {
	body, _ := json.Marshal(v)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body)), Header: http.Header{}}
}

func testClient(f *fakeStore) *Client {
	return New("http://store", Options{
		HTTP:   &http.Client{Transport: f},
		Jitter: func(d time.Duration) time.Duration { return d },
	})
}

var zoneA = config.ID{Kind: "zone", Name: "a"}

func otherClientWrites(f *fakeStore) { f.write([]byte("other")) }

func TestUpdateUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault
		before  map[int]func(*fakeStore)
		wantErr error // nil, ErrUnavailable, ErrUncertain or a *ConflictError
		value   string
		writes  int // write requests sent
	}{
		{name: "plain", value: "new", writes: 1},
		{name: "applied with the response lost is not retried", faults: []fault{responseLost}, value: "new", writes: 1},
		{name: "applied with status 503 is not retried", faults: []fault{outageAfterWrite}, value: "new", writes: 1},
		{name: "lost request is retried", faults: []fault{requestLost}, value: "new", writes: 2},
		{name: "timeout is retried", faults: []fault{timeout}, value: "new", writes: 2},
		{name: "rate limited", faults: []fault{rateLimited, rateLimited}, value: "new", writes: 3},
		{name: "rate limited on all attempts", faults: []fault{rateLimited, rateLimited, rateLimited, rateLimited}, wantErr: ErrUnavailable, value: "old", writes: 4},
		{name: "response lost, then the store is unavailable", faults: []fault{responseLost, outage, outage, outage, outage}, wantErr: ErrUncertain, value: "new", writes: 1},
		{name: "another client writes first", before: map[int]func(*fakeStore){0: otherClientWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
		{name: "request lost, then another client writes", faults: []fault{requestLost}, before: map[int]func(*fakeStore){1: otherClientWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
		{name: "response lost, then another client writes", faults: []fault{responseLost}, before: map[int]func(*fakeStore){1: otherClientWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeStore{faults: tt.faults, before: tt.before}
				f.write([]byte("old"))
				o, err := testClient(f).Update(context.Background(), zoneA, 1, []byte("new"))
				checkError(is, err, tt.wantErr)
				if tt.wantErr == nil {
					is.Equal(o.Revision, uint64(2)) // the write is applied once
				}
				is.Equal(string(f.object.Value), tt.value)
				is.Equal(count(f.calls, http.MethodPut), tt.writes)
			})
		})
	}
}

func checkError(is *is.I, err, want error) {
	is.Helper()
	var conflict *ConflictError
	if errors.As(want, &conflict) {
		is.True(errors.As(err, &conflict))
		return
	}
	is.True(errors.Is(err, want))
}

func count(calls []string, method string) int {
	n := 0
	for _, c := range calls {
		if c == method {
			n++
		}
	}
	return n
}

func TestCreateAndDeleteWithLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{faults: []fault{responseLost}}
		c := testClient(f)
		o, err := c.Create(context.Background(), zoneA, []byte("v"))
		is.NoErr(err)
		is.Equal(o.Revision, uint64(1))

		_, err = c.Create(context.Background(), zoneA, []byte("w"))
		checkError(is, err, &ConflictError{})

		f.faults = make([]fault, len(f.calls)+1)
		f.faults[len(f.calls)] = responseLost
		o, err = c.Delete(context.Background(), zoneA, 1)
		is.NoErr(err)
		is.True(o.Deleted)
		_, err = c.Get(context.Background(), zoneA)
		is.True(errors.Is(err, ErrNotFound))
	})
}

func TestQueryFailsAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{faults: []fault{outage, requestLost, timeout, rateLimited, none}}
		_, err := testClient(f).Get(context.Background(), zoneA)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(len(f.calls), defaultAttempts)
	})
}

func TestCallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{}
		f.write([]byte("v"))
		c := New("http://store", Options{HTTP: &http.Client{Transport: f}, CallsPerSec: 2, Burst: 1})
		start := time.Now()
		for range 5 {
			_, err := c.Get(context.Background(), zoneA)
			is.NoErr(err)
		}
		is.Equal(time.Since(start), 2*time.Second) // virtual time: the burst admits the first call, four wait
	})
}

func TestValueTooLarge(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	_, err := testClient(f).Create(context.Background(), zoneA, make([]byte, MaxValueSize+1))
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(len(f.calls), 0)
}
