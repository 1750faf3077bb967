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

// Rate limits of the platform, in calls per second.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

// headerEra is the response header that contains the store's era.
const headerEra = "Crocus-Store-Era"

// maxWait is the longest duration of one watch call.
const maxWait = time.Minute

// Options configure the simulated store.
type Options struct {
	ReadsPerSecond  int // 0 means DefaultReadsPerSecond
	WritesPerSecond int // 0 means DefaultWritesPerSecond
	History         int // changes kept for watches to resume from; 0 means defaultHistory
}

// Fault is the fault that the store simulates. The zero value is a healthy store.
type Fault struct {
	Down          bool          // every call returns 503, open watches too
	Delay         time.Duration // added before each call takes effect
	DropResponses bool          // writes take effect, but their responses are dropped
}

// Counts holds the number of calls since the start.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Conflicts uint64 `json:"conflicts"`
	Limited   uint64 `json:"limited"`
	Lost      uint64 `json:"lost"`
	Refused   uint64 `json:"refused"`
}

// Store implements the platform's object API. It is an http.Handler.
type Store struct {
	state  *state
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter

	mu          sync.Mutex
	fault       Fault
	serving     context.Context // cancelled when an outage begins
	stopServing context.CancelFunc

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
	s.serving, s.stopServing = context.WithCancel(context.Background())
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.limitReads(s.handleGet))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.limitReads(s.handleList))
	s.mux.HandleFunc("GET /v1/watch", s.limitReads(s.handleWatch))
	s.mux.HandleFunc("POST /standin/restore", s.handleRestore)
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.limitWrites(s.handlePut))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.limitWrites(s.handleDelete))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(s.addEra(w), r) }

// SetFault sets the fault for the following calls. An outage also ends open watches.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.fault.Down {
		s.stopServing()
	}
	if !f.Down && s.fault.Down {
		s.serving, s.stopServing = context.WithCancel(context.Background())
	}
	s.fault = f
}

// Compact removes the history, so that watches from an earlier revision must list
// again.
func (s *Store) Compact() { s.state.compact() }

// Restore simulates a restore from a copy of the given age: the store is down for the
// time away, and then has lost all later changes. It returns after that.
func (s *Store) Restore(age, away time.Duration) {
	fault, _ := s.currentFault()
	down := fault
	down.Down = true
	s.SetFault(down)
	time.Sleep(away)
	s.state.restore(time.Now(), age+away)
	s.SetFault(fault)
}

// Counts returns the number of calls since the start.
func (s *Store) Counts() Counts {
	c := &s.counts
	return Counts{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Conflicts: c.conflicts.Load(), Limited: c.limited.Load(), Lost: c.lost.Load(),
		Refused: c.refused.Load(),
	}
}

func (s *Store) currentFault() (Fault, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.serving
}

// admit applies the fault and the rate limit. It returns false if the call must
// not proceed.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) (Fault, bool) {
	fault, _ := s.currentFault()
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-r.Context().Done():
			return fault, false
		}
		fault, _ = s.currentFault()
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

// limitReads applies the fault and the read rate limit to a handler.
func (s *Store) limitReads(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.admit(w, r, s.reads); !ok {
			return
		}
		s.counts.reads.Add(1)
		handle(w, r)
	}
}

// limitWrites applies the fault and the write rate limit to a handler. A dropped
// response ends in a closed connection after the write took effect.
func (s *Store) limitWrites(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, ok := s.admit(w, r, s.writes)
		if !ok {
			return
		}
		s.counts.writes.Add(1)
		if fault.DropResponses {
			handle(&discardWriter{header: http.Header{}}, r)
			s.counts.lost.Add(1)
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	}
}

// handleRestore restores the store from a copy that is ageMillis old, after awayMillis
// without service.
func (s *Store) handleRestore(w http.ResponseWriter, r *http.Request) {
	const millisBits = 31
	age, errAge := strconv.ParseUint(r.URL.Query().Get("ageMillis"), 10, millisBits)
	away, errAway := strconv.ParseUint(r.URL.Query().Get("awayMillis"), 10, millisBits)
	if errAge != nil || errAway != nil {
		http.Error(w, "ageMillis and awayMillis must be numbers", http.StatusBadRequest)
		return
	}
	s.Restore(time.Duration(age)*time.Millisecond, time.Duration(away)*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	o, ok := s.state.get(objectID(r))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	revision, objects := s.state.list(r.PathValue("kind"))
	writeJSON(w, http.StatusOK, listing{revision, objects})
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
	_, serving := s.currentFault()
	stop := context.AfterFunc(serving, cancel)
	defer stop()
	revision, objects, err := s.state.wait(ctx, q["kind"], from)
	switch {
	case serving.Err() != nil:
		s.counts.refused.Add(1)
		http.Error(w, "out of service", http.StatusServiceUnavailable)
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		writeJSON(w, http.StatusOK, listing{revision, objects})
	}
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	s.applyWrite(w, objectID(r), cond, append([]byte{}, value...))
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	s.applyWrite(w, objectID(r), cond, nil)
}

func (s *Store) applyWrite(w http.ResponseWriter, id config.ID, cond Condition, value []byte) {
	o, ok := s.state.write(id, cond, value)
	if !ok {
		s.counts.conflicts.Add(1)
		writeJSON(w, http.StatusPreconditionFailed, o)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func objectID(r *http.Request) config.ID {
	return config.ID{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func parseCondition(r *http.Request) (Condition, error) {
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

// addEra adds the era to a response, when its status is written.
func (s *Store) addEra(w http.ResponseWriter) http.ResponseWriter { return &eraWriter{w, s.state} }

// eraWriter adds the era that is current when the response is written: a call that
// waited while the store was restored is answered in the new era.
type eraWriter struct {
	http.ResponseWriter
	state *state
}

func (e *eraWriter) WriteHeader(status int) {
	e.Header().Set(headerEra, strconv.FormatUint(e.state.currentEra(), 10))
	e.ResponseWriter.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, fmt.Sprintf("encode: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

// discardWriter discards the response of a call whose response is dropped.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
