package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	d := NewPauseDetectorWithClock(func() time.Duration { return now })
	now += PauseThreshold - 1
	is.True(!d.Paused())
	is.Equal(d.Beat(), time.Duration(0))
	now += 5 * time.Second
	is.True(d.Paused()) // before the beat that notices it
	is.Equal(d.Beat(), 5*time.Second)
	is.True(!d.Paused())
	is.Equal(d.Beat(), time.Duration(0))
}

func TestBootClockRuns(t *testing.T) {
	is := is.New(t)
	before := sinceBoot()
	time.Sleep(2 * time.Millisecond)
	is.True(sinceBoot() > before)
}
