package checkpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func checkpointOf(flows []Flow) *Checkpoint {
	return &Checkpoint{Members: []Member{{Entry: entryAddr(1), Flows: flows}}}
}

// The store counts each call: flows that stay open cost none after the first one, and a
// fleet whose flows come and go costs one in two seconds.
func TestOpenFlowsAreWrittenOnce(t *testing.T) {
	is := is.New(t)
	var s Schedule
	writes := 0
	poll := func(from, to time.Duration, flows func(time.Duration) []Flow) {
		for at := from; at < to; at += 250 * time.Millisecond {
			c := checkpointOf(flows(at))
			if now := start.Add(at); s.Due(now, c, 18) {
				s.Attempted(now, 48_000)
				s.Written(c)
				writes++
			}
		}
	}
	s.SetWriter(start, true)
	poll(0, time.Minute, func(time.Duration) []Flow { return testFlows(2000) })
	is.Equal(writes, 1)
	poll(time.Minute, 2*time.Minute, func(at time.Duration) []Flow {
		opened := int((at - time.Minute) / (10 * time.Millisecond)) // 100 a second, and as many close
		return testFlows(2000 + opened)[opened:]
	})
	is.True(writes > 20 && writes <= 31)
}

// A writer that has just taken over lacks the flows of members that have not reported yet:
// its first write would replace a checkpoint that has them.
func TestNewWriterWaitsForReports(t *testing.T) {
	is := is.New(t)
	var s Schedule
	c := checkpointOf(testFlows(100))
	is.True(!s.Due(start, c, 18)) // not the writer
	s.SetWriter(start, true)
	s.SetWriter(start.Add(time.Second), true) // goes on
	is.True(!s.Due(start.Add(ReportInterval), c, 18))
	is.True(s.Due(start.Add(takeoverDelay), c, 18))
	s.SetWriter(start.Add(2*time.Second), false)
	s.SetWriter(start.Add(3*time.Second), true)
	is.True(!s.Due(start.Add(3*time.Second), c, 18))
}

// A reset is accepted only near the caller's last acknowledgement.
func TestOldAcknowledgementsAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	var s Schedule
	s.SetWriter(start, true)
	flows := testFlows(100)
	s.Attempted(start, 2000)
	s.Written(checkpointOf(flows))
	now := start.Add(5 * time.Second)
	for i := range flows {
		flows[i].Ack += maxAckDrift
	}
	is.True(!s.Due(now, checkpointOf(flows), 18))
	for i := range flows[:5] {
		flows[i].Ack++
	}
	is.True(s.Due(now, checkpointOf(flows), 18))
}

// A fleet with a few flows, or with one new flow a minute, has them recorded too.
func TestSingleFlowsAreWrittenLater(t *testing.T) {
	is := is.New(t)
	var s Schedule
	s.SetWriter(start, true)
	now := start.Add(time.Minute)
	is.True(!s.Due(now, checkpointOf(nil), 2))
	is.True(s.Due(now, checkpointOf(testFlows(1)), 2)) // never written before
	s.Attempted(now, 100)
	s.Written(checkpointOf(testFlows(1)))
	is.True(!s.Due(now.Add(anyMissingAfter), checkpointOf(testFlows(1)), 2))
	is.True(!s.Due(now.Add(anyMissingAfter-1), checkpointOf(testFlows(2)), 2))
	is.True(s.Due(now.Add(anyMissingAfter), checkpointOf(testFlows(2)), 2))
}

// A failed write is not repeated at once: the store may be down or slow.
func TestFailedWriteKeepsItsDistance(t *testing.T) {
	is := is.New(t)
	var s Schedule
	s.SetWriter(start, true)
	now := start.Add(time.Minute)
	c := checkpointOf(testFlows(100))
	is.True(s.Due(now, c, 18))
	s.Attempted(now, 2000)
	is.True(!s.Due(now.Add(writeInterval-1), c, 18))
	is.True(s.Due(now.Add(writeInterval), c, 18))
}

// At the size to design for an entry has 9 KB/s for control.
func TestReportsAndWritesStayWithinTheirBytes(t *testing.T) {
	is := is.New(t)
	is.Equal(ReportAfter(100), ReportInterval)
	flows := 36_000
	is.True(float64(flows*flowSize)/(ReportAfter(flows)+1).Seconds() <= bytesPerSecond)
	s := Schedule{bytes: 1 << 20}
	is.True(float64(s.bytes)/(s.interval(1)+1).Seconds() <= bytesPerSecond)
	is.True(float64(s.bytes)/(s.interval(32)+1).Seconds() <= 32*bytesPerSecond)
}
