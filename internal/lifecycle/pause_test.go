package lifecycle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A beat that cleared the pause before its consequences were applied let a request run on
// a lease that had expired during the pause.
func TestPauseDetector(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	d := NewPauseDetectorWithClock(func() time.Duration { return now })
	beat := func() (gap time.Duration) {
		d.Beat(func(g time.Duration) {
			is.True(d.Paused()) // until the consequences are applied
			gap = g
		})
		return gap
	}
	now += PauseThreshold - 1
	is.True(!d.Paused())
	is.Equal(beat(), time.Duration(0))
	now += 5 * time.Second
	is.True(d.Paused()) // before the beat that notices it
	is.Equal(beat(), 5*time.Second)
	is.True(!d.Paused())
	is.Equal(beat(), time.Duration(0))
}

// A pause while the consequences of another one are applied is noticed by the next beat.
func TestPauseDuringABeatIsNoticed(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	d := NewPauseDetectorWithClock(func() time.Duration { return now })
	now += 5 * time.Second
	d.Beat(func(time.Duration) { now += 3 * time.Second })
	is.True(d.Paused())
	var gap time.Duration
	d.Beat(func(g time.Duration) { gap = g })
	is.Equal(gap, 3*time.Second)
	is.True(!d.Paused())
}

func TestBootClockRuns(t *testing.T) {
	is := is.New(t)
	before := sinceBoot()
	time.Sleep(2 * time.Millisecond)
	is.True(sinceBoot() > before)
}
