package request

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
)

var benchClasses = []config.Class{
	{Name: "read", DeadlineMillis: 1},
	{Name: "once", RunAtMostOnce: true, DeadlineMillis: 1},
	{Name: "bulk", Bulk: true, DeadlineMillis: 1},
}

// bench is one run of the policy benchmark, a simulation of discrete events.
type bench struct {
	profile
	policy  policy
	random  *rand.Rand
	now     time.Time
	end     time.Time
	rate    float64 // requests per second
	events  benchEvents
	seq     uint64
	hosts   []*host
	queue   []*benchRequest // waiting requests of policyCentral
	nextID  ID
	all     []*benchRequest
	byID    []map[ID]*benchRequest
	counted struct{ relays, runs, refused int }
}

type host struct {
	engine      *Engine
	speed       float64
	busy        int
	busySeconds float64 // busy slots times seconds
	updatedAt   time.Time
	tickAt      time.Time
}

type benchRequest struct {
	startedAt time.Time
	latency   time.Duration // 0 until completed, -1 if refused
	respond   func(Result)  // responds to the relaying host; nil for a caller's request
	original  *benchRequest
	class     config.Class
	key       string
}

type benchEvent struct {
	at  time.Time
	seq uint64
	do  func()
}

type benchEvents []benchEvent

