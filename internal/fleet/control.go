package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/config"
	"crocusnotch/internal/lifecycle"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

const (
	maxControlConns = 64
	controlIdle     = 10 * time.Second
	maxPageBytes    = 16 << 20
)

// serve answers jsonrpc2 requests on the control address.
func (n *Node) serve(ctx context.Context) error {
	l := n.listener
	if n.opts.TLS != nil {
		l = tls.NewListener(l, n.opts.TLS.Server(wire.ALPNControl))
	}
	slots := make(chan struct{}, maxControlConns)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			lifecycle.Sleep(ctx, joinPoll)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				n.serveConn(ctx, conn)
			}()
		default:
			n.metrics.dropped.WithLabelValues("control-connections").Inc()
			_ = conn.Close()
		}
	}
}

func (n *Node) serveConn(ctx context.Context, conn net.Conn) {
	counted := &countedConn{Conn: conn, n: n}
	_ = conn.SetDeadline(time.Now().Add(controlIdle))
	handler := jsonrpc2.HandlerWithError(n.handle).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, wire.RPCStream(counted), handler, jsonrpc2.SetLogger(silent{}))
	<-rpc.DisconnectNotify()
}

// silent drops the library's log lines: faults of peers are not changes of
// state.
type silent struct{}

// Printf implements jsonrpc2.Logger.
func (silent) Printf(string, ...any) {}

// countedConn counts the bytes of the control service.
type countedConn struct {
	net.Conn
	n *Node
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	size, err := c.Conn.Read(b)
	c.n.bytesIn.Add(uint64(size))
	return size, err
}

// Write implements io.Writer.
func (c *countedConn) Write(b []byte) (int, error) {
	size, err := c.Conn.Write(b)
	c.n.bytesOut.Add(uint64(size))
	return size, err
}

func (n *Node) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case wire.MethodStatus:
		return n.buildStatus(), nil
	case wire.MethodExplain:
		var p wire.ExplainParams
		if err := decodeParams(r, &p); err != nil {
			return nil, err
		}
		return wire.ExplainResult{Events: n.events.Find(p.Name)}, nil
	case wire.MethodSnapshot:
		var p wire.SnapshotParams
		if err := decodeParams(r, &p); err != nil {
			return nil, err
		}
		return n.snapshot(ctx, p)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

func decodeParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return nil
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// page is the content of wire.SnapshotResult.Page.
type page struct {
	Records []membership.Record `cbor:"1,keyasint"`
	Objects []config.Object     `cbor:"2,keyasint"`
}

// snapshot asks the loop for one page and encodes it outside of it.
func (n *Node) snapshot(ctx context.Context, p wire.SnapshotParams) (wire.SnapshotResult, error) {
	q := membership.SnapshotQuery{Page: p.Cursor, Agent: p.Agent, Service: p.Service, ServiceName: p.Follow}
	q.Address, _ = netip.ParseAddrPort(p.Address)
	for _, name := range p.Objects {
		q.Objects = append(q.Objects, config.ID(name))
	}
	type answer struct {
		page
		next     int
		revision uint64
	}
	done := make(chan answer, 1)
	n.command(func(time.Time) {
		records, objects, next := n.core.Snapshot(q)
		done <- answer{page: page{Records: records, Objects: objects}, next: next, revision: n.core.FreshRevision()}
	})
	select {
	case a := <-done:
		b, err := encodePage(a.page)
		return wire.SnapshotResult{Page: b, Next: a.next, AgeMillis: n.ageMillis(), Revision: a.revision}, err
	case <-n.stopped:
		return wire.SnapshotResult{}, errStopped
	case <-ctx.Done():
		return wire.SnapshotResult{}, ctx.Err()
	}
}

// ageMillis returns how long ago the objects were the store's latest, -1 when
// that is not known.
func (n *Node) ageMillis() int64 {
	at := n.Fresh()
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

func encodePage(p page) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := cbor.NewEncoder(z).Encode(p); err != nil {
		return nil, errors.Wrap(err, "encode page")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress page")
	}
	return b.Bytes(), nil
}

func decodePage(b []byte) (page, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return page{}, errors.Wrap(err, "decompress page")
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxPageBytes))
	if err != nil {
		return page{}, errors.Wrap(err, "decompress page")
	}
	var p page
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return page{}, errors.Wrap(err, "decode page")
	}
	return p, nil
}

func (n *Node) buildStatus() wire.Status {
	self := n.Self()
	fleet := n.Config()
	s := wire.Status{
		Process:         self.Addr.String(),
		Role:            self.Role.String(),
		Zone:            n.opts.Zone,
		State:           self.State.String(),
		Incarnation:     self.Incarnation,
		ConfigRevision:  fleet.Revision,
		Members:         len(n.Members()),
		StoreReachable:  n.store.Load(),
		ControlBytesIn:  n.bytesIn.Load(),
		ControlBytesOut: n.bytesOut.Load(),
	}
	for _, p := range n.ConfigProblems() {
		s.ConfigProblems = append(s.ConfigProblems, p.ID.Kind+" "+p.ID.Name+": "+p.Err.Error())
	}
	if fleet.Keys != nil {
		s.SigningKey = fleet.Keys.SigningGeneration()
	}
	s.Peers = n.peerStatuses(fleet)
	if fill := n.status.Load(); fill != nil {
		(*fill)(&s)
	}
	return s
}

func (n *Node) peerStatuses(fleet *config.Fleet) []wire.MemberStatus {
	var out []wire.MemberStatus
	for _, m := range n.Members() {
		p := wire.MemberStatus{
			Process: m.Addr.String(), Control: m.Control.String(), Role: m.Role.String(),
			State: m.State.String(), Incarnation: m.Incarnation,
		}
		if z := fleet.Zones[m.Zone]; z != nil {
			p.Zone = z.Name
		}
		if svc := fleet.Services[m.Service]; svc != nil {
			p.Service = svc.Name
		}
		out = append(out, p)
	}
	return out
}
