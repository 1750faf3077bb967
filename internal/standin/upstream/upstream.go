// Package upstream is a stand-in for the customers' upstreams: an HTTP/1.1
// server with slots, a speed, cold starts that collapse under load, shedding,
// draining, and health and load pages that lag or lie.
package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/request"
	"crocusnotch/internal/standin/payload"
)

// headerNotRun tells the agent that the upstream refused before running.
const headerNotRun = "Crocus-Not-Run"

const (
	streamInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
	sampleInterval    = 100 * time.Millisecond
)

// Options describe one upstream.
type Options struct {
	Name           string
	Service        string
	Address        netip.AddrPort // port 0 takes a free one
	Slots          int
	Connections    int
	Speed          float64       // factor on the work done in a second
	Work           time.Duration // mean of a request at speed 1
	Cold           ColdStart
	StartCold      bool
	LoadLag        time.Duration // age of what /load and /health tell
	ReportZeroLoad bool          // /load tells no load and /health tells health
	Seed           uint64
	Runs           *Runs
}

// Upstream is one running stand-in.
type Upstream struct {
	o        Options
	listener net.Listener
	server   *http.Server
	capacity *capacity
	changed  chan struct{} // signals a change to announce

	mu   sync.Mutex
	rnd  *rand.Rand
	past []int // busy slots, one for each sampleInterval of LoadLag
}

// New opens the upstream's socket.
func New(o Options) (*Upstream, error) {
	l, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	if o.Runs == nil {
		o.Runs = NewRuns()
	}
	u := &Upstream{
		o: o, listener: l,
		capacity: &capacity{slots: o.Slots, cold: o.Cold},
		changed:  make(chan struct{}, 1),
		rnd:      rand.New(rand.NewPCG(o.Seed, 0)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.handleHealth)
	mux.HandleFunc("GET /load", u.handleLoad)
	mux.HandleFunc("/", u.handle)
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	if o.StartCold {
		u.capacity.turnCold(time.Now(), false)
	}
	return u, nil
}

// Address returns where the upstream listens.
func (u *Upstream) Address() netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Options returns what the upstream was made with.
func (u *Upstream) Options() Options { return u.o }

// Run serves until ctx ends; then running requests are cut.
func (u *Upstream) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = u.server.Close() })
	defer stop()
	go u.sample(ctx)
	err := u.server.Serve(u.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "upstream")
}

// BeginColdStart starts a cold start; without a warning it is not announced.
func (u *Upstream) BeginColdStart(warn bool) {
	u.capacity.turnCold(time.Now(), !warn)
	u.notify()
}

// Leave makes the upstream announce that it leaves.
func (u *Upstream) Leave() {
	u.capacity.leave()
	u.notify()
}

// Counts returns the requests since the start.
func (u *Upstream) Counts() Counts {
	c, _, _ := u.capacity.snapshot(time.Now())
	return c
}

// Busy returns the busy slots now and their integral over time.
func (u *Upstream) Busy() (int, time.Duration) {
	_, busy, integral := u.capacity.snapshot(time.Now())
	return busy, integral
}

func (u *Upstream) notify() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

func (u *Upstream) handle(w http.ResponseWriter, r *http.Request) {
	q, err := payload.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(payload.HeaderRequest, q.ID)
	w.Header().Set(payload.HeaderUpstream, u.o.Name)
	w.Header().Set(payload.HeaderService, u.o.Service)
	if q.Stream {
		u.stream(w, r, q)
		return
	}
	u.work(w, r, q)
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request, q payload.Request) {
	factor, ok := u.capacity.admit(time.Now())
	if !ok {
		w.Header().Set(headerNotRun, "shed")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { u.capacity.release(time.Now()) }()
	key := r.Header.Get(request.HeaderIdempotencyKey)
	u.o.Runs.Start(q.ID, q.Attempt, key == "")
	ctx, cancel := withDeadline(r)
	defer cancel()
	select {
	case <-time.After(u.duration(q.Work * factor)):
		writeAnswer(w, q)
	case <-ctx.Done():
		u.abandon(w, r)
	}
}

func (u *Upstream) abandon(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		u.capacity.note(func(c *Counts) { c.Cancelled++ })
		return
	}
	u.capacity.note(func(c *Counts) { c.Expired++ })
	http.Error(w, "deadline", http.StatusGatewayTimeout)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(request.HeaderDeadline))
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

// duration draws the time of one request.
func (u *Upstream) duration(factor float64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.rnd.ExpFloat64() * factor * float64(u.o.Work) / u.o.Speed)
}

func writeAnswer(w http.ResponseWriter, q payload.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(q.Size))
	body := payload.NewReader(q.ID)
	buf := make([]byte, min(q.Size, 16<<10))
	for left := q.Size; left > 0; {
		n := min(left, len(buf))
		_, _ = body.Read(buf[:n])
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		left -= n
	}
}

// stream writes chunks until the caller goes. Long streams take no slot.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, q payload.Request) {
	u.capacity.note(func(c *Counts) { c.Streams++ })
	body := payload.NewReader(q.ID)
	chunk := make([]byte, payload.ChunkSize)
	flush := http.NewResponseController(w)
	ticker := time.NewTicker(streamInterval)
	defer ticker.Stop()
	for {
		_, _ = body.Read(chunk)
		if _, err := w.Write(chunk); err != nil {
			return
		}
		if err := flush.Flush(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// InColdStart reports whether the upstream bears less than all its slots now,
// announced or not.
func (u *Upstream) InColdStart() bool {
	u.capacity.mu.Lock()
	defer u.capacity.mu.Unlock()
	return u.capacity.isCold(time.Now())
}
