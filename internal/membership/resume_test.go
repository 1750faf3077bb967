package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An agent that was paused asks its watchers at once what it missed, and knows that it
// has been told when one has acknowledged the probe that follows.
func TestResumedAgentAsksWhatItMissed(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleAgent, 1)
	entries := []Record{
		testRecord(2, RoleEntry, StateReady, 10, 1), testRecord(3, RoleEntry, StateReady, 10, 1), testRecord(4, RoleEntry, StateReady, 10, 1),
	}
	c.Merge(testStart, entries, nil)
	c.Tick(testStart)
	c.TakeOutput()
	now := testStart.Add(100 * time.Millisecond)
	is.True(!c.AwaitingEntry(now))
	c.Resume(now)
	out := c.TakeOutput()
	for _, e := range entries {
		is.Equal(sentKinds(out, e.Control), []Kind{KindHeartbeat, KindPing})
	}
	is.True(c.AwaitingEntry(now))
	c.Receive(now, &Message{Kind: KindReply, From: entries[0].Addr, Control: entries[0].Control, Epoch: 10, Seq: 1}) // from before the pause
	c.Receive(now, &Message{Kind: KindAck, From: entries[0].Addr, Control: entries[0].Control, Seq: 999})
	is.True(c.AwaitingEntry(now))
	ping := lastPing(out, entries[1])
	c.Receive(now, &Message{Kind: KindAck, From: entries[1].Addr, Control: entries[1].Control, Seq: ping.Seq})
	is.True(!c.AwaitingEntry(now))
}

func lastPing(out Output, to Record) *Message {
	var ping *Message
	for _, s := range out.Sends {
		if s.To == to.Control && s.Message.Kind == KindPing {
			ping = s.Message
		}
	}
	return ping
}

// With all watchers gone the wait ends: an agent without entries receives no new flows
// anyway.
func TestResumedAgentDoesNotWaitForEver(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleAgent, 1)
	c.Merge(testStart, []Record{testRecord(2, RoleEntry, StateReady, 10, 1)}, nil)
	c.Tick(testStart)
	c.Resume(testStart)
	is.True(c.AwaitingEntry(testStart.Add(resumeConfirmTimeout - 1)))
	is.True(!c.AwaitingEntry(testStart.Add(resumeConfirmTimeout)))
}

// The time of the last verification says nothing after a pause that the clock does not
// show.
func TestResumedEntryForgetsVerification(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	c.Merge(testStart, nil, nil)
	c.MarkVerified(testStart, testStart, 5)
	is.True(!c.VerifiedAt().IsZero())
	c.Resume(testStart.Add(time.Millisecond))
	is.True(c.VerifiedAt().IsZero())
}
