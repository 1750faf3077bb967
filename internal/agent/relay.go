package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/request"
	"crocusnotch/internal/wire"
)

const (
	// resolvePath serves queries for the outcome of an idempotency key.
	resolvePath = "/crocus/v1/resolve"
	// maxResolveBody fits a recorded response in base64 with its JSON fields.
	maxResolveBody    = 2*request.MaxResponseBytes + 4<<10
	resolveTimeout    = 2 * time.Second
	relayIdleTimeout  = 5 * time.Minute
	relayPingInterval = 5 * time.Second
	relayPingTimeout  = 3 * time.Second
	// maxRelayStreams bounds the concurrent requests of one peer.
	maxRelayStreams = 10_000
)

// relayClient sends requests and queries to peer agents over HTTP/2 and mutual
// TLS.
type relayClient struct {
	transport  *http.Transport
	onPeerLoad func(request.LoadReport) // receives the load in a peer's response
}

func newRelayClient(n Network, tls *wire.MutualTLS, onPeerLoad func(request.LoadReport)) *relayClient {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	return &relayClient{onPeerLoad: onPeerLoad, transport: &http.Transport{
		DialContext:        dialFunc(n),
		TLSClientConfig:    tls.Client("h2"),
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    relayIdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: relayPingInterval,
			PingTimeout:     relayPingTimeout,
		},
	}}
}

// run relays the request once.
func (c *relayClient) run(ctx context.Context, x *exchange, to request.RelayTo) request.Result {
	if !x.body.replayable() {
		return request.Result{Outcome: request.OutcomeNotRun, Reason: request.ReasonRelayFailed}
	}
	a := &attempt{
		transport:  c.transport,
		outbound:   x.outboundRequest("https", to.Peer.Addr.String()),
		atMostOnce: x.atMostOnce,
		stream:     x.stream,
		parseRefusal: func(resp *http.Response) (request.Result, bool) {
			c.reportPeerLoad(resp, to.Peer)
			return parsePeerRefusal(resp)
		},
		beforeResponse: x.beforeResponse,
		notRunReason:   request.ReasonRelayFailed,
		unknownReason:  request.ReasonRelayFailed,
		forwardOutcome: true,
	}
	h := a.outbound.Header
	h.Set(request.HeaderRelays, request.FormatVia(to.Via))
	h.Set(request.HeaderTarget, to.Peer.String())
	if n := x.inbound.Header.Get(request.HeaderAttempt); n != "" {
		h.Set(request.HeaderAttempt, n)
	}
	r := a.run(ctx, x.response)
	// Unless the peer itself reported the outcome as unknown, it may still have
	// it.
	r.ResponseLost = r.Outcome == request.OutcomeUnknown && !a.refused
	return r
}

// reportPeerLoad calls onPeerLoad with the load in a peer's response.
func (c *relayClient) reportPeerLoad(resp *http.Response, peer request.AgentRef) {
	report, err := request.ParseLoadReport(resp.Header.Get(request.HeaderLoad))
	if err == nil && report.Peer.SameIncarnation(peer) {
		c.onPeerLoad(report)
	}
}

// parsePeerRefusal recognizes a response that the peer itself generated.
func parsePeerRefusal(resp *http.Response) (request.Result, bool) {
	outcome := request.Outcome(resp.Header.Get(request.HeaderOutcome))
	if outcome != request.OutcomeNotRun && outcome != request.OutcomeUnknown {
		return request.Result{}, false
	}
	return request.Result{Outcome: outcome, Reason: request.Reason(resp.Header.Get(request.HeaderReason))}, true
}

// resolve queries another agent for the outcome of an idempotency key.
func (c *relayClient) resolve(ctx context.Context, a request.QueryOwner) request.Resolution {
	unknown := request.Resolution{State: request.ResolvedUnknown, Reason: request.ReasonOwnerUnreachable}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	body, err := json.Marshal(a.Query)
	if err != nil {
		return unknown
	}
	url := "https://" + a.Owner.Addr.String() + resolvePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return unknown
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return unknown
	}
	defer func() { _ = resp.Body.Close() }()
	var out request.Resolution
	limited := io.LimitReader(resp.Body, maxResolveBody)
	if resp.StatusCode != http.StatusOK || json.NewDecoder(limited).Decode(&out) != nil {
		return unknown
	}
	return out
}

func (c *relayClient) close() { c.transport.CloseIdleConnections() }

// relayServer serves requests and queries from peer agents.
type relayServer struct {
	server *http.Server
	driver *driver
}

func newRelayServer(d *driver, peers http.Handler, tls *wire.MutualTLS) *relayServer {
	s := &relayServer{driver: d}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+resolvePath, s.resolve)
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	s.server = &http.Server{
		Handler:           relayRoutes(mux, peers),
		TLSConfig:         tls.Server("h2"),
		Protocols:         protocols,
		ReadHeaderTimeout: handshakeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxRelayStreams},
	}
	return s
}

// relayRoutes bypasses the mux for relayed requests, whose paths it would clean.
func relayRoutes(resolve, peers http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == resolvePath {
			resolve.ServeHTTP(w, r)
			return
		}
		peers.ServeHTTP(w, r)
	})
}

// serve runs until the server is closed.
func (s *relayServer) serve(l net.Listener) error {
	err := s.server.ServeTLS(l, "", "")
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve relays")
}

func (s *relayServer) resolve(w http.ResponseWriter, r *http.Request) {
	var q request.Query
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxResolveBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.driver.resolve(q))
}
