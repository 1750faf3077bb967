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

// fault is what happens to one call.
type fault int

const (
	none    fault = iota
	lost          // takes effect, the answer is lost
	dropped       // does not take effect, no answer
	outage        // 503 without effect
	limited       // 429 without effect
	hang          // no answer until the call's deadline
	late          // 503, but takes effect
)

var errReset = errors.New("connection reset")

// fakeStore is one object behind http.RoundTripper with a fault for each call.
type fakeStore struct {
	object config.Object
	faults []fault
	calls  []string
	before map[int]func(*fakeStore) // runs before the call of that number
}

func (f *fakeStore) RoundTrip(r *http.Request) (*http.Response, error) {
	n := len(f.calls)
	f.calls = append(f.calls, r.Method)
	if act := f.before[n]; act != nil {
		act(f)
	}
	what := none
	if n < len(f.faults) {
		what = f.faults[n]
	}
	switch what {
	case dropped:
		return nil, errReset
	case outage:
		return answer(http.StatusServiceUnavailable, nil), nil
	case limited:
		return answer(http.StatusTooManyRequests, nil), nil
	case hang:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	res := f.handle(r)
	switch what {
	case lost:
		return nil, errReset
	case late:
		return answer(http.StatusServiceUnavailable, nil), nil
	}
	return res, nil
}

func (f *fakeStore) handle(r *http.Request) *http.Response {
	exists := f.object.Revision != 0 && !f.object.Deleted
	if r.Method == http.MethodGet {
		if !exists {
			return answer(http.StatusNotFound, nil)
		}
		return answer(http.StatusOK, f.object)
	}
	if !f.holds(r, exists) {
		return answer(http.StatusPreconditionFailed, f.object)
	}
	value, _ := io.ReadAll(r.Body)
	f.set(value)
	f.object.Deleted = r.Method == http.MethodDelete
	return answer(http.StatusOK, f.object)
}

func (f *fakeStore) holds(r *http.Request, exists bool) bool {
	if r.Header.Get(headerIfNoneMatch) == "*" {
		return !exists
	}
	want, _ := json.Marshal(f.object.Revision)
	return exists && strings.Trim(r.Header.Get(headerIfMatch), `"`) == string(want)
}

func (f *fakeStore) set(value []byte) {
	f.object = config.Object{Kind: "zone", Name: "a", Revision: f.object.Revision + 1, Value: value}
}

func answer(status int, v any) *http.Response {
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

func otherWrites(f *fakeStore) { f.set([]byte("other")) }

func TestUpdateUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  []fault
		before  map[int]func(*fakeStore)
		wantErr error // nil, ErrUnavailable, ErrUncertain or a *ConflictError
		value   string
		writes  int // writes that reached the store's side
	}{
		{name: "plain", value: "new", writes: 1},
		{name: "answer lost after the effect is not repeated", faults: []fault{lost}, value: "new", writes: 1},
		{name: "503 after the effect is not repeated", faults: []fault{late}, value: "new", writes: 1},
		{name: "dropped before the effect is repeated", faults: []fault{dropped}, value: "new", writes: 2},
		{name: "hangs and is repeated", faults: []fault{hang}, value: "new", writes: 2},
		{name: "over the rate", faults: []fault{limited, limited}, value: "new", writes: 3},
		{name: "over the rate for good", faults: []fault{limited, limited, limited, limited}, wantErr: ErrUnavailable, value: "old", writes: 4},
		{name: "lost, then the store is out", faults: []fault{lost, outage, outage, outage, outage}, wantErr: ErrUncertain, value: "new", writes: 1},
		{name: "another operator first", before: map[int]func(*fakeStore){0: otherWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
		{name: "dropped, then another operator", faults: []fault{dropped}, before: map[int]func(*fakeStore){1: otherWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
		{name: "lost, then another operator on top", faults: []fault{lost}, before: map[int]func(*fakeStore){1: otherWrites}, wantErr: &ConflictError{}, value: "other", writes: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeStore{faults: tt.faults, before: tt.before}
				f.set([]byte("old"))
				o, err := testClient(f).Update(context.Background(), zoneA, 1, []byte("new"))
				checkError(is, err, tt.wantErr)
				if tt.wantErr == nil {
					is.Equal(o.Revision, uint64(2)) // one effect raises the revision once
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

func TestCreateAndDeleteWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{faults: []fault{lost}}
		c := testClient(f)
		o, err := c.Create(context.Background(), zoneA, []byte("v"))
		is.NoErr(err)
		is.Equal(o.Revision, uint64(1))

		_, err = c.Create(context.Background(), zoneA, []byte("w"))
		checkError(is, err, &ConflictError{})

		f.faults = make([]fault, len(f.calls)+1)
		f.faults[len(f.calls)] = lost
		o, err = c.Delete(context.Background(), zoneA, 1)
		is.NoErr(err)
		is.True(o.Deleted)
		_, err = c.Get(context.Background(), zoneA)
		is.True(errors.Is(err, ErrNotFound))
	})
}

func TestQueryGivesUpWithinItsTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{faults: []fault{outage, dropped, hang, limited, none}}
		_, err := testClient(f).Get(context.Background(), zoneA)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(len(f.calls), defaultAttempts)
	})
}

func TestCallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{}
		f.set([]byte("v"))
		c := New("http://store", Options{HTTP: &http.Client{Transport: f}, CallsPerSec: 2, Burst: 1})
		start := time.Now()
		for range 5 {
			_, err := c.Get(context.Background(), zoneA)
			is.NoErr(err)
		}
		is.Equal(time.Since(start), 2*time.Second) // virtual time: the first call is free, four wait
	})
}

func TestValueTooLarge(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	_, err := testClient(f).Create(context.Background(), zoneA, make([]byte, MaxValueSize+1))
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(len(f.calls), 0)
}
