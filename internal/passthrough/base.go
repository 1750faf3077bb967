package passthrough

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/lifecycle"
)

// base is the part that entries and agents share around their state machines.
type base struct {
	sender
	deps  Deps
	fleet Fleet
	stop  *lifecycle.Stopper
	pause *lifecycle.PauseDetector
	mu    sync.Mutex // guards the state machine and the sender
}

// setUp initializes everything but the sockets and the fleet node.
func (s *base) setUp(settings *config.Passthrough, d Deps) error {
	keys, err := settings.Ring()
	if err != nil {
		return errors.Wrap(err, "secret")
	}
	s.deps, s.stop, s.pause = d, lifecycle.NewStopper(), d.Pause
	if s.pause == nil {
		s.pause = lifecycle.NewPauseDetector()
	}
	s.sender = sender{codec: d.Codec, keys: keys, counters: newCounters(d.Registry), callerPort: settings.CallerPort()}
	return nil
}

// Stop starts a graceful stop.
func (s *base) Stop() { s.stop.Stop() }

// events returns the ring of recent events, or nil before the fleet node exists.
func (s *base) events() *explain.Ring {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.Events()
}

// gauge registers a gauge that is read under the lock of the state machine.
func (s *base) gauge(name, help string, read func() float64) {
	s.counters.gauge(name, help, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read()
	})
}

// checkPause makes the fleet node renew what it believes if the process was paused. apply,
// unless it is nil, then revokes what else the pause has made doubtful.
func (s *base) checkPause(apply func()) {
	s.pause.Beat(func(gap time.Duration) {
		s.counters.pauses.Inc()
		s.deps.Log.Warn("resumed after a pause", "paused_ms", gap.Milliseconds())
		s.fleet.Resume()
		if apply != nil {
			apply()
		}
	})
}

func (s *base) countReadError() { s.counters.countDropped(dropRead) }

// decodePacket decodes the header of a packet. A malformed datagram is counted as
// dropped, and ok is false.
func (s *base) decodePacket(b []byte) (head flow.Segment, ok bool) {
	head, err := s.codec.Decode(b)
	if err != nil {
		s.counters.countDropped(dropMalformed)
		return flow.Segment{}, false
	}
	return head, true
}
