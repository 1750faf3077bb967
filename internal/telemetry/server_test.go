package telemetry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestServe(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var healthy atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, l, NewRegistry(), func() (bool, string) { return healthy.Load(), "no configuration yet" })
	}()
	base := "http://" + l.Addr().String()
	status, body := get(is, base+"/healthz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(strings.TrimSpace(body), "no configuration yet")
	healthy.Store(true)
	status, _ = get(is, base+"/healthz")
	is.Equal(status, http.StatusOK)
	_, body = get(is, base+"/metrics")
	is.True(strings.Contains(body, "go_goroutines"))
	cancel()
	is.NoErr(<-done)
}

func get(is *is.I, url string) (int, string) {
	is.Helper()
	res, err := http.Get(url)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, string(body)
}

func TestLoggerAddsRoleAndProcess(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	log, flush := NewBoundedLogger(&out, "entry", "127.0.0.1:1")
	log.Info("zone out", "zone", "a")
	flush()
	is.True(strings.Contains(out.String(), `"role":"entry","process":"127.0.0.1:1","zone":"a"`))
}
