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
	maxControlConns      = 64
	controlConnTimeout   = 10 * time.Second
	maxSnapshotPageBytes = 16 << 20
	maxSnapshotPages     = 1024
)

// serveControl accepts connections on the control address and serves jsonrpc2
// requests on them.
func (n *Node) serveControl(ctx context.Context) error {
	l := n.listener
	if n.opts.TLS != nil {
		l = tls.NewListener(l, n.opts.TLS.Server(wire.ALPNControl))
	}
	connSlots := make(chan struct{}, maxControlConns)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			lifecycle.Sleep(ctx, joinPollInterval)
			continue
		}
		select {
		case connSlots <- struct{}{}:
			go func() {
				defer func() { <-connSlots }()
				n.serveControlConn(ctx, conn)
			}()
		default:
			n.metrics.dropped.WithLabelValues("control-connections").Inc()
			_ = conn.Close()
		}
	}
}

func (n *Node) serveControlConn(ctx context.Context, conn net.Conn) {
	counting := &countingConn{Conn: conn, n: n}
	_ = conn.SetDeadline(time.Now().Add(controlConnTimeout))
	handler := jsonrpc2.HandlerWithError(n.handleRPC).SuppressErrClosed()
	rpc := jsonrpc2.NewConn(ctx, wire.RPCStream(counting), handler, wire.DiscardLog)
	<-rpc.DisconnectNotify()
}

// countingConn counts the bytes read and written on a control connection.
type countingConn struct {
	net.Conn
	n *Node
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	size, err := c.Conn.Read(b)
	c.n.bytesIn.Add(uint64(size))
	return size, err
}

// Write implements io.Writer.
func (c *countingConn) Write(b []byte) (int, error) {
	size, err := c.Conn.Write(b)
	c.n.bytesOut.Add(uint64(size))
	return size, err
}

func (n *Node) handleRPC(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case wire.MethodStatus:
		return n.buildStatus(), nil
	case wire.MethodExplain:
		var p wire.ExplainParams
		if err := decodeParams(r, &p); err != nil {
			return nil, err
		}
		return wire.ExplainResult{Events: n.events.Find(p.Name)}, nil
	case wire.MethodWhere:
		answer := n.where.Load()
		if answer == nil {
			break
		}
		var p wire.WhereParams
		if err := decodeParams(r, &p); err != nil {
			return nil, err
		}
		return (*answer)(p)
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

// page is the decoded content of wire.SnapshotResult.Page.
type page struct {
	Records []membership.Record `cbor:"1,keyasint"`
	Objects []config.Object     `cbor:"2,keyasint"`
}

// snapshot reads one page from the core in the loop and encodes it outside of the
// loop.
func (n *Node) snapshot(ctx context.Context, p wire.SnapshotParams) (wire.SnapshotResult, error) {
	q := membership.SnapshotQuery{Page: p.Cursor, Agent: p.Agent, Service: p.Service, ServiceName: p.Follow}
	q.Address, _ = netip.ParseAddrPort(p.Address)
	for _, name := range p.Objects {
		q.Objects = append(q.Objects, config.ID(name))
	}
	type pageResult struct {
		page
		next     int
		revision uint64
	}
	done := make(chan pageResult, 1)
	n.enqueue(func(time.Time) {
		records, objects, next := n.core.Snapshot(q)
		done <- pageResult{page: page{Records: records, Objects: objects}, next: next, revision: n.core.VerifiedRevision()}
	})
	select {
	case r := <-done:
		b, err := encodePage(r.page)
		return wire.SnapshotResult{Page: b, Next: r.next, AgeMillis: n.configAgeMillis(), Revision: r.revision}, err
	case <-n.stopped:
		return wire.SnapshotResult{}, errStopped
	case <-ctx.Done():
		return wire.SnapshotResult{}, ctx.Err()
	}
}

// configAgeMillis returns the time since the configuration in force was last
// verified, -1 when there is no such time.
func (n *Node) configAgeMillis() int64 {
	at := n.VerifiedAt()
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
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshotPageBytes))
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
		StoreReachable:  n.storeReachable.Load(),
		ControlBytesIn:  n.bytesIn.Load(),
		ControlBytesOut: n.bytesOut.Load(),
	}
	for _, p := range n.ConfigProblems() {
		s.ConfigProblems = append(s.ConfigProblems, p.ID.Kind+" "+p.ID.Name+": "+p.Err.Error())
	}
	s.ConfigProblems = append(s.ConfigProblems, n.unreadable.texts()...)
	if fleet.Keys != nil {
		s.SigningKey = fleet.Keys.SigningGeneration()
	}
	s.Peers = n.peerStatuses(fleet)
	if fill := n.fillStatus.Load(); fill != nil {
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
