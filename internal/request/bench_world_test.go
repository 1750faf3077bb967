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

// bench is one run.
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
	queue   []*benchRequest // policyCentral
	nextID  ID
	all     []*benchRequest
	byID    []map[ID]*benchRequest
	counted struct{ relays, runs, refused int }
}

type host struct {
	engine *Engine
	speed  float64
	busy   int
	used   float64 // busy slots times seconds
	last   time.Time
	timer  time.Time
}

type benchRequest struct {
	began  time.Time
	took   time.Duration // 0 until answered
	result func(Result)  // nil for the caller's own
	root   *benchRequest
	class  config.Class
	key    string
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

func runBench(p profile, pol policy, load float64, span time.Duration, seed uint64) figures {
	b := &bench{profile: p, policy: pol, random: rand.New(rand.NewPCG(seed, 1)), now: origin, end: origin.Add(benchWarmup + span)}
	capacity := 0.0
	for i := range p.endpoints {
		speed := 1 + (p.speed-1)*float64(i)/float64(p.endpoints-1)
		capacity += speed * float64(p.slots) / p.work.Seconds()
		b.hosts = append(b.hosts, b.newHost(i, speed))
		b.byID = append(b.byID, map[ID]*benchRequest{})
	}
	b.rate = load * capacity
	b.after(0, b.arrival)
	if pol == policyEngine {
		for i := range b.hosts {
			b.after(time.Duration(b.random.Int64N(int64(b.reports))), func() { b.report(i) })
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
	h := &host{speed: speed, last: b.now}
	h.engine = New(Options{
		Self: ref(byte(i+1), 1), Start: origin.Add(-time.Minute), Targets: t,
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
		h.use(b.now, 0)
		h.used = 0
	}
}

// use integrates the busy slots and changes their number.
func (h *host) use(now time.Time, change int) {
	h.used += float64(h.busy) * now.Sub(h.last).Seconds()
	h.last = now
	h.busy += change
}

func (b *bench) deadline() time.Duration { return benchDeadlines * b.work }

func (b *bench) arrival() {
	b.after(time.Duration(b.random.ExpFloat64()/b.rate*float64(time.Second)), b.arrival)
	b.nextID++
	r := &benchRequest{began: b.now, class: benchClasses[b.random.IntN(len(benchClasses))], key: fmt.Sprint(b.nextID)}
	r.root = r
	b.all = append(b.all, r)
	switch b.policy {
	case policyCentral:
		b.queue = append(b.queue, r)
		b.serveCentral()
	case policyTwo:
		i, j := b.random.IntN(len(b.hosts)), b.random.IntN(len(b.hosts))
		if b.loadOf(j) < b.loadOf(i) {
			i = j
		}
		b.arrive(i, r, Request{})
	default:
		b.arrive(b.random.IntN(len(b.hosts)), r, Request{})
	}
}

func (b *bench) loadOf(i int) int {
	l := b.hosts[i].engine.Load()
	return l.Busy + l.Queued
}

func (b *bench) service(h *host) time.Duration {
	return time.Duration(b.random.ExpFloat64() * float64(b.work) / h.speed)
}

func (b *bench) arrive(i int, r *benchRequest, q Request) {
	b.nextID++
	q.ID = b.nextID
	q.Class = r.class
	q.Key = r.key
	q.Deadline = r.root.began.Add(b.deadline())
	b.byID[i][q.ID] = r
	b.perform(i, b.hosts[i].engine.Submit(b.now, q))
}

func (b *bench) perform(i int, actions []Action) {
	h := b.hosts[i]
	for _, action := range actions {
		switch x := action.(type) {
		case RunUpstream:
			b.counted.runs++
			h.use(b.now, 1)
			b.after(b.service(h), func() {
				h.use(b.now, -1)
				b.perform(i, h.engine.UpstreamDone(b.now, x.ID, Result{Outcome: OutcomeRan, Status: 200}))
			})
		case RelayTo:
			b.relay(i, x)
		case Reply:
			b.reply(i, x)
		}
	}
	b.arm(i)
}

func (b *bench) relay(i int, x RelayTo) {
	b.counted.relays++
	r := b.byID[i][x.ID]
	target := slices.IndexFunc(b.hosts, func(h *host) bool { return h.engine.Self().SameIncarnation(x.Peer) })
	answer := func(result Result) {
		load := b.hosts[target].engine.Report(b.now)
		b.after(b.oneWay, func() {
			if !b.noLoads {
				b.hosts[i].engine.UpdatePeerLoad(b.now, load)
			}
			b.perform(i, b.hosts[i].engine.RelayDone(b.now, x.ID, result))
		})
	}
	b.after(b.oneWay, func() {
		peer := x.Peer
		b.arrive(target, &benchRequest{root: r.root, result: answer, class: r.class, key: r.key}, Request{Via: x.Via, Target: &peer})
	})
}

func (b *bench) reply(i int, x Reply) {
	r := b.byID[i][x.ID]
	delete(b.byID[i], x.ID)
	switch {
	case r.result != nil:
		r.result(Result{Outcome: x.Outcome, Reason: x.Reason, Status: 200})
	case x.Outcome == OutcomeRan:
		r.took = b.now.Sub(r.began)
	case x.Outcome == OutcomeNotRun:
		b.counted.refused++
		r.took = -1
	}
}

// arm sets the host's timer.
func (b *bench) arm(i int) {
	h := b.hosts[i]
	at, ok := h.engine.NextTick()
	if !ok || at.Equal(h.timer) {
		return
	}
	h.timer = at
	b.after(max(0, at.Sub(b.now)), func() {
		if h.timer.Equal(at) {
			h.timer = time.Time{}
			b.perform(i, h.engine.Tick(b.now))
		}
	})
}

// report sends the host's load to its peers.
func (b *bench) report(i int) {
	b.after(b.reports*9/10+time.Duration(b.random.Int64N(int64(b.reports/5))), func() { b.report(i) })
	load := b.hosts[i].engine.Report(b.now)
	for _, j := range b.random.Perm(len(b.hosts))[:min(benchFanout+1, len(b.hosts))] {
		if j != i {
			b.after(b.oneWay, func() { b.perform(j, b.hosts[j].engine.UpdatePeerLoad(b.now, load)) })
		}
	}
}
