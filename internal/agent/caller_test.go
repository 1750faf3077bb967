package agent

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// caller is one flow with its HTTP/3 client.
type caller struct {
	addr      netip.AddrPort
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
}

// dial opens a flow. The caller's packets are sprayed over all entries.
func (b *testBench) dial() (*caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return b.dialContext(ctx)
}

func (b *testBench) dialContext(ctx context.Context) (*caller, error) {
	c := b.newCaller()
	return c, b.connect(ctx, c)
}

// newCaller opens a caller's socket.
func (b *testBench) newCaller() *caller {
	c := &caller{addr: addr(200, 1000+len(b.callers))}
	b.callers = append(b.callers, c)
	c.transport = &quic.Transport{Conn: callerConn{b.net.Socket(c.addr), b.net}, ConnectionIDLength: 8}
	return c
}

func (b *testBench) connect(ctx context.Context, c *caller) error {
	tlsConf := &tls.Config{RootCAs: testPool(), ServerName: "bells.example", NextProtos: []string{http3.NextProtoH3}}
	// Each process generates its own certificate.
	tlsConf.InsecureSkipVerify = b.net.bridge != nil
	var err error
	c.conn, err = c.transport.Dial(ctx, net.UDPAddrFromAddrPort(serviceAddr), tlsConf, &quic.Config{
		KeepAlivePeriod: 10 * time.Second, DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}
	c.http = (&http3.Transport{DisableCompression: true}).NewClientConn(c.conn)
	return nil
}

func (b *testBench) mustDial() *caller {
	b.t.Helper()
	c, err := b.dial()
	b.is.NoErr(err)
	return c
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "")
	}
	_ = c.transport.Close()
}

func (c *caller) do(ctx context.Context, method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "https://bells.example"+path, body)
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return c.http.RoundTrip(r)
}

// fetch sends a request and returns the status, body and headers of the response,
// or the error of sending the request or reading the body.
func (c *caller) fetch(method, path string, body io.Reader, headers ...string) (int, string, http.Header, error) {
	resp, err := c.do(context.Background(), method, path, body, headers...)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header, err
}
