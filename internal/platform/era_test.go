package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// eraStore is an http.RoundTripper with one object, which can be restored from a copy.
type eraStore struct {
	era      uint64
	revision uint64 // of the store
	object   config.Object
	held     []*http.Response // responses that were computed and not delivered yet
	hold     bool
}

func (s *eraStore) set(value string) {
	s.revision++
	s.object = config.Object{Kind: zoneA.Kind, Name: zoneA.Name, Revision: s.revision, Value: []byte(value)}
}

// eraCopy is a copy of the content of the store.
type eraCopy struct {
	revision uint64
	object   config.Object
}

func (s *eraStore) copied() eraCopy { return eraCopy{s.revision, s.object} }

func (s *eraStore) restore(c eraCopy) {
	s.era++
	s.revision, s.object = c.revision, c.object
}

func (s *eraStore) RoundTrip(r *http.Request) (*http.Response, error) {
	res := s.handle(r)
	if s.era > 0 {
		res.Header.Set(headerEra, strconv.FormatUint(s.era, 10))
	}
	if s.hold {
		s.hold = false
		s.held = append(s.held, res)
		return nil, errReset
	}
	return res, nil
}

func (s *eraStore) handle(r *http.Request) *http.Response {
	switch {
	case strings.HasSuffix(r.URL.Path, watchPath):
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		if from > s.revision {
			return response(http.StatusGone, nil)
		}
		return response(http.StatusOK, Snapshot{Revision: s.revision})
	case r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/"+zoneA.Kind):
		return response(http.StatusOK, Snapshot{Revision: s.revision, Objects: []config.Object{s.object}})
	case r.Method == http.MethodGet:
		return response(http.StatusOK, s.object)
	}
	want, _ := json.Marshal(s.object.Revision)
	if strings.Trim(r.Header.Get(headerIfMatch), `"`) != string(want) {
		return response(http.StatusPreconditionFailed, s.object)
	}
	value, _ := io.ReadAll(r.Body)
	s.set(string(value))
	return response(http.StatusOK, s.object)
}

func eraClient(s http.RoundTripper) *Client {
	return New("http://store", Options{HTTP: &http.Client{Transport: s}, Attempts: 1, CallsPerSec: 1e6, Burst: 1e6})
}

func TestRevisionsContainTheEra(t *testing.T) {
	is := is.New(t)
	s := &eraStore{}
	s.set("v")
	c := eraClient(s)
	ctx := context.Background()
	o, err := c.Get(ctx, zoneA)
	is.NoErr(err)
	is.Equal(o.Revision, uint64(1)) // a store without eras
	s.era = 7
	o, err = c.Get(ctx, zoneA)
	is.NoErr(err)
	is.Equal(o.Revision, config.JoinRevision(7, 1))
	list, err := c.List(ctx, zoneA.Kind)
	is.NoErr(err)
	is.Equal(list.Revision, config.JoinRevision(7, 1))
	is.Equal(list.Objects[0].Revision, config.JoinRevision(7, 1))
	is.Equal(c.era.Load(), uint64(7))
}

// A response without an era, or with one that can't be read, belongs to the last known
// era.
func TestUnreadableEra(t *testing.T) {
	for _, text := range []string{"", "x", "-1", "1.5", fmt.Sprint(config.MaxEra + 1)} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			c := eraClient(&eraStore{})
			c.era.Store(5)
			era, err := c.responseEra(http.Header{headerEra: {text}})
			is.NoErr(err)
			is.Equal(era, uint64(5))
		})
	}
}

// A watch from before the restore starts anew with a list, also when the store has given
// out its revision again.
func TestWatchAcrossRestore(t *testing.T) {
	for name, writes := range map[string]int{"revision unknown to the store": 0, "revision given out again": 1, "later revision": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &eraStore{era: 1}
			s.set("a")
			before := s.copied()
			s.set("b")
			c := eraClient(s)
			list, err := c.List(context.Background(), zoneA.Kind)
			is.NoErr(err)
			s.restore(before)
			for range writes {
				s.set("c")
			}
			_, err = c.Watch(context.Background(), list.Revision, time.Second, zoneA.Kind)
			is.True(errors.Is(err, ErrCompacted))
		})
	}
}

