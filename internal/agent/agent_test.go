package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"crocusnotch/internal/request"
)

// echo responds with the method, the path and the body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body))
})

func TestRequestsReachTheUpstream(t *testing.T) {
	inBubble(t, func(b *testBench) {
		for range 6 {
			c := b.mustDial()
			status, text, _, err := c.fetch("GET", "/x", nil)
			b.is.NoErr(err)
			b.is.Equal(status, 200)
			b.is.Equal(text, "GET /x ")
			status, text, h, err := c.fetch("POST", "/ring/1", strings.NewReader("fog"), "Idempotency-Key", c.addr.String())
			b.is.NoErr(err)
			b.is.Equal(status, 200)
			b.is.Equal(text, "POST /ring/1 fog")
			b.is.Equal(h.Get(request.HeaderOutcome), "") // the response is the upstream's
			c.close()
		}
	}, echo, echo)
}

func TestTruncatedResponsesAreReset(t *testing.T) {
	var runs atomic.Int32
	upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		if r.URL.Path != "/length" {
			panic(http.ErrAbortHandler)
		}
	})
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		for i, path := range []string{"/length", "/crash", "/watch", "/ring"} {
			_, _, _, err := c.fetch("POST", path, strings.NewReader("x"), "Idempotency-Key", path)
			b.is.True(err != nil) // never a truncated response as success
			b.is.Equal(int(runs.Load()), i+1)
		}
		status, _, h, err := c.fetch("POST", "/ring", strings.NewReader("x"), "Idempotency-Key", "/ring")
		b.is.NoErr(err)
		b.is.Equal(status, 502)
		b.is.Equal(h.Get(request.HeaderOutcome), "unknown")
		b.is.Equal(int(runs.Load()), 4) // the request did not run again
	}, upstream)
}

// TestKilledAgentResetsItsFlowsAfterRestart checks that the keep-alive packet of
// an idle flow is answered with a stateless reset after its agent was killed and
// restarted, also when the signing key was rotated in between.
func TestKilledAgentResetsItsFlowsAfterRestart(t *testing.T) {
	inBubble(t, func(b *testBench) {
		for _, signing := range []uint8{1, 2, 2, 1} {
			c := b.mustDial()
			_, _, _, err := c.fetch("GET", "/", nil)
			b.is.NoErr(err)
			b.cluster.setConfig(testConfig(signing, false))
			time.Sleep(100 * time.Millisecond)
			b.agents[0].kill()
			b.agents[0] = b.restart(b.agents[0])
			time.Sleep(11 * time.Second)
			var reset *quic.StatelessResetError
			b.is.True(errors.As(context.Cause(c.conn.Context()), &reset))
		}
		status, _, _, err := b.mustDial().fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo)
}

func TestZoneOutClosesFlowsAndRefuses(t *testing.T) {
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		b.cluster.setConfig(testConfig(1, true))
		time.Sleep(100 * time.Millisecond)
		var closed *quic.ApplicationError
		b.is.True(errors.As(context.Cause(c.conn.Context()), &closed))
		b.is.Equal(closed.ErrorCode, errCodeZoneOut)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := b.dialContext(ctx)
		b.is.True(err != nil)
		b.cluster.setConfig(testConfig(1, false))
		time.Sleep(100 * time.Millisecond)
		again := b.mustDial()
		status, _, _, err := again.fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(status, 200)
	}, echo)
}

func TestDrainKeepsLongStreams(t *testing.T) {
	finish := make(chan struct{})
	upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			_, _ = io.WriteString(w, "begin ")
			w.(http.Flusher).Flush()
			<-finish
		}
		_, _ = io.WriteString(w, "end")
	})
	inBubble(t, func(b *testBench) {
		finish = make(chan struct{})
		first := b.agents[0]
		b.setCandidates(first)
		c := b.mustDial()
		resp, err := c.do(context.Background(), "GET", "/watch", nil)
		b.is.NoErr(err)
		first.Stop()
		first.Stop()
		time.Sleep(10 * time.Minute) // no timeout ends the stream
		_, progress := b.requestAnnounce(first, http.MethodGet, nil)
		b.is.Equal(strings.TrimSpace(progress), `{"flows":1,"running":1,"drained":false}`)
		_, _, _, err = c.fetch("GET", "/", nil)
		b.is.True(err != nil) // after GOAWAY, the next request needs a new flow
		b.setCandidates(b.agents[1])
		next := b.mustDial() // while the first flow is still open
		_, text, _, err := next.fetch("GET", "/", nil)
		b.is.NoErr(err)
		b.is.Equal(text, "end")
		close(finish)
		body, err := io.ReadAll(resp.Body)
		b.is.NoErr(err)
		b.is.Equal(string(body), "begin end")
		select {
		case <-first.done:
			b.t.Fatal("the agent stopped before its last flow ended")
		default:
		}
		c.close()
		<-first.done
		b.is.NoErr(first.err)
		synctest.Wait()
	}, upstream, upstream)
}

func TestReplayBody(t *testing.T) {
	is := is.New(t)
	b := newReplayBody(strings.NewReader("departure"))
	first := b.reader()
	part := make([]byte, 4)
	_, err := io.ReadFull(first, part)
	is.NoErr(err)
	is.NoErr(first.Close())
	body, err := io.ReadAll(b.reader())
	is.NoErr(err)
	is.Equal(string(body), "departure")
	long := newReplayBody(strings.NewReader(strings.Repeat("x", maxReplayBody+1)))
	_, err = io.ReadAll(long.reader())
	is.NoErr(err)
	is.True(!long.replayable())
	_, err = io.ReadAll(long.reader())
	is.True(errors.Is(err, errBodyDiscarded))
}

// repeatingUpstream answers each request on a connection that it takes over. When
// another request comes on the same connection, it first sends the last answer once
// more, as a server does whose write was repeated by mistake.
var repeatingUpstream = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	var last string
	for err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, last)
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(conn, last)
		r, err = http.ReadRequest(buffered.Reader)
	}
})

// A second copy of an answer that arrives late must not reach the next caller.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		for i := range 5 {
			path := fmt.Sprintf("/x/%d", i)
			status, text, _, err := c.fetch("GET", path, nil)
			b.is.NoErr(err)
			b.is.Equal(status, 200)
			b.is.Equal(text, path)
			time.Sleep(10 * time.Millisecond)
		}
	}, repeatingUpstream)
}

// A response whose end is only the end of its connection may have been cut: it never
// reaches the caller as a success.
func TestResponseWithoutAnEndIsNoSuccess(t *testing.T) {
	upstream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of")
		_ = conn.Close()
	})
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		for i, method := range []string{"GET", "POST"} {
			status, _, h, err := c.fetch(method, "/x", nil, "Idempotency-Key", strconv.Itoa(i))
			b.is.NoErr(err)
			b.is.True(status != 200)
			b.is.Equal(h.Get(request.HeaderOutcome), "unknown")
		}
	}, upstream)
}
