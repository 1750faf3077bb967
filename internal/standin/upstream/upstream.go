// Package upstream simulates the customers' upstreams: an HTTP/1.1 server with
// a limited number of slots, a speed, cold starts in which overload slows it
// down, load shedding, draining, and health and load endpoints whose reports can
// be delayed or wrong.
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

// headerNotRun marks a response to a request that the upstream rejected without
// running it.
const headerNotRun = "Crocus-Not-Run"

const (
	streamInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
	sampleInterval    = 100 * time.Millisecond
)

// Options configure one upstream.
type Options struct {
	Name           string
	Service        string
	Address        netip.AddrPort // port 0 selects a free port
	Slots          int
	Connections    int
	Speed          float64       // factor on the work done per second
	Work           time.Duration // mean duration of a request at speed 1
	Cold           ColdStart
	StartCold      bool
	LoadLag        time.Duration // delay of the load reported by /load and /health
	ReportZeroLoad bool          // /load reports no load and /health reports healthy at any load
	Seed           uint64
	Runs           *Runs
}

// Upstream is one simulated upstream.
type Upstream struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	capacity *capacity
	changed  chan struct{} // signals a state change to Announce

	mu         sync.Mutex
	rnd        *rand.Rand
	recentBusy []int // busy slots, one for each sampleInterval of LoadLag
}

// New returns an upstream that listens on o.Address.
func New(o Options) (*Upstream, error) {
	l, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "upstream")
	}
	if o.Runs == nil {
		o.Runs = NewRuns()
	}
	u := &Upstream{
		opts: o, listener: l,
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
		u.capacity.beginColdStart(time.Now(), false)
	}
	return u, nil
}

// Address returns where the upstream listens.
func (u *Upstream) Address() netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Options returns the upstream's options.
func (u *Upstream) Options() Options { return u.opts }

// Run serves until ctx ends, then closes all connections.
func (u *Upstream) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = u.server.Close() })
	defer stop()
	go u.sampleBusy(ctx)
	err := u.server.Serve(u.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "upstream")
}

// BeginColdStart starts a cold start; announce selects whether the agent is
// notified of it.
func (u *Upstream) BeginColdStart(announce bool) {
	u.capacity.beginColdStart(time.Now(), !announce)
	u.signalChange()
}

// Leave makes the upstream announce that it is leaving.
func (u *Upstream) Leave() {
	u.capacity.leave()
	u.signalChange()
}

// Counts returns the number of requests since the start.
func (u *Upstream) Counts() Counts {
	c, _, _ := u.capacity.snapshot(time.Now())
	return c
}

// Busy returns the number of busy slots and its integral over time.
func (u *Upstream) Busy() (int, time.Duration) {
	_, busy, integral := u.capacity.snapshot(time.Now())
	return busy, integral
}

// signalChange triggers an announcement; it doesn't block.
func (u *Upstream) signalChange() {
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
	w.Header().Set(payload.HeaderUpstream, u.opts.Name)
	w.Header().Set(payload.HeaderService, u.opts.Service)
	if q.Stream {
		u.writeStream(w, r, q)
		return
	}
	u.runRequest(w, r, q)
}

func (u *Upstream) runRequest(w http.ResponseWriter, r *http.Request, q payload.Request) {
	factor, ok := u.capacity.admit(time.Now())
	if !ok {
		w.Header().Set(headerNotRun, "shed")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { u.capacity.release(time.Now()) }()
	key := r.Header.Get(request.HeaderIdempotencyKey)
	u.opts.Runs.Start(q.ID, q.Attempt, key == "")
	ctx, cancel := withDeadline(r)
	defer cancel()
	select {
	case <-time.After(u.drawDuration(q.Work * factor)):
		writeResponse(w, q)
	case <-ctx.Done():
		u.endUnfinished(w, r)
	}
}

// endUnfinished counts a request that was cancelled by the client or exceeded
// its deadline.
func (u *Upstream) endUnfinished(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		u.capacity.updateCounts(func(c *Counts) { c.Cancelled++ })
		return
	}
	u.capacity.updateCounts(func(c *Counts) { c.Expired++ })
	http.Error(w, "deadline", http.StatusGatewayTimeout)
}

// withDeadline returns the request's context, limited by its deadline header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(request.HeaderDeadline))
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

// drawDuration returns an exponentially distributed duration of a request.
func (u *Upstream) drawDuration(factor float64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.rnd.ExpFloat64() * factor * float64(u.opts.Work) / u.opts.Speed)
}

func writeResponse(w http.ResponseWriter, q payload.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(q.Size))
	body := payload.NewReader(q.ID)
	buf := make([]byte, min(q.Size, 16<<10))
	for remaining := q.Size; remaining > 0; {
		n := min(remaining, len(buf))
		_, _ = body.Read(buf[:n])
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

// writeStream writes chunks until the client disconnects. Long streams occupy no
// slot.
func (u *Upstream) writeStream(w http.ResponseWriter, r *http.Request, q payload.Request) {
	u.capacity.updateCounts(func(c *Counts) { c.Streams++ })
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

// InColdStart reports whether the upstream is in a cold start, announced or
// not.
func (u *Upstream) InColdStart() bool {
	u.capacity.mu.Lock()
	defer u.capacity.mu.Unlock()
	return u.capacity.inColdStart(time.Now())
}
