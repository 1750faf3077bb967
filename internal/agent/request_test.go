package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"

	"crocusnotch/internal/request"
)

// recorder is an upstream that counts the runs of each idempotency key.
type recorder struct {
	mu        sync.Mutex
	runs      map[string]int
	hold      chan struct{} // if not nil, responses wait until it is closed
	shed      bool
	cancelled chan struct{} // receives a value for each cancelled request
}

func newRecorder() *recorder {
	return &recorder{runs: map[string]int{}, cancelled: make(chan struct{}, 16)}
}

func (u *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.shed {
		w.Header().Set(headerNotRun, "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get(request.HeaderIdempotencyKey)
	u.mu.Lock()
	u.runs[key]++
	u.mu.Unlock()
	if u.hold != nil {
		select {
		case <-u.hold:
		case <-r.Context().Done():
			u.cancelled <- struct{}{}
			return
		}
	}
	_, _ = io.WriteString(w, "ran "+string(body))
}

func (u *recorder) count(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

func TestDuplicateKeyRunsOnce(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		u.hold = make(chan struct{})
		c := b.mustDial()
		first := make(chan string)
		go func() {
			_, text, _, _ := c.fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
			first <- text
		}()
		time.Sleep(100 * time.Millisecond)
		status, _, h, err := c.fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
		b.is.NoErr(err)
		b.is.Equal(status, http.StatusConflict)
		b.is.Equal(h.Get(request.HeaderReason), string(request.ReasonDuplicate))
		close(u.hold)
		b.is.Equal(<-first, "ran bell")
		status, text, h, err := c.fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
		b.is.NoErr(err)
		b.is.Equal(status, 200)
		b.is.Equal(text, "ran bell") // the recorded response
		b.is.Equal(h.Get(request.HeaderOutcome), "ran")
		b.is.Equal(u.count("k"), 1)
	}, u)
}

func TestRefusals(t *testing.T) {
	u := newRecorder()
	cases := []struct {
		name, method, path, key string
		shed                    bool
		status                  int
		reason                  request.Reason
	}{
		{"no key", "POST", "/ring", "", false, 400, request.ReasonKeyMissing},
		{"shed", "GET", "/", "", true, 503, request.ReasonShed},
		{"shed with key", "POST", "/ring", "s", true, 503, request.ReasonShed},
	}
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		for _, tt := range cases {
			u.shed = tt.shed
			status, _, h, err := c.fetch(tt.method, tt.path, strings.NewReader("x"), "Idempotency-Key", tt.key)
			b.is.NoErr(err)                                                      // tt.name
			b.is.Equal(status, tt.status)                                        // tt.name
			b.is.Equal(h.Get(request.HeaderOutcome), "not-run")                  // tt.name
			b.is.Equal(h.Get(request.HeaderReason), string(tt.reason))           // tt.name
			b.is.Equal(u.count(tt.key), 0)                                       // tt.name
			b.is.True(tt.status == 400 || h.Get(request.HeaderRetryAfter) != "") // tt.name
		}
	}, u)
}

func TestCancellationReachesTheUpstream(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		u.hold = make(chan struct{})
		u.cancelled = make(chan struct{}, 16)
		c := b.mustDial()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := c.do(ctx, "GET", "/", nil)
		b.is.True(err != nil)
		<-u.cancelled
		time.Sleep(10 * time.Millisecond)
		b.is.Equal(b.agents[0].driver.status().counts.Requests, 0)
		b.is.Equal(b.agents[0].driver.status().load.Busy, 0)
		b.is.Equal(len(b.agents[0].driver.exchanges), 0)
	}, u)
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		u.hold = make(chan struct{})
		u.cancelled = make(chan struct{}, 16)
		c := b.mustDial()
		started := time.Now()
		status, _, h, err := c.fetch("POST", "/ring", strings.NewReader("x"),
			"Idempotency-Key", "k", request.HeaderDeadline, "300")
		b.is.NoErr(err)
		b.is.Equal(status, http.StatusGatewayTimeout)
		b.is.Equal(h.Get(request.HeaderOutcome), "unknown")
		b.is.True(time.Since(started) < 310*time.Millisecond) // virtual time
		<-u.cancelled
	}, u)
}

func TestRequestsToUnreachableUpstreamAreRelayed(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		// The upstream of the flow's agent crashes; its lease is still valid.
		owner, _ := b.ownerAndPeer()
		_ = owner.upstream.Close()
		status, text, _, err := c.fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
		b.is.NoErr(err)
		b.is.Equal(status, 200)
		b.is.Equal(text, "ran bell") // by the peer agent
		b.is.Equal(u.count("k"), 1)
	}, u, u)
}

// TestRelayPeerCrashDuringRun kills the peer agent while its upstream runs a
// relayed request: the outcome must be reported as unknown, and the request must
// not run again.
func TestRelayPeerCrashDuringRun(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		u.hold = make(chan struct{})
		u.cancelled = make(chan struct{}, 16)
		c := b.mustDial()
		_, peer := b.ownerAndPeer()
		b.expireLease()
		answer := make(chan http.Header, 1)
		go func() {
			_, _, h, _ := c.fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
			answer <- h
		}()
		time.Sleep(100 * time.Millisecond)
		b.is.Equal(u.count("k"), 1)
		peer.kill()
		h := <-answer
		b.is.Equal(h.Get(request.HeaderOutcome), "unknown")
		b.is.Equal(u.count("k"), 1)
	}, u, u)
}

// ownerAndPeer returns the agent that has the only flow, and the other agent.
func (b *testBench) ownerAndPeer() (owner, peer *testAgent) {
	time.Sleep(10 * time.Millisecond)
	owner, peer = b.agents[0], b.agents[1]
	if owner.established() == 0 {
		owner, peer = peer, owner
	}
	b.is.Equal(owner.established(), 1)
	return owner, peer
}

// established returns the number of flows whose handshake is complete.
func (a *testAgent) established() int {
	a.flows.mu.Lock()
	defer a.flows.mu.Unlock()
	n := 0
	for f := range a.flows.flows {
		if f.conn != nil {
			n++
		}
	}
	return n
}

// expireLease lets the lease of the owner's upstream expire, so that requests on
// the owner's flows are relayed.
func (b *testBench) expireLease() {
	owner, _ := b.ownerAndPeer()
	owner.stopAnnouncing()
	time.Sleep(2 * announceLease)
}

func TestRequestsDuringDrainAreCompleteOrRejected(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		owner, _ := b.ownerAndPeer()
		time.AfterFunc(10*time.Millisecond+500*time.Microsecond, owner.Stop)
		complete, rejected := 0, 0
		for range 40 {
			status, text, _, err := c.fetch("GET", "/", nil)
			var refused *http3.Error
			switch {
			case err == nil:
				b.is.Equal(status, 200)
				b.is.Equal(text, "ran ")
				complete++
			case errors.As(err, &refused):
				b.is.Equal(refused.ErrorCode, http3.ErrCodeRequestRejected)
				rejected++
			default: // the client has received GOAWAY and sends nothing
			}
		}
		b.is.True(complete > 0)
		b.is.True(rejected <= 1)
		b.is.Equal(u.count(""), complete)
	}, u, u)
}
