package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against extra work above the operators' share: in any window, for any order of
// placements, refusals, pauses and clock steps, hedges stay below the share of the
// placements in it plus the saved ones, and none is sent in an overload or right after a
// pause.
func TestHedgesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.01, 0.02, 0.05, 0.2}).Draw(t, "share")
		h := NewHedging(share)
		now := start
		// excess is the number of hedges above the share since the start of the worst
		// window that ends now.
		excess, sincePause, placed, hedges := 0.0, 0.0, 0, 0
		var overloadEnd time.Time
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				n := rapid.IntRange(1, 200).Draw(t, "n")
				for range n {
					h.Answered(now, RefusalNone)
					h.Placed(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms"))*time.Millisecond, true)
					placed++
					excess, sincePause = max(0, excess-share), sincePause+share
				}
			},
			"place others": func(*rapid.T) { h.Placed(time.Millisecond, false) },
			"tick": func(*rapid.T) {
				now = now.Add(25 * time.Millisecond)
				h.Check(now)
			},
			"busy": func(t *rapid.T) {
				n := rapid.IntRange(1, 20).Draw(t, "n")
				for range n {
					h.Answered(now, RefusalBusy)
				}
				if float64(n) > maxBusyShare*overloadSamples {
					overloadEnd = now.Add(ReportTTL)
				}
			},
			"pause or step": func(t *rapid.T) {
				h.Check(now)
				overloaded := now.Before(overloadEnd)
				step := time.Duration(rapid.SampledFrom([]int{-3_600_000, -1, 200, 5000, 3_600_000}).Draw(t, "ms")) * time.Millisecond
				now = now.Add(step)
				h.Check(now)
				sincePause = 0
				if overloaded {
					overloadEnd = now.Add(ReportTTL)
				}
			},
			"hedge": func(*rapid.T) {
				h.Check(now)
				for h.Take(now, now, 1, 2) == HedgeAllowed {
					hedges++
					excess++
					sincePause--
					if now.Before(overloadEnd) {
						t.Fatal("a hedge in an overload")
					}
				}
				if excess > maxHedgeTokens+1e-6 || float64(hedges) > share*float64(placed)+1e-6 || sincePause < -1e-6 {
					t.Fatalf("%d hedges of %d placements: %.2f above the share, %.2f since a pause", hedges, placed, excess, -sincePause)
				}
			},
			"": func(t *rapid.T) {
				if d := h.Delay(); d < hedgeDelayMin || d > hedgeDelayMax {
					t.Fatalf("delay %v", d)
				}
			},
		})
	})
}

// Guards against hedges on stale reports, and for openings offered before a pause, whose
// answers may wait in a socket.
func TestHedgesNeedReportsAndARunningProcess(t *testing.T) {
	is := is.New(t)
	h := NewHedging(0.2)
	for range 100 {
		h.Placed(5*time.Millisecond, true)
	}
	h.Check(start)
	is.Equal(h.Take(start, start, 4, 10), HedgeOff) // fewer than half of the reports are fresh
	is.Equal(h.Take(start, start, 5, 10), HedgeAllowed)
	later := start.Add(2 * pauseGap)
	h.Check(later)
	for range 100 {
		h.Placed(5*time.Millisecond, true)
	}
	is.Equal(h.Take(later, start, 10, 10), HedgeOff)
	is.Equal(h.Take(later, later, 10, 10), HedgeAllowed)
}

// Guards against a delay that follows single slow placements, or none.
func TestHedgeDelayIsThe99thPercentile(t *testing.T) {
	is := is.New(t)
	h := NewHedging(0.02)
	is.Equal(h.Delay(), hedgeDelayMax) // nothing is known yet
	for i := range hedgeSamples {
		d := 40 * time.Millisecond
		if i%128 == 0 { // 2 of 256
			d = time.Second
		}
		h.Placed(d, true)
	}
	is.Equal(h.Delay(), 40*time.Millisecond)
	for range hedgeSamples {
		h.Placed(time.Millisecond, true)
	}
	is.Equal(h.Delay(), hedgeDelayMin)
}
