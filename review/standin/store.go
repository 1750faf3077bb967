package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the time that the platform's store takes for an answer.
const answerTime = 4 * time.Millisecond

type meta struct {
	Name           string   `json:"Name"`
	Revision       uint64   `json:"Revision"`
	CreateRevision uint64   `json:"CreateRevision"`
	Finalizers     []string `json:"Finalizers"`
	Deleting       bool     `json:"Deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Deleted bool   `json:"Deleted"`
	Object  object `json:"Object"`
	kind    string
	at      uint64
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

func (s *store) serve(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.list)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /objects/{kind}", s.post)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) save(kind string, o object, deleted bool) object {
	s.revision++
	o.Meta.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if deleted {
		delete(s.kinds[kind], o.Meta.Name)
	} else {
		if o.Meta.CreateRevision == 0 {
			o.Meta.CreateRevision = s.revision
		}
		s.kinds[kind][o.Meta.Name] = o
	}
	s.events = append(s.events, event{Deleted: deleted, Object: o, kind: kind, at: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// operatorPut writes an object as the operator does.
func (s *store) operatorPut(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Meta.Name, o.Spec = name, b
	s.save(kind, o, false)
}

func (s *store) operatorDelete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.save(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	time.Sleep(answerTime)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind, q := r.PathValue("kind"), r.URL.Query()
	if q.Has("Watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	names := []string{}
	for name := range s.kinds[kind] {
		if name > q.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	out := map[string]any{"items": items, "HasMore": false, "CurrentRev": s.revision}
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if from > s.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > from {
				events = append(events, e)
			}
		}
		out, changed := map[string]any{"events": events, "CurrentRev": s.revision}, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) post(w http.ResponseWriter, r *http.Request) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Meta.Name == "" {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	o, exists := s.kinds[r.PathValue("kind")][in.Meta.Name]
	if !exists {
		in.Meta = meta{Name: in.Meta.Name}
		o = s.save(r.PathValue("kind"), in, false)
	}
	s.mu.Unlock()
	if exists {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusCreated, o)
}

func (s *store) put(w http.ResponseWriter, r *http.Request) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	o, exists := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	status := http.StatusOK
	switch {
	case !exists:
		status = http.StatusNotFound
	case in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		status = http.StatusConflict
	case string(in.Spec) != string(o.Spec):
		o.Spec = in.Spec
		o = s.save(r.PathValue("kind"), o, false)
	}
	s.mu.Unlock()
	reply(w, status, o)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, exists := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	status := http.StatusOK
	want := r.URL.Query().Get("Revision")
	switch {
	case !exists:
		status = http.StatusNotFound
	case want != "" && strings.TrimSpace(want) != strconv.FormatUint(o.Meta.Revision, 10):
		status = http.StatusConflict
	default:
		o = s.save(r.PathValue("kind"), o, true)
	}
	s.mu.Unlock()
	reply(w, status, o)
}
