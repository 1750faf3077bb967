package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"crocusnotch/internal/config"
)

// Rates of the platform, in calls a second.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

// maxWait bounds one watch call.
const maxWait = time.Minute

// Options set the size of the stand-in.
type Options struct {
	ReadsPerSecond  int // 0 means DefaultReadsPerSecond
	WritesPerSecond int // 0 means DefaultWritesPerSecond
	History         int // changes that a watch can resume over
}

// Fault is what is wrong with the store now. The zero value is a healthy
// store.
type Fault struct {
	Down          bool          // every call is answered 503, open watches too
	Delay         time.Duration // added before each call takes effect
	DropResponses bool          // writes take effect, their answers are lost
}

// Counts are the calls since the start.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Conflicts uint64 `json:"conflicts"`
	Limited   uint64 `json:"limited"`
	Lost      uint64 `json:"lost"`
	Refused   uint64 `json:"refused"`
}

// Store answers the platform's object API. It is an http.Handler.
type Store struct {
	state  *state
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	fault   Fault
	outage  context.Context // ends when an outage begins
	endWork context.CancelFunc

	counts struct{ reads, writes, watches, conflicts, limited, lost, refused atomic.Uint64 }
}

type listing struct {
	Revision uint64          `json:"revision"`
	Objects  []config.Object `json:"objects"`
}

// New returns an empty, healthy store.
func New(o Options) *Store {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	s := &Store{
		state:  newState(o.History),
		mux:    http.NewServeMux(),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
	}
	s.outage, s.endWork = context.WithCancel(context.Background())
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.read(s.handleGet))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.read(s.handleList))
	s.mux.HandleFunc("GET /v1/watch", s.read(s.handleWatch))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.write(s.handlePut))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.write(s.handleDelete))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault changes what is wrong with the store from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.fault.Down {
		s.endWork()
	}
	if !f.Down && s.fault.Down {
		s.outage, s.endWork = context.WithCancel(context.Background())
	}
	s.fault = f
}

// Compact drops the history, so that every watch must list again.
func (s *Store) Compact() { s.state.compact() }

// Counts returns the calls since the start.
func (s *Store) Counts() Counts {
	c := &s.counts
	return Counts{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Conflicts: c.conflicts.Load(), Limited: c.limited.Load(), Lost: c.lost.Load(),
		Refused: c.refused.Load(),
	}
}

func (s *Store) current() (Fault, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.outage
}

// enter applies the faults and the rate limit. It reports whether the call
// goes on.
func (s *Store) enter(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) (Fault, bool) {
	fault, _ := s.current()
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-r.Context().Done():
			return fault, false
		}
		fault, _ = s.current()
	}
	if fault.Down {
		s.counts.refused.Add(1)
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return fault, false
	}
	if !limit.Allow() {
		s.counts.limited.Add(1)
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return fault, false
	}
	return fault, true
}

func (s *Store) read(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.enter(w, r, s.reads); !ok {
			return
		}
		s.counts.reads.Add(1)
		handle(w, r)
	}
}

func (s *Store) write(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, ok := s.enter(w, r, s.writes)
		if !ok {
			return
		}
		s.counts.writes.Add(1)
		if fault.DropResponses {
			handle(&discard{header: http.Header{}}, r)
			s.counts.lost.Add(1)
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	o, ok := s.state.get(pathID(r))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	revision, objects := s.state.list(r.PathValue("kind"))
	answer(w, http.StatusOK, listing{revision, objects})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	s.counts.watches.Add(1)
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	millis, errWait := strconv.ParseUint(q.Get("waitMillis"), 10, 31)
	if errFrom != nil || errWait != nil {
		http.Error(w, "from and waitMillis must be numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	_, outage := s.current()
	stop := context.AfterFunc(outage, cancel)
	defer stop()
	revision, objects, err := s.state.wait(ctx, q["kind"], from)
	switch {
	case outage.Err() != nil:
		s.counts.refused.Add(1)
		http.Error(w, "out of service", http.StatusServiceUnavailable)
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		answer(w, http.StatusOK, listing{revision, objects})
	}
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	cond, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	s.finish(w, pathID(r), cond, append([]byte{}, value...))
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	cond, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	s.finish(w, pathID(r), cond, nil)
}

func (s *Store) finish(w http.ResponseWriter, id config.ID, cond Condition, value []byte) {
	o, ok := s.state.write(id, cond, value)
	if !ok {
		s.counts.conflicts.Add(1)
		answer(w, http.StatusPreconditionFailed, o)
		return
	}
	answer(w, http.StatusOK, o)
}

func pathID(r *http.Request) config.ID {
	return config.ID{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func condition(r *http.Request) (Condition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return Condition{Absent: true}, nil
	}
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseUint(tag, 10, 64)
	if err != nil || revision == 0 {
		return Condition{}, errors.New(`a write needs If-Match: "revision" or If-None-Match: *`)
	}
	return Condition{Revision: revision}, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, fmt.Sprintf("encode: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