// A write that expects a revision from before the restore does not replace what the
// store has at that revision now.
func TestWriteAcrossRestore(t *testing.T) {
	is := is.New(t)
	s := &eraStore{era: 1}
	s.set("a")
	before := s.copied()
	s.set("b")
	c := eraClient(s)
	read, err := c.Get(context.Background(), zoneA)
	is.NoErr(err)
	s.restore(before)
	s.set("another's") // at the same revision
	_, err = c.Get(context.Background(), zoneA)
	is.NoErr(err)
	_, err = c.Update(context.Background(), zoneA, read.Revision, []byte("mine"))
	is.True(errors.Is(err, ErrRestored))
	is.Equal(string(s.object.Value), "another's")
}

// The condition of a write can hold by chance in a store that was restored on the way.
// The writer then learns that the outcome is uncertain, and never that it replaced the
// revision that it had read.
func TestWriteDuringRestore(t *testing.T) {
	is := is.New(t)
	s := &eraStore{era: 1}
	s.set("a")
	before := s.copied()
	s.set("b")
	c := eraClient(s)
	read, err := c.Get(context.Background(), zoneA)
	is.NoErr(err)
	s.restore(before)
	s.set("another's")
	_, err = c.Update(context.Background(), zoneA, read.Revision, []byte("mine"))
	is.True(errors.Is(err, ErrUncertain))
	is.True(errors.Is(err, ErrRestored))
}

// A list whose parts are from both sides of a restore is not used.
func TestListAcrossRestore(t *testing.T) {
	is := is.New(t)
	s := &eraStore{era: 1}
	s.set("a")
	c := eraClient(roundTripFunc(func(r *http.Request) (*http.Response, error) {
		res, err := s.RoundTrip(r)
		s.era++
		return res, err
	}))
	_, err := c.List(context.Background(), zoneA.Kind, zoneA.Kind)
	is.True(errors.Is(err, ErrUnavailable))
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// lateTransport delivers a response that an earlier call did not receive.
type lateTransport struct {
	*eraStore
	deliverHeld bool
}

func (l *lateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.deliverHeld && len(l.held) > 0 {
		l.deliverHeld = false
		return l.held[0], nil
	}
	return l.eraStore.RoundTrip(r)
}

// The events of TestEraRule. Each happens once, in every order.
const (
	writeOfA    = "A writes"
	writeOfB    = "B writes"
	restore     = "restore"
	lateAnswer  = "late answer to A"
	otherChange = "operator's change"
)

// TestEraRule plays all orders of two writers that read the same revision, a restore, an
// operator's change and a late answer of the earlier era. A writer that is told that it
// succeeded has replaced what it had read: nobody's value that neither of them read is
// gone, and no two writers succeed on one revision. A late answer is never believed
// after a newer one.
func TestEraRule(t *testing.T) {
	events := []string{writeOfA, writeOfB, restore, lateAnswer, otherChange}
	for _, order := range permutations(events) {
		t.Run(strings.Join(order, ", "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEraRule(t, order) })
		})
	}
}

func playEraRule(t *testing.T, order []string) {
	is := is.New(t)
	ctx := context.Background()
	s := &eraStore{era: 1}
	s.set("old")
	older := s.copied()
	s.set("read by both")
	late := &lateTransport{eraStore: s}
	clients := map[string]*Client{writeOfA: eraClient(late), writeOfB: eraClient(s)}
	read := map[string]config.Object{}
	for name, c := range clients {
		o, err := c.Get(ctx, zoneA)
		is.NoErr(err)
		read[name] = o
	}
	s.hold = true // the response to this call arrives late
	_, err := clients[writeOfA].Get(ctx, zoneA)
	is.True(err != nil)
	var succeeded []string
	for _, event := range order {
		switch event {
		case restore:
			s.restore(older)
		case otherChange:
			s.set("operator's")
		case lateAnswer:
			late.deliverHeld = true
			o, err := clients[writeOfA].Get(ctx, zoneA)
			is.True(err != nil || config.EraOf(o.Revision) == clients[writeOfA].era.Load()) // of the last known era
		default:
			replaced := s.object
			_, err := clients[event].Update(ctx, zoneA, read[event].Revision, []byte(event))
			if err == nil {
				succeeded = append(succeeded, event)
				is.Equal(replaced.Value, read[event].Value) // replaced what it had read
			}
		}
	}
	is.True(len(succeeded) <= 1)
}

// permutations returns all orders of the items.
func permutations(items []string) [][]string {
	if len(items) <= 1 {
		return [][]string{items}
	}
	var out [][]string
	for i, first := range items {
		rest := slices.Delete(slices.Clone(items), i, i+1)
		for _, p := range permutations(rest) {
			out = append(out, append([]string{first}, p...))
		}
	}
	return out
}
