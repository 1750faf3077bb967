package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A set of agents that counts as complete too late keeps the callers of dead flows
// waiting after a power loss; one that does so too early resets flows whose agent is
// about to join.
func TestJoinWaveWaitFollowsTheGaps(t *testing.T) {
	for name, tt := range map[string]struct {
		joins []int // times in ms
		each  int   // agents that join at each of them
		want  time.Duration
	}{
		"fast":                      {[]int{0, 20, 40, 60}, 15, 150 * time.Millisecond},
		"slow":                      {[]int{0, 20, 100, 120}, 15, 320 * time.Millisecond},
		"very slow":                 {[]int{0, 20, 200, 220}, 15, 500 * time.Millisecond},
		"seven agents":              {[]int{0, 10, 20, 30, 40, 50, 60}, 1, 500 * time.Millisecond},
		"eight agents":              {[]int{0, 10, 20, 30, 40, 50, 60, 70}, 1, 150 * time.Millisecond},
		"one snapshot":              {[]int{0}, 60, 500 * time.Millisecond},
		"one agent after a wave":    {[]int{0, 20, 40, 540}, 15, 500 * time.Millisecond},
		"straggler within the wave": {[]int{0, 20, 40, 539}, 15, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w JoinWave
			is.True(!w.Settled(time.Unix(100, 0))) // no agent at all
			var last time.Time
			for _, at := range tt.joins {
				last = time.Unix(100, 0).Add(time.Duration(at) * time.Millisecond)
				w.Joined(last, tt.each)
			}
			is.Equal(w.Wait(), tt.want)
			is.True(!w.Settled(last.Add(tt.want - 1)))
			is.True(w.Settled(last.Add(tt.want)))
		})
	}
}

// For any order of joins the set settles between 0.15 s and 0.5 s after the last agent,
// and not before an agent whose gap is at most four times the largest one before it.
func TestJoinWaveBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w JoinWave
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 40).Draw(t, "joins") {
			gap := time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond
			next := now.Add(gap)
			if !w.last.IsZero() && gap < joinGapFactor*w.largestGap && gap < JoinWaitMax && w.Settled(next) {
				t.Fatalf("settled after %v with gaps of up to %v", gap, w.largestGap)
			}
			now = next
			w.Joined(now, rapid.IntRange(1, 20).Draw(t, "agents"))
			if w.Settled(now.Add(joinWaitMin-1)) || !w.Settled(now.Add(JoinWaitMax)) {
				t.Fatalf("wait of %v", w.Wait())
			}
		}
	})
}
