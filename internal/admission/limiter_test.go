package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	origin   = time.Unix(1_700_000_000, 0)
	settings = Settings{FreshShare: 0.2, FreshSteps: 4, FreshInterval: 100 * time.Millisecond, QueuePerSlot: 1}
	normal   = 10 * time.Millisecond // a usual run
)

// driven is a limiter with its own clock.
type driven struct {
	*Limiter
	now  time.Time
	next uint64
}

// newDriven returns a limiter with slots, ramped up when warm is true.
func newDriven(slots int, warm bool) *driven {
	d := &driven{Limiter: New(settings), now: origin}
	d.Announce(d.now, Announcement{Slots: slots, State: StateWarm})
	for warm && d.limit() < slots {
		d.rounds(1, normal, ResultOK)
	}
	return d
}

// rounds runs as many works at a time as the limit allows, n times.
func (d *driven) rounds(n int, took time.Duration, result Result) {
	for range n {
		var ids []uint64
		for len(d.running) < d.limit() {
			d.next++
			d.Offer(d.now, Request{ID: d.next})
			ids = append(ids, d.next)
		}
		d.now = d.now.Add(took)
		for _, id := range ids {
			d.Done(d.now, id, result)
		}
	}
}

func TestRampRisesOnEvidence(t *testing.T) {
	is := is.New(t)
	d := newDriven(5, false)
	is.Equal(d.limit(), 1) // 0.2 of 5, also when it calls itself warm
	d.now = d.now.Add(time.Minute)
	d.Tick(d.now)
	is.Equal(d.limit(), 1) // idle time proves nothing
	for want := 2; want <= 5; want++ {
		d.rounds(11, normal, ResultOK)
		is.Equal(d.limit(), want)
	}
}

func TestOverloadLowersLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		took   time.Duration
		result Result
		runs   int // by which it must be noticed
	}{
		"shed":             {normal, ResultShed, 1},
		"ten times slower": {10 * normal, ResultOK, 5},
		"failing":          {normal, ResultError, 5},
		"timing out":       {10 * normal, ResultTimeout, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDriven(5, true)
			d.rounds(20, normal, ResultOK)
			is.Equal(d.limit(), 5)
			for id := uint64(1001); id < 1006; id++ {
				d.Offer(d.now, Request{ID: id})
			}
			d.now = d.now.Add(tt.took)
			for i := range tt.runs {
				d.Done(d.now, uint64(1001+i), tt.result)
			}
			is.Equal(d.limit(), 1)
		})
	}
}

func TestStuckUpstreamLowersLimit(t *testing.T) {
	is := is.New(t)
	d := newDriven(5, true)
	d.rounds(20, normal, ResultOK)
	for id := uint64(1001); id < 1006; id++ {
		d.Offer(d.now, Request{ID: id})
	}
	d.Tick(d.now.Add(20 * normal)) // none has answered
	is.Equal(d.limit(), 1)
}

func TestLoadThatWasNotBorneIsTriedLate(t *testing.T) {
	is := is.New(t)
	d := newDriven(5, true)
	for id := uint64(1001); id < 1006; id++ {
		d.Offer(d.now, Request{ID: id})
	}
	for id := uint64(1001); id < 1006; id++ {
		d.Done(d.now, id, ResultShed)
	}
	d.rounds(60, normal, ResultOK) // six intervals
	is.Equal(d.limit(), 4)
	d.rounds(150, normal, ResultOK)
	is.Equal(d.limit(), 5)
}

func TestQueueOrderAndDisplacement(t *testing.T) {
	is := is.New(t)
	d := newDriven(2, true)
	soon, late := d.now.Add(time.Second), d.now.Add(2*time.Second)
	d.Offer(d.now, Request{ID: 1001})
	d.Offer(d.now, Request{ID: 1002})
	offer := func(id uint64, p Priority, deadline time.Time) Decision {
		return d.Offer(d.now, Request{ID: id, Priority: p, Deadline: deadline})
	}
	is.Equal(offer(1, PriorityBulk, soon).Verdict, VerdictWait)
	is.Equal(offer(2, PriorityNormal, late).Verdict, VerdictWait)
	is.Equal(offer(3, PriorityBulk, soon).Refusal, RefusalNoSlot) // two may wait
	urgent := offer(4, PriorityHigh, late)
	is.Equal(urgent.Verdict, VerdictWait)
	is.Equal(urgent.Change.Dropped, []Dropped{{ID: 1, Refusal: RefusalDisplaced}})
	is.Equal(offer(5, PriorityNormal, soon).Refusal, RefusalNoSlot)

	is.Equal(d.Done(d.now, 1001, ResultOK).Started, []uint64{4})
	is.Equal(d.Done(d.now, 1002, ResultOK).Started, []uint64{2})
}

func TestRefusesWhatWouldBeLate(t *testing.T) {
	is := is.New(t)
	d := newDriven(1, true)
	d.rounds(20, normal, ResultOK)
	d.Offer(d.now, Request{ID: 1001})
	early := d.Offer(d.now, Request{ID: 1, Deadline: d.now.Add(normal)})
	is.Equal(early.Refusal, RefusalDeadline) // it waits for one run and takes another
	is.Equal(d.Offer(d.now, Request{ID: 2, Deadline: d.now.Add(100 * normal)}).Verdict, VerdictWait)
	at, ok := d.NextTick()
	is.True(ok && !at.After(d.now.Add(100*normal)))
	is.Equal(d.Tick(d.now.Add(100*normal)).Dropped, []Dropped{{ID: 2, Refusal: RefusalDeadline}})
}

func TestLeavingAndLapse(t *testing.T) {
	for state, want := range map[State]Refusal{StateLeaving: RefusalLeaving, StateNone: RefusalNoUpstream} {
		is := is.New(t)
		d := newDriven(5, true)
		for id := uint64(1001); id < 1006; id++ {
			d.Offer(d.now, Request{ID: id})
		}
		d.Offer(d.now, Request{ID: 1})
		is.Equal(d.Announce(d.now, Announcement{Slots: 5, State: state}).Dropped, []Dropped{{ID: 1, Refusal: want}})
		is.Equal(d.Offer(d.now, Request{ID: 2}).Refusal, want)
		is.Equal(d.Load(d.now).Busy, 5) // what runs is let finish
		d.Announce(d.now, Announcement{Slots: 5, State: StateWarm})
		is.Equal(d.limit() == 1, state == StateNone) // a new upstream starts fresh
	}
}
