package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testStart = time.Unix(1_700_000_000, 0)
	settings  = Settings{FreshShare: 0.2, FreshSteps: 4, FreshInterval: 100 * time.Millisecond, QueuePerSlot: 1}
	normalRun = 10 * time.Millisecond // service time without overload
)

// testLimiter is a limiter with its own clock.
type testLimiter struct {
	*Limiter
	now    time.Time
	lastID uint64
}

// newTestLimiter returns a limiter for the slots, past its cold start if warm is
// true.
func newTestLimiter(slots int, warm bool) *testLimiter {
	l := &testLimiter{Limiter: New(settings), now: testStart}
	l.Announce(l.now, Announcement{Slots: slots, State: StateWarm})
	for warm && l.limit() < slots {
		l.runRounds(1, normalRun, ResultOK)
	}
	return l
}

// runRounds runs n rounds of as many concurrent requests as the limit allows.
func (l *testLimiter) runRounds(n int, took time.Duration, result Result) {
	for range n {
		var ids []uint64
		for len(l.running) < l.limit() {
			l.lastID++
			l.Offer(l.now, Request{ID: l.lastID})
			ids = append(ids, l.lastID)
		}
		l.now = l.now.Add(took)
		for _, id := range ids {
			l.Done(l.now, id, result)
		}
	}
}

func TestLimitRisesOnlyAfterEnoughSuccesses(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(5, false)
	is.Equal(l.limit(), 1) // 0.2 of 5, although the upstream announced StateWarm
	l.now = l.now.Add(time.Minute)
	l.Tick(l.now)
	is.Equal(l.limit(), 1) // idle time does not raise the limit
	for want := 2; want <= 5; want++ {
		l.runRounds(11, normalRun, ResultOK)
		is.Equal(l.limit(), want)
	}
}

func TestOverloadLowersLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		took   time.Duration
		result Result
		runs   int // runs after which the limit must be down
	}{
		"shed":             {normalRun, ResultShed, 1},
		"ten times slower": {10 * normalRun, ResultOK, 5},
		"failing":          {normalRun, ResultError, 5},
		"timing out":       {10 * normalRun, ResultTimeout, 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLimiter(5, true)
			l.runRounds(20, normalRun, ResultOK)
			is.Equal(l.limit(), 5)
			for id := uint64(1001); id < 1006; id++ {
				l.Offer(l.now, Request{ID: id})
			}
			l.now = l.now.Add(tt.took)
			for i := range tt.runs {
				l.Done(l.now, uint64(1001+i), tt.result)
			}
			is.Equal(l.limit(), 1)
		})
	}
}

func TestStuckUpstreamLowersLimit(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(5, true)
	l.runRounds(20, normalRun, ResultOK)
	for id := uint64(1001); id < 1006; id++ {
		l.Offer(l.now, Request{ID: id})
	}
	l.Tick(l.now.Add(20 * normalRun)) // no run has ended
	is.Equal(l.limit(), 1)
}

func TestOverloadingLimitIsRetriedSlowly(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(5, true)
	for id := uint64(1001); id < 1006; id++ {
		l.Offer(l.now, Request{ID: id})
	}
	for id := uint64(1001); id < 1006; id++ {
		l.Done(l.now, id, ResultShed)
	}
	l.runRounds(60, normalRun, ResultOK) // six intervals
	is.Equal(l.limit(), 4)
	l.runRounds(150, normalRun, ResultOK)
	is.Equal(l.limit(), 5)
}

func TestQueueOrderAndDisplacement(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(2, true)
	soon, late := l.now.Add(time.Second), l.now.Add(2*time.Second)
	l.Offer(l.now, Request{ID: 1001})
	l.Offer(l.now, Request{ID: 1002})
	offer := func(id uint64, p Priority, deadline time.Time) Decision {
		return l.Offer(l.now, Request{ID: id, Priority: p, Deadline: deadline})
	}
	is.Equal(offer(1, PriorityBulk, soon).Verdict, VerdictWait)
	is.Equal(offer(2, PriorityNormal, late).Verdict, VerdictWait)
	is.Equal(offer(3, PriorityBulk, soon).Refusal, RefusalNoSlot) // two may wait
	urgent := offer(4, PriorityHigh, late)
	is.Equal(urgent.Verdict, VerdictWait)
	is.Equal(urgent.Change.Dropped, []Dropped{{ID: 1, Refusal: RefusalDisplaced}})
	is.Equal(offer(5, PriorityNormal, soon).Refusal, RefusalNoSlot)

	is.Equal(l.Done(l.now, 1001, ResultOK).Started, []uint64{4})
	is.Equal(l.Done(l.now, 1002, ResultOK).Started, []uint64{2})
}

func TestRefusesRequestThatWouldMissDeadline(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(1, true)
	l.runRounds(20, normalRun, ResultOK)
	l.Offer(l.now, Request{ID: 1001})
	early := l.Offer(l.now, Request{ID: 1, Deadline: l.now.Add(normalRun)})
	is.Equal(early.Refusal, RefusalDeadline) // it waits for one run and takes another
	is.Equal(l.Offer(l.now, Request{ID: 2, Deadline: l.now.Add(100 * normalRun)}).Verdict, VerdictWait)
	at, ok := l.NextTick()
	is.True(ok && !at.After(l.now.Add(100*normalRun)))
	is.Equal(l.Tick(l.now.Add(100*normalRun)).Dropped, []Dropped{{ID: 2, Refusal: RefusalDeadline}})
}

func TestLeavingUpstreamAndExpiredLease(t *testing.T) {
	for state, want := range map[State]Refusal{StateLeaving: RefusalLeaving, StateNone: RefusalNoUpstream} {
		is := is.New(t)
		l := newTestLimiter(5, true)
		for id := uint64(1001); id < 1006; id++ {
			l.Offer(l.now, Request{ID: id})
		}
		l.Offer(l.now, Request{ID: 1})
		is.Equal(l.Announce(l.now, Announcement{Slots: 5, State: state}).Dropped, []Dropped{{ID: 1, Refusal: want}})
		is.Equal(l.Offer(l.now, Request{ID: 2}).Refusal, want)
		is.Equal(l.Load(l.now).Busy, 5) // running requests may finish
		l.Announce(l.now, Announcement{Slots: 5, State: StateWarm})
		is.Equal(l.limit() == 1, state == StateNone) // a new upstream starts cold
	}
}
