package wire

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A peer that resets the connection of a call, as one that is starting does, leads to an
// error and to no line outside of the structured log.
func TestCallLogsNothing(t *testing.T) {
	is := is.New(t)
	captured, err := os.Create(filepath.Join(t.TempDir(), "stderr"))
	is.NoErr(err)
	before := os.Stderr
	os.Stderr = captured // where the library writes by default
	defer func() { os.Stderr = before }()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var result struct{}
	err = Call(ctx, netip.MustParseAddrPort(l.Addr().String()), nil, MethodSnapshot, struct{}{}, &result)
	is.True(err != nil)
	time.Sleep(50 * time.Millisecond) // the library may log after the call has returned
	written, err := os.ReadFile(captured.Name())
	is.NoErr(err)
	is.Equal(string(written), "")
}
