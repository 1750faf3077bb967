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

// RPCStream frames jsonrpc2 messages on a connection, each with its length
// before it.
func RPCStream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
}

// Call makes one jsonrpc2 request to the control address over mutual TLS on a
// connection of its own and decodes the answer into result. ctx bounds all of
// it.
func Call(ctx context.Context, to netip.AddrPort, m *MutualTLS, method string, params, result any) error {
	dialer := &tls.Dialer{Config: m.Client(ALPNControl)}
	c, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	conn := jsonrpc2.NewConn(ctx, RPCStream(c), noRequests{})
	defer func() { _ = conn.Close() }()
	if err := conn.Call(ctx, method, params, result); err != nil {
		return errors.Wrap(err, method)
	}
	return nil
}

// noRequests ignores requests from the server's side.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
