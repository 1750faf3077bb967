package telemetry

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := blockedWriter{release: make(chan struct{})}
		log, flush := NewBoundedLogger(s, "entry", "x")
		start := time.Now()
		for i := range 3 * maxQueuedLines {
			log.Info("flow", "decision", "d", "reason", strings.Repeat("r", i%200))
		}
		if time.Since(start) != 0 {
			t.Errorf("writing took %s", time.Since(start))
		}
		start = time.Now()
		flush()
		if time.Since(start) > 2*flushTimeout {
			t.Errorf("flush waited %s for a blocked reader", time.Since(start))
		}
		close(s.release)
	})
}

type logBuffer struct{ strings.Builder }

func TestLogVolumeIsBoundedPerCategory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out logBuffer
		log, flush := NewBoundedLogger(&out, "entry", "x")
		for range 10 * maxLinesPerWindow {
			log.Info("flow", "decision", "place", "reason", "none")
		}
		log.Info("flow", "decision", "place", "reason", "busy") // another category
		flush()
		is.Equal(strings.Count(out.String(), "\n"), maxLinesPerWindow+1)
		time.Sleep(windowLength)
		log.Info("flow", "decision", "place", "reason", "none")
		flush()
		is.True(strings.Contains(out.String(), `"omitted":360`))
	})
}

func BenchmarkDecisionLine(b *testing.B) {
	log, _ := NewBoundedLogger(io.Discard, "entry", "x")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("flow", slog.String("decision", "place"), slog.String("reason", "none"), slog.Int("tries", 1))
	}
}
