package agent

import (
	"context"
	"strconv"
	"sync"

	"github.com/quic-go/quic-go"

	"crocusnotch/internal/request"
)

// errCodeZoneOut closes the flows of a zone that operators took out.
const errCodeZoneOut quic.ApplicationErrorCode = 0x43524f01

// flow is one QUIC connection, from its first packet on.
type flow struct {
	generation uint8 // of the key that signed its token
	conn       *quic.Conn
}

type flowContextKey struct{}

// flowSet holds the live flows. It is safe for concurrent use.
type flowSet struct {
	mu           sync.Mutex
	flows        map[*flow]struct{}
	byGeneration [256]int
	closeReason  request.Reason // not empty while all flows are refused
	emptied      chan struct{}  // one buffered signal when the last flow ended
}

func newFlowSet() *flowSet {
	return &flowSet{flows: map[*flow]struct{}{}, emptied: make(chan struct{}, 1)}
}

// begin counts a flow until ctx ends and returns the context that carries it.
func (s *flowSet) add(ctx context.Context, generation uint8) context.Context {
	f := &flow{generation: generation}
	s.mu.Lock()
	s.flows[f] = struct{}{}
	s.byGeneration[generation]++
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { s.remove(f) })
	return context.WithValue(ctx, flowContextKey{}, f)
}

func (s *flowSet) remove(f *flow) {
	s.mu.Lock()
	delete(s.flows, f)
	s.byGeneration[f.generation]--
	empty := len(s.flows) == 0
	s.mu.Unlock()
	if !empty {
		return
	}
	select {
	case s.emptied <- struct{}{}:
	default:
	}
}

// establish records the connection of a flow whose handshake is complete. It
// returns false when the flow must not be served.
func (s *flowSet) establish(conn *quic.Conn) bool {
	f, ok := conn.Context().Value(flowContextKey{}).(*flow)
	if !ok {
		panic("agent: a flow without its context")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.conn = conn
	return s.closeReason == request.ReasonNone
}

// closeAll closes every flow and, until reopen, the ones that still finish
// their handshake.
func (s *flowSet) closeAll(reason request.Reason) int {
	s.mu.Lock()
	s.closeReason = reason
	var conns []*quic.Conn
	for f := range s.flows {
		if f.conn != nil {
			conns = append(conns, f.conn)
		}
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(errCodeZoneOut, string(reason))
	}
	return len(conns)
}

func (s *flowSet) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeReason = request.ReasonNone
}

func (s *flowSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flows)
}

// generations returns the live flows for each key generation, keyed by its
// decimal identifier.
func (s *flowSet) countByGeneration() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for g, n := range s.byGeneration {
		if n > 0 {
			out[strconv.Itoa(g)] = n
		}
	}
	return out
}
