package agent

import (
	"context"
	"strconv"
	"sync"

	"github.com/quic-go/quic-go"

	"crocusnotch/internal/request"
)

// errCodeZoneOut closes the flows of a zone that operators took out of service.
const errCodeZoneOut quic.ApplicationErrorCode = 0x43524f01

// flow is one QUIC connection, including its handshake.
type flow struct {
	generation uint8 // of the key that signed its owner token
	conn       *quic.Conn
}

type flowContextKey struct{}

// flowSet holds the live flows. It is safe for concurrent use.
type flowSet struct {
	mu           sync.Mutex
	flows        map[*flow]struct{}
	byGeneration [256]int
	closeReason  request.Reason // not ReasonNone while all flows are refused
	emptied      chan struct{}  // buffered; signals that the last flow has ended
}

func newFlowSet() *flowSet {
	return &flowSet{flows: map[*flow]struct{}{}, emptied: make(chan struct{}, 1)}
}

// add registers a flow until ctx ends and returns a context that holds it.
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
// returns false if the flow must be closed.
func (s *flowSet) establish(conn *quic.Conn) bool {
	f, ok := conn.Context().Value(flowContextKey{}).(*flow)
	if !ok {
		panic("agent: a connection without its flow in the context")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.conn = conn
	return s.closeReason == request.ReasonNone
}

// closeAll closes every established flow and returns their number. Until reopen,
// establish rejects flows that complete their handshake.
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

// countByGeneration returns the number of live flows for each key generation,
// keyed by the decimal generation ID.
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
