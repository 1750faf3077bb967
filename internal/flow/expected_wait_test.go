package flow

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitWorkload is a service of upstreams with 2 slots and first-come, first-served queues,
// whose agents report to several entries as they do in a fleet. Times are in milliseconds.
type waitWorkload struct {
	speeds  []float64 // of the upstreams, repeated
	tail    float64   // share of requests that take 7 times as long
	load    float64   // share of the capacity
	burst   bool      // 1.9 times the requests in 4 of 10 seconds
	workMS  float64
	targetM float64
}

type waitResult struct{ p50, p99, inTarget, imbalance float64 }

type queue struct {
	speed   float64
	free    []float64 // when each slot becomes free
	pending []float64 // ends of the unanswered requests
	average float64   // as reported
	served  float64   // time that the slots worked
	mean    float64   // service time, averaged
}

// run places 10 s of requests by the policy and measures their response times.
func (w waitWorkload) run(policy string) waitResult {
	random := rand.New(rand.NewPCG(7, 11))
	const agents, entries = 48, 23
	queues, list := make([]*queue, agents), make([]Agent, agents)
	capacity := 0.0
	for i := range queues {
		queues[i] = &queue{speed: w.speeds[i%len(w.speeds)], free: make([]float64, 2), mean: 30}
		list[i] = Agent{Addr: testEndpoint(i), Zone: "z1", Slots: 2}
		capacity += 2 * queues[i].speed / (w.workMS * (1 + 6*w.tail))
	}
	placements := make([]*Placement, entries)
	for i := range placements {
		placements[i] = NewPlacement("z1")
		if policy == "expected wait" {
			placements[i].SetScarceSlots(2)
		}
	}
	var times []float64
	const duration = 10_000.0
	nextTick, tick, n := 0.0, 0, 0
	for now := 0.0; now < duration; n++ {
		rate := capacity * w.load
		if w.burst && math.Mod(now, 10_000) < 4000 {
			rate *= 1.9
		}
		now += random.ExpFloat64() / rate
		for ; nextTick < now; nextTick += 25 {
			tick++
			for i, q := range queues {
				q.pending = slices.DeleteFunc(q.pending, func(end float64) bool { return end <= nextTick })
				q.average += (float64(len(q.pending)) - q.average) * 0.05
				if (tick+i)%12 == 0 { // every 300 ms
					for _, p := range placements {
						p.Report(at(nextTick), list[i].Addr, Load{Busy: q.average, ServiceTime: time.Duration(q.mean * float64(time.Millisecond))})
					}
				}
			}
		}
		work := w.workMS
		if random.Float64() < w.tail {
			work *= 7
		}
		i := 0
		switch policy {
		case "oracle":
			i = slices.Index(queues, slices.MinFunc(queues, func(a, b *queue) int {
				return cmpFloat(max(slices.Min(a.free), now)+work/a.speed, max(slices.Min(b.free), now)+work/b.speed)
			}))
		case "two choices": // the fewer unanswered requests, known without delay
			i = random.IntN(agents)
			if j := random.IntN(agents); queues[j].unanswered(now) < queues[i].unanswered(now) {
				i = j
			}
		default:
			i = place(placements[random.IntN(entries)], now, n, list, queues)
		}
		q := queues[i]
		slot := slices.Index(q.free, slices.Min(q.free))
		end := max(q.free[slot], now) + work/q.speed
		q.free[slot] = end
		q.pending = append(q.pending, end)
		q.served += work / q.speed
		q.mean += (work/q.speed - q.mean) / 64
		times = append(times, end-now)
	}
	slices.Sort(times)
	r := waitResult{p50: times[len(times)/2], p99: times[len(times)*99/100]}
	within, _ := slices.BinarySearch(times, w.targetM)
	r.inTarget = float64(within) / float64(len(times))
	most, sum := 0.0, 0.0
	for _, q := range queues {
		most, sum = max(most, q.served), sum+q.served
	}
	r.imbalance = most / (sum / agents)
	return r
}