func (h benchEvents) Len() int { return len(h) }
func (h benchEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h benchEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *benchEvents) Push(x any)   { *h = append(*h, x.(benchEvent)) }
func (h *benchEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func runBench(p profile, pol policy, load float64, span time.Duration, seed uint64) results {
	b := &bench{profile: p, policy: pol, random: rand.New(rand.NewPCG(seed, 1)), now: testStart, end: testStart.Add(benchWarmup + span)}
	capacity := 0.0
	for i := range p.hostCount {
		speed := 1 + (p.speed-1)*float64(i)/float64(p.hostCount-1)
		capacity += speed * float64(p.slots) / p.serviceTime.Seconds()
		b.hosts = append(b.hosts, b.newHost(i, speed))
		b.byID = append(b.byID, map[ID]*benchRequest{})
	}
	b.rate = load * capacity
	b.after(0, b.arrival)
	if pol == policyEngine {
		for i := range b.hosts {
			b.after(time.Duration(b.random.Int64N(int64(b.reportInterval))), func() { b.report(i) })
		}
	}
	b.after(benchWarmup, b.reset)
	for len(b.events) > 0 && b.events[0].at.Before(b.end) {
		e := heap.Pop(&b.events).(benchEvent)
		b.now = e.at
		e.do()
	}
	return b.result(capacity * (span - b.deadline()).Seconds())
}

func (b *bench) newHost(i int, speed float64) *host {
	t := testTargets
	t.FreshShare = 0.2
	t.QueuePerSlot = 4
	h := &host{speed: speed, updatedAt: b.now}
	h.engine = New(Options{
		Self: agentRef(byte(i+1), 1), Start: testStart.Add(-time.Minute), Targets: t,
		Ledger: LedgerLimits{Entries: 1 << 20, Bytes: 1 << 30}, Random: rand.New(rand.NewPCG(uint64(i), 7)),
	})
	h.engine.Announce(b.now, admission.Announcement{Slots: b.slots, Connections: 2000, State: admission.StateWarm})
	return h
}

func (b *bench) after(d time.Duration, do func()) {
	b.seq++
	heap.Push(&b.events, benchEvent{at: b.now.Add(d), seq: b.seq, do: do})
}

func (b *bench) reset() {
	b.all = nil
	b.counted.relays, b.counted.runs, b.counted.refused = 0, 0, 0
	for _, h := range b.hosts {
		h.updateBusy(b.now, 0)
		h.busySeconds = 0
	}
}

// updateBusy adds the time since the last update to busySeconds and changes the
// number of busy slots.
func (h *host) updateBusy(now time.Time, change int) {
	h.busySeconds += float64(h.busy) * now.Sub(h.updatedAt).Seconds()
	h.updatedAt = now
	h.busy += change
}

func (b *bench) deadline() time.Duration { return benchDeadlineFactor * b.serviceTime }

func (b *bench) arrival() {
	b.after(time.Duration(b.random.ExpFloat64()/b.rate*float64(time.Second)), b.arrival)
	b.nextID++
	r := &benchRequest{startedAt: b.now, class: benchClasses[b.random.IntN(len(benchClasses))], key: fmt.Sprint(b.nextID)}
	r.original = r
	b.all = append(b.all, r)
	switch b.policy {
	case policyCentral:
		b.queue = append(b.queue, r)
		b.startQueued()
	case policyRandomOfTwo:
		i, j := b.random.IntN(len(b.hosts)), b.random.IntN(len(b.hosts))
		if b.loadOf(j) < b.loadOf(i) {
			i = j
		}
		b.submit(i, r, Request{})
	default:
		b.submit(b.random.IntN(len(b.hosts)), r, Request{})
	}
}

func (b *bench) loadOf(i int) int {
	l := b.hosts[i].engine.Load()
	return l.Busy + l.Queued
}

func (b *bench) drawServiceTime(h *host) time.Duration {
	return time.Duration(b.random.ExpFloat64() * float64(b.serviceTime) / h.speed)
}

func (b *bench) submit(i int, r *benchRequest, q Request) {
	b.nextID++
	q.ID = b.nextID
	q.Class = r.class
	q.Key = r.key
	q.Deadline = r.original.startedAt.Add(b.deadline())
	b.byID[i][q.ID] = r
	b.perform(i, b.hosts[i].engine.Submit(b.now, q))
}

func (b *bench) perform(i int, actions []Action) {
	h := b.hosts[i]
	for _, action := range actions {
		switch x := action.(type) {
		case RunUpstream:
			b.counted.runs++
			h.updateBusy(b.now, 1)
			b.after(b.drawServiceTime(h), func() {
				h.updateBusy(b.now, -1)
				b.perform(i, h.engine.UpstreamDone(b.now, x.ID, Result{Outcome: OutcomeRan, Status: 200}))
			})
		case RelayTo:
			b.relay(i, x)
		case Reply:
			b.reply(i, x)
		}
	}
	b.scheduleTick(i)
}

func (b *bench) relay(i int, x RelayTo) {
	b.counted.relays++
	r := b.byID[i][x.ID]
	target := slices.IndexFunc(b.hosts, func(h *host) bool { return h.engine.Self().SameIncarnation(x.Peer) })
	respond := func(result Result) {
		load := b.hosts[target].engine.Report(b.now)
		b.after(b.oneWayDelay, func() {
			if !b.noLoadInResponses {
				b.hosts[i].engine.UpdatePeerLoad(b.now, load)
			}
			b.perform(i, b.hosts[i].engine.RelayDone(b.now, x.ID, result))
		})
	}
	b.after(b.oneWayDelay, func() {
		peer := x.Peer
		b.submit(target, &benchRequest{original: r.original, respond: respond, class: r.class, key: r.key}, Request{Via: x.Via, Target: &peer})
	})
}

func (b *bench) reply(i int, x Reply) {
	r := b.byID[i][x.ID]
	delete(b.byID[i], x.ID)
	switch {
	case r.respond != nil:
		r.respond(Result{Outcome: x.Outcome, Reason: x.Reason, Status: 200})
	case x.Outcome == OutcomeRan:
		r.latency = b.now.Sub(r.startedAt)
	case x.Outcome == OutcomeNotRun:
		b.counted.refused++
		r.latency = -1
	}
}

// scheduleTick schedules the engine's next Tick.
func (b *bench) scheduleTick(i int) {
	h := b.hosts[i]
	at, ok := h.engine.NextTick()
	if !ok || at.Equal(h.tickAt) {
		return
	}
	h.tickAt = at
	b.after(max(0, at.Sub(b.now)), func() {
		if h.tickAt.Equal(at) {
			h.tickAt = time.Time{}
			b.perform(i, h.engine.Tick(b.now))
		}
	})
}

// report sends the host's load report to its peers and schedules the next one.
func (b *bench) report(i int) {
	b.after(b.reportInterval*9/10+time.Duration(b.random.Int64N(int64(b.reportInterval/5))), func() { b.report(i) })
	load := b.hosts[i].engine.Report(b.now)
	for _, j := range b.random.Perm(len(b.hosts))[:min(benchFanout+1, len(b.hosts))] {
		if j != i {
			b.after(b.oneWayDelay, func() { b.perform(j, b.hosts[j].engine.UpdatePeerLoad(b.now, load)) })
		}
	}
}
