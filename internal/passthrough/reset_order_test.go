package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/flow"
)

// A power loss leaves 1,500 dead flows whose packets arrive at once, then 20 more in each
// tick. Flows that could still be served in time must not wait behind the first ones, which
// are late by then (trouble-1 of pzwk-lb-grown).
func TestResetsOfFlowsInTimeDoNotWaitForLateOnes(t *testing.T) {
	const (
		target   = 250 * time.Millisecond
		backlog  = 1500
		perTick  = 20
		ticks    = 40
		maxShare = 0.05 // of the flows, reset later than half of the target
	)
	for name, tt := range map[string]struct {
		targetMillis int
		wantInTime   bool
	}{
		"target stated": {int(target.Milliseconds()), true},
		"none stated":   {0, false}, // as before: oldest first
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 2, 60)
			sim.fleet.Routes[routeA].TargetMillis = tt.targetMillis
			sim.advance(time.Second)
			e := sim.entries[0]
			sent, waits := map[flow.Key]time.Time{}, []time.Duration{}
			recorder := &resetRecorder{Outbox: e, reset: func(k flow.Key) {
				if at, ok := sent[k]; ok {
					waits = append(waits, sim.now.Sub(at))
				}
			}}
			e.router.out = recorder
			send := func(i int) flow.Key {
				k := nthKey(i)
				sim.send(e, makePacket(k.Caller(), k.Route(), 16, 8, 9, 100))
				return k
			}
			for i := range backlog {
				send(i)
			}
			sim.deliverAll()
			sim.advance(target)
			for i := range perTick * ticks {
				sent[send(backlog+i)] = sim.now
				if i%perTick == perTick-1 {
					sim.deliverAll()
					sim.advance(tickPeriod)
				}
			}
			sim.advance(maxResetWait + tickPeriod)
			late, longest := 0, time.Duration(0)
			for _, w := range waits {
				longest = max(longest, w)
				if w > target/inTimeDivisor {
					late++
				}
			}
			t.Logf("%d of %d resets later than half of the target, longest wait %v", late, len(waits), longest)
			is.Equal(len(waits), perTick*ticks)
			is.Equal(float64(late) <= maxShare*perTick*ticks, tt.wantInTime)
		})
	}
}

// resetRecorder records the resets of an entry.
type resetRecorder struct {
	Outbox
	reset func(flow.Key)
}

func (r *resetRecorder) Reset(k flow.Key, seq uint32) {
	r.reset(k)
	r.Outbox.Reset(k, seq)
}

// Flows in time are reset newest first, as far as there is free capacity and then at the
// rate of all flows. Late ones, oldest first, must not take the rate before them.
func TestOrderOfResets(t *testing.T) {
	const target = 250 * time.Millisecond
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	free := func(n float64) func(string) float64 { return func(string) float64 { return n } }
	keys := func(due []dueReset, reason string) (out []int) {
		for _, d := range due {
			for i := range 10 {
				if d.key == nthKey(i) && d.reason == reason {
					out = append(out, i)
				}
			}
		}
		return out
	}
	filled := func() *resetPacer {
		p := &resetPacer{perTick: 1}
		for i, opened := range []int{-900, 0, -800, 10, 20} {
			p.add(pendingReset{key: nthKey(i), openedAt: at(opened), addedAt: at(20 + i), target: target})
		}
		return p
	}
	t.Run("free capacity", func(t *testing.T) {
		is := is.New(t)
		p := filled()
		due := p.next(at(25), free(2))
		is.Equal(keys(due, resetInTime), []int{4, 3, 1})
		is.Equal(len(keys(due, resetLate)), 0) // the rate went to a flow in time
		due = p.next(at(50), free(2))
		is.Equal(keys(due, resetLate), []int{0})
		is.Equal(p.waiting(), 1)
	})
	t.Run("share of a reset in each tick", func(t *testing.T) {
		is := is.New(t)
		p := filled()
		is.Equal(keys(p.next(at(25), free(0.5)), resetInTime), []int{4})
		is.Equal(keys(p.next(at(50), free(0.5)), resetInTime), []int{3, 1})
		is.Equal(keys(p.next(at(75), free(0.5)), resetLate), []int{0})
	})
	t.Run("no free capacity", func(t *testing.T) {
		is := is.New(t)
		p := filled()
		var order []int
		for ms := 25; p.waiting() > 0; ms += 25 {
			due := p.next(at(ms), free(0))
			is.Equal(len(due), 1)
			order = append(order, append(keys(due, resetInTime), keys(due, resetLate)...)...)
		}
		is.Equal(order, []int{4, 3, 1, 0, 2})
	})
	t.Run("no longer in time", func(t *testing.T) {
		is := is.New(t)
		p := filled()
		is.Equal(keys(p.next(at(200), free(2)), resetLate), []int{0}) // as it turned out to have no owner
		is.Equal(keys(p.next(at(225), free(2)), resetLate), []int{1})
	})
}

