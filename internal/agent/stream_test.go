package agent

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"crocusnotch/internal/request"
)

// TestOwnerIsSentBeforeTheRunEnds reads the informational response while the
// upstream still runs the request.
func TestOwnerIsSentBeforeTheRunEnds(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		u.hold = make(chan struct{})
		c := b.mustDial()
		owners := make(chan string, 1)
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
				owners <- h.Get(request.HeaderOwner)
				return nil
			},
		})
		done := make(chan error, 1)
		go func() {
			resp, err := c.do(ctx, "POST", "/ring", strings.NewReader("x"), "Idempotency-Key", "k")
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			done <- err
		}()
		b.is.Equal(<-owners, request.AgentRef{Addr: addr(1, 2), Incarnation: 1}.String())
		b.is.Equal(len(done), 0) // the request is still running
		close(u.hold)
		b.is.NoErr(<-done)
	}, u)
}

// TestRetryThroughAnotherAgentReturnsTheResponse sends a retry over a flow of the
// other agent, with and without the owner's reference.
func TestRetryThroughAnotherAgentReturnsTheResponse(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		b.setCandidates(b.agents[0])
		_, text, h, err := b.mustDial().fetch("POST", "/ring", strings.NewReader("bell"), "Idempotency-Key", "k")
		b.is.NoErr(err)
		b.is.Equal(text, "ran bell")
		b.setCandidates(b.agents[1])
		c := b.mustDial()
		cases := []struct{ owner, text, outcome string }{
			{"", "", "unknown"},
			{h.Get(request.HeaderOwner), "ran bell", "ran"},
		}
		for _, tt := range cases {
			_, text, got, err := c.fetch("POST", "/ring", strings.NewReader("bell"),
				"Idempotency-Key", "k", request.HeaderAttempt, "2", request.HeaderOwner, tt.owner)
			b.is.NoErr(err)
			b.is.Equal(text, tt.text)
			b.is.Equal(got.Get(request.HeaderOutcome), tt.outcome)
			b.is.Equal(u.count("k"), 1)
		}
		b.agents[0].kill() // the owner does not return
		_, _, got, err := b.mustDial().fetch("POST", "/ring", strings.NewReader("bell"),
			"Idempotency-Key", "lost", request.HeaderAttempt, "2", request.HeaderOwner, h.Get(request.HeaderOwner))
		b.is.NoErr(err)
		b.is.Equal(got.Get(request.HeaderOutcome), "unknown")
		b.is.Equal(got.Get(request.HeaderReason), string(request.ReasonOwnerUnreachable))
		b.is.Equal(u.count("lost"), 0)
	}, u, u)
}

// TestLongStreamIsFullDuplex sends lines and reads each echo before the next line,
// with and without a relay.
func TestLongStreamIsFullDuplex(t *testing.T) {
	upstream := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		_ = rc.Flush()
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			_, _ = io.WriteString(w, "echo "+lines.Text()+"\n")
			_ = rc.Flush()
		}
	})
	inBubble(t, func(b *testBench) {
		c := b.mustDial()
		b.exchangeLines(c)
		b.expireLease()
		b.exchangeLines(c) // relayed to the peer
	}, upstream, upstream)
}

func (b *testBench) exchangeLines(c *caller) {
	r, w := io.Pipe()
	resp, err := c.do(context.Background(), "POST", "/watch", r)
	b.is.NoErr(err)
	answers := bufio.NewReader(resp.Body)
	for _, line := range []string{"fog", "berth", "depart"} {
		_, err := io.WriteString(w, line+"\n")
		b.is.NoErr(err)
		got, err := answers.ReadString('\n')
		b.is.NoErr(err)
		b.is.Equal(got, "echo "+line+"\n")
		time.Sleep(time.Minute)
	}
	b.is.NoErr(w.Close())
	_, err = answers.ReadByte()
	b.is.Equal(err, io.EOF)
}

// TestTruncatedRequestBodyIsReset calls the handler directly, because an HTTP/3
// client does not read the response when its request body fails.
func TestTruncatedRequestBodyIsReset(t *testing.T) {
	u := newRecorder()
	inBubble(t, func(b *testBench) {
		for _, path := range []string{"/", "/ring"} {
			body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF))
			r := httptest.NewRequest("POST", path, body)
			r.Header.Set(request.HeaderIdempotencyKey, "k")
			func() {
				defer func() { b.is.Equal(recover(), http.ErrAbortHandler) }()
				b.agents[0].handler.callerHandler().ServeHTTP(httptest.NewRecorder(), r)
			}()
		}
		b.is.Equal(u.count("k"), 0)
	}, u)
}
