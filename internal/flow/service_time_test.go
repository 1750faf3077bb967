package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A single early sample must not replace the prior, and an estimate that rests on the
// prior must not be reported as measured.
func TestServiceTimeStartsWithThePrior(t *testing.T) {
	is := is.New(t)
	var s ServiceTimes
	is.Equal(s.Mean(), serviceTimePrior)
	s.Add(10 * time.Millisecond)
	is.Equal(s.Mean(), 26*time.Millisecond) // (4 x 30 + 10) / 5
	is.Equal(s.Measured(), time.Duration(0))
	for range serviceTimePriorWeight {
		s.Add(10 * time.Millisecond)
	}
	is.Equal(s.Measured(), s.Mean())
	for range serviceTimeWindow {
		s.Add(10 * time.Millisecond)
	}
	is.Equal(s.Mean(), 10*time.Millisecond) // the prior has left the window
}

// 3 % of the requests take 7 times as long (code search): the tail must not raise the
// estimate as much as it raises the plain mean of 22.4 ms, nor may one stalled request.
func TestServiceTimeCapsOutliers(t *testing.T) {
	is := is.New(t)
	var s ServiceTimes
	for i := range 2 * serviceTimeWindow {
		d := 19 * time.Millisecond
		if i%33 == 0 {
			d *= 7
		}
		s.Add(d)
	}
	t.Logf("mean %v", s.Mean())
	is.True(s.Mean() >= 19*time.Millisecond && s.Mean() < 21500*time.Microsecond)
	before := s.Mean()
	s.Add(time.Minute)
	is.True(s.Mean()-before <= 2*time.Millisecond)
}

// An upstream that slows down is noticed within one window, and one that starts anew is
// not judged by its former start.
func TestServiceTimeFollowsTheUpstream(t *testing.T) {
	is := is.New(t)
	var s ServiceTimes
	for range 200 {
		s.Add(10 * time.Millisecond)
	}
	for range serviceTimeWindow {
		s.Add(50 * time.Millisecond)
	}
	is.Equal(s.Mean(), 50*time.Millisecond)
	s.Reset()
	is.Equal(s.Mean(), serviceTimePrior)
	is.Equal(s.Measured(), time.Duration(0))
}

// The estimate is positive, is within the range of samples and prior, and keeps a
// bounded number of samples.
func TestServiceTimeBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s ServiceTimes
		longest := serviceTimePrior
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 10_000), 1, 200).Draw(t, "ms") {
			d := time.Duration(ms) * time.Millisecond
			longest = max(longest, d)
			s.Add(d)
		}
		if s.Mean() < minServiceTime || s.Mean() > longest || len(s.samples) > serviceTimeWindow {
			t.Fatalf("mean %v of %d samples", s.Mean(), len(s.samples))
		}
	})
}
