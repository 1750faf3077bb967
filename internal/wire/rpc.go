package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ALPNControl is the TLS protocol name of the jsonrpc2 service.
const ALPNControl = "crocus-control/1"

// DiscardLog makes a connection drop the unstructured log lines of the jsonrpc2 library:
// errors of peers are not state changes of this process, and Call returns them.
var DiscardLog = jsonrpc2.SetLogger(discardLogger{})

type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// RPCStream frames jsonrpc2 messages on a connection with a length prefix.
func RPCStream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
}

// Call sends one jsonrpc2 request to the control address on a new connection and
// decodes the response into result. The connection uses mutual TLS, or plain TCP
// when m is nil. ctx limits the whole call, including the dial.
func Call(ctx context.Context, to netip.AddrPort, m *MutualTLS, method string, params, result any) error {
	c, err := dial(ctx, to, m)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	conn := jsonrpc2.NewConn(ctx, RPCStream(c), noRequests{}, DiscardLog)
	defer func() { _ = conn.Close() }()
	if err := conn.Call(ctx, method, params, result); err != nil {
		return errors.Wrap(err, method)
	}
	return nil
}

func dial(ctx context.Context, to netip.AddrPort, m *MutualTLS) (net.Conn, error) {
	if m == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}
	return (&tls.Dialer{Config: m.Client(ALPNControl)}).DialContext(ctx, "tcp", to.String())
}

// noRequests ignores requests that the server sends.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
