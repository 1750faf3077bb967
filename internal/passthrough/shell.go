package passthrough

import (
	"sync"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/lifecycle"
)

// shell is what entries and agents have around their state machines.
type shell struct {
	sender
	deps  Deps
	fleet Fleet
	stop  *lifecycle.Stopper
	mu    sync.Mutex // guards the state machine and the sender
}

// setUp prepares a shell; the sockets and the fleet node are still to be opened.
func (s *shell) setUp(settings *config.Passthrough, d Deps) error {
	keys, err := settings.Ring()
	if err != nil {
		return errors.Wrap(err, "secret")
	}
	s.deps, s.stop = d, lifecycle.NewStopper()
	s.sender = sender{codec: d.Codec, keys: keys, counters: newCounters(d.Registry), callerPort: settings.CallerPort()}
	return nil
}

// Stop starts a graceful stop.
func (s *shell) Stop() { s.stop.Stop() }

// events returns the ring of changes once there is a fleet node.
func (s *shell) events() *explain.Ring {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.Events()
}

// gauge exports a figure of the state machine.
func (s *shell) gauge(name, help string, read func() float64) {
	s.counters.gauge(name, help, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read()
	})
}

func (s *shell) readFailed() { s.counters.drop(dropRead) }

// packet reads the header of a packet. ok is false for a datagram that holds
// none, which is counted.
func (s *shell) packet(b []byte) (head flow.Segment, ok bool) {
	head, err := s.codec.Decode(b)
	if err != nil {
		s.counters.drop(dropMalformed)
		return flow.Segment{}, false
	}
	return head, true
}