// place offers a request to agents as an entry does: a busy one refuses, up to four times,
// then the request is forced onto the agent with the lowest score. Each answer carries the
// agent's load.
func place(p *Placement, now float64, n int, list []Agent, queues []*queue) int {
	var tried []Endpoint
	for {
		offered := tried
		if len(tried) == 4 {
			offered = nil
		}
		a, _ := p.Choose(at(now), testKey(n%60_000), list, offered)
		i := slices.IndexFunc(list, func(x Agent) bool { return x.Addr == a.Addr })
		p.Report(at(now), a.Addr, Load{Busy: queues[i].average})
		if len(tried) == 4 || queues[i].unanswered(now) < a.Slots+maxWaitingRequests {
			return i
		}
		tried = append(tried, a.Addr)
	}
}

func (q *queue) unanswered(now float64) int {
	n := 0
	for _, end := range q.pending {
		if end > now {
			n++
		}
	}
	return n
}

func at(ms float64) time.Time { return start.Add(time.Duration(ms * float64(time.Millisecond))) }

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Guards against a score that serves fewer requests within the target than the present one
// on the workloads of docs/scarce-capacity.md. The table is in docs/design/room.md.
func TestExpectedWaitAgainstOtherPolicies(t *testing.T) {
	is := is.New(t)
	uneven := []float64{0.7, 0.7, 1.7}
	for name, w := range map[string]waitWorkload{
		"uneven 0.7": {speeds: uneven, load: 0.7, workMS: 27, targetM: 250},
		"uneven 0.9": {speeds: uneven, load: 0.9, workMS: 27, targetM: 250},
		"bursts":     {speeds: uneven, load: 0.6, burst: true, workMS: 27, targetM: 250},
		"tail 0.7":   {speeds: []float64{1}, tail: 0.03, load: 0.7, workMS: 21, targetM: 250},
		"tail 0.9":   {speeds: []float64{1}, tail: 0.03, load: 0.9, workMS: 21, targetM: 250},
	} {
		results := map[string]waitResult{}
		for _, policy := range []string{"present", "expected wait", "two choices", "oracle"} {
			r := w.run(policy)
			results[policy] = r
			t.Logf("%-11s %-14s p50 %4.0f ms, p99 %5.0f ms, in target %.4f, imbalance %.2f", name, policy, r.p50, r.p99, r.inTarget, r.imbalance)
		}
		is.True(results["expected wait"].inTarget >= results["present"].inTarget)
	}
}

// Guards against service times that take effect without the setting, and against an agent
// without one that is always or never chosen.
func TestExpectedWaitNeedsTheSetting(t *testing.T) {
	is := is.New(t)
	agents := []Agent{{Addr: testEndpoint(1), Zone: "z1", Slots: 2}, {Addr: testEndpoint(2), Zone: "z1", Slots: 2}, {Addr: testEndpoint(3), Zone: "z1", Slots: 2}}
	choose := func(scarceSlots int) map[Endpoint]int {
		n := map[Endpoint]int{}
		for i := range 300 {
			p := NewPlacement("z1")
			p.SetScarceSlots(scarceSlots)
			p.Report(start, agents[0].Addr, Load{Busy: 1, ServiceTime: 60 * time.Millisecond})
			p.Report(start, agents[0].Addr, Load{Busy: 1}) // a message without the service time
			p.Report(start, agents[1].Addr, Load{Busy: 1, ServiceTime: 20 * time.Millisecond})
			p.Report(start, agents[2].Addr, Load{Busy: 0.9})
			a, ok := p.Choose(start, testKey(i), agents, nil)
			is.True(ok)
			n[a.Addr]++
		}
		return n
	}
	off := choose(0)
	for _, a := range agents {
		is.True(off[a.Addr] > 30) // about equal
	}
	is.Equal(choose(1), off) // more slots than the setting names
	on := choose(2)
	is.Equal(on[agents[1].Addr], 300) // three times as fast
}
