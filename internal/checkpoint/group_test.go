package checkpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/flow"
)

// A process must find the object that the one before reported to, whatever the other
// entries are; and entries with the same view must agree on the writer.
func TestGroupsDependOnTheAddressAlone(t *testing.T) {
	is := is.New(t)
	const groups = 5
	var entries []flow.Endpoint
	for i := range 200 {
		entries = append(entries, entryAddr(i))
	}
	total := 0
	for g := range groups {
		members := MembersOf(g, groups, entries)
		total += len(members)
		is.True(len(members) > 20) // of 40 on average
		for _, e := range members {
			is.Equal(GroupOf(e, groups), g)
		}
		is.Equal(MembersOf(g, groups, members[1:])[0], members[1]) // the next one takes over
	}
	is.Equal(total, len(entries))
	is.Equal(GroupOf(entries[0], 0), 0)
	is.Equal(len(MembersOf(0, 0, entries)), len(entries))
}

// Reports may be lost, and flows close without a message: a flow leaves the checkpoint
// once three reports lack it.
func TestFlowsLeaveTheCheckpointWithoutReports(t *testing.T) {
	is := is.New(t)
	var c Collector
	now := start
	c.Report(now, entryAddr(1), testFlows(3))
	c.Report(now, entryAddr(2), testFlows(1))
	for range 3 {
		now = now.Add(ReportInterval)
		c.Report(now, entryAddr(1), testFlows(2))
	}
	recorded := c.Checkpoint(now)
	is.Equal(len(recorded.FlowsOf(entryAddr(1))), 3)
	is.Equal(len(recorded.FlowsOf(entryAddr(2))), 1)
	now = now.Add(ReportInterval)
	c.Report(now, entryAddr(1), testFlows(2))
	recorded = c.Checkpoint(now)
	is.Equal(recorded.Members, []Member{{Entry: entryAddr(1), Flows: testFlows(2)}})
	c.Clear()
	is.Equal(len(c.Checkpoint(now).Members), 0)
	is.Equal(len(c.members), 0)
}

// A member with many flows reports them more rarely.
func TestFlowsOfALargeMemberStayUntilItsNextReports(t *testing.T) {
	is := is.New(t)
	var c Collector
	flows := testFlows(12_000)
	c.Report(start, entryAddr(1), flows)
	recorded := c.Checkpoint(start.Add(3 * ReportAfter(len(flows))))
	is.Equal(recorded.Len(), len(flows))
}

func TestLaterAcknowledgementIsRecorded(t *testing.T) {
	is := is.New(t)
	var c Collector
	f := testFlow(1)
	c.Report(start, entryAddr(1), []Flow{f})
	f.Ack += 600
	c.Report(start.Add(time.Second), entryAddr(1), []Flow{f})
	recorded := c.Checkpoint(start.Add(time.Second))
	is.Equal(recorded.FlowsOf(entryAddr(1)), []Flow{f})
}