// The free capacity is that of the route's service, by the reports of its agents, divided
// among the entries.
func TestFreeCapacityOfAService(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 2, 6) // four upstreams of service alpha with 5 slots
	r := sim.entries[0].router
	is.Equal(r.freePerTick(sim.now, "alpha"), 10.0) // one for each slot and tick, two entries
	is.Equal(r.freePerTick(sim.now, "unknown"), 0.0)
	sim.advance(flow.ReportTTL)
	r.placement.Report(sim.now, sim.agents[0].addr, flow.Load{Busy: 7})
	r.placement.Report(sim.now, sim.agents[1].addr, flow.Load{Busy: 4, ServiceTime: 50 * time.Millisecond})
	r.placement.Report(sim.now, sim.agents[2].addr, flow.Load{Busy: 5}) // service beta
	is.Equal(r.freePerTick(sim.now, "alpha"), (0+0.5+5+5)/2.0)
	sim.agents[3].stop()
	sim.syncViews()
	is.Equal(r.freePerTick(sim.now, "alpha"), (0+0.5+5)/2.0)
}

// In any order of events each flow is reset once, within 2 s of the proof that it has no
// owner, and all but the overdue ones stay within the rate and the free capacity.
func TestResetPacerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &resetPacer{perTick: rapid.IntRange(0, 4).Draw(t, "per tick")}
		now, n, limit := simStart, 0, 0.0
		added := map[flow.Key]time.Time{}
		paced := 0
		tick := func(free float64) {
			now = now.Add(tickPeriod)
			limit += free + float64(max(1, p.perTick))
			for _, d := range p.next(now, func(string) float64 { return free }) {
				at, waiting := added[d.key]
				if !waiting {
					t.Fatalf("flow %s was reset twice", d.key)
				}
				delete(added, d.key)
				if wait := now.Sub(at); wait > maxResetWait {
					t.Fatalf("flow %s waited for %v", d.key, wait)
				}
				if d.reason != resetOverdue {
					paced++
				}
			}
			if float64(paced) > limit+1e-6 {
				t.Fatalf("%d resets, rate and free capacity for %g", paced, limit)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "ticks") {
			for range rapid.IntRange(0, 12).Draw(t, "flows") {
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				target := time.Duration(rapid.SampledFrom([]int{0, 250, 800, 60_000}).Draw(t, "target")) * time.Millisecond
				p.add(pendingReset{key: nthKey(n), openedAt: now.Add(-age), addedAt: now, target: target})
				added[nthKey(n)] = now
				n++
			}
			tick(rapid.Float64Range(0, 8).Draw(t, "free"))
		}
		for range maxResetWait/tickPeriod + 1 {
			tick(0)
		}
		if len(added) > 0 || p.waiting() > 0 {
			t.Fatalf("%d flows were never reset", len(added))
		}
	})
}
