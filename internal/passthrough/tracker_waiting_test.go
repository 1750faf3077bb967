package passthrough

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// roomBench is a tracker whose outgoing packets and messages are recorded.
type roomBench struct {
	tracker    *Tracker
	now        time.Time
	toUpstream []flow.Key // opening packets sent to the upstream
	packets    [][]byte   // the same, as sent
	refused    map[flow.Key]flow.Refusal
	refusedTo  map[flow.Key]flow.Endpoint
	decisions  []Decision
	loads      []flow.Load
	sequence   int64
	slots      int
	start      int64
	copies     uint32              // number of the copy of the next opening packets
	sent       map[flow.Key]uint32 // bytes of data that the callers have sent
}

const roomService = "alpha"

var (
	roomEntry = flow.EndpointOf(addrOf(1, 1))
	unsafe    = flow.Class{Stated: true, Priority: 1, TargetMillis: 250}
	safe      = flow.Class{Stated: true, Priority: 2, TargetMillis: 250}
)

func newRoomBench(scarceSlots, slots int) *roomBench {
	b := &roomBench{now: simStart, slots: slots, start: 1, refused: map[flow.Key]flow.Refusal{}, refusedTo: map[flow.Key]flow.Endpoint{}, sent: map[flow.Key]uint32{}}
	b.tracker = NewTracker(TrackerOptions{
		Upstream: flow.UpstreamIdentity{Service: roomService}, Started: b.now, MaxAge: simFlowMax, UpstreamTimeout: simUpstreamTimeout, ScarceSlots: scarceSlots,
		Codec: codec, Out: b, Observe: func(d Decision) { b.decisions = append(b.decisions, d) }, ObserveAnswer: func(time.Duration) {},
	})
	b.announce(flow.Announcement{})
	return b
}

// announce applies an announcement with the given state of the upstream.
func (b *roomBench) announce(n flow.Announcement) {
	b.sequence++
	n.ID, n.StartMillis, n.Sequence, n.Service, n.Slots = "i-1", b.start, b.sequence, roomService, b.slots
	b.tracker.Announce(b.now, n)
}

// ToUpstream, ToCaller, SendMessage and Reset implement TrackerOutbox.
func (b *roomBench) ToUpstream(packet []byte) {
	if s, _ := codec.Decode(packet); s.Opening {
		b.toUpstream = append(b.toUpstream, s.KeyFromCaller())
		b.packets = append(b.packets, bytes.Clone(packet))
	}
}

func (b *roomBench) ToCaller(flow.Key, []byte) {}

func (b *roomBench) SendMessage(to flow.Endpoint, m *Message) {
	switch m.Kind {
	case KindRefused:
		b.refused[m.Key], b.refusedTo[m.Key] = m.Reason, to
	case KindLoad:
		b.loads = append(b.loads, m.Load)
	}
}

func (b *roomBench) Reset(flow.Key, uint32) {}

func roomKey(i int) flow.Key {
	return flow.KeyOf(flow.EndpointOf(addrOf(9, i)), flow.EndpointOf(routeA))
}

// open sends the opening of flow i to the tracker.
func (b *roomBench) open(i int, purpose flow.Purpose, c flow.Class) {
	b.openFrom(roomEntry, i, purpose, c)
}

func (b *roomBench) openFrom(entry flow.Endpoint, i int, purpose flow.Purpose, c flow.Class) {
	k := roomKey(i)
	packet := makePacket(k.Caller(), k.Route(), 1, 7, b.copies, 0)
	codec.SetMetadata(packet, flow.Metadata{Purpose: purpose, Service: config.ServiceHash(roomService), Class: c})
	s, _ := codec.Decode(packet)
	b.tracker.Packet(b.now, entry, &s, packet)
	clear(packet) // the buffer is reused
}

// request sends a request on flow i, or closes it.
func (b *roomBench) request(i int, flags byte, data int) {
	k := roomKey(i)
	packet := makePacket(k.Caller(), k.Route(), flags, 8+b.sent[k], 9, data)
	b.sent[k] += uint32(data)
	s, _ := codec.Decode(packet)
	b.tracker.Packet(b.now, roomEntry, &s, packet)
}

// answer sends the upstream's packet on flow i: its acceptance or an answer.
func (b *roomBench) answer(i int, flags byte, data int) {
	k := roomKey(i)
	packet := makePacket(k.Route(), k.Caller(), flags, 9, 9, data)
	s, _ := codec.Decode(packet)
	b.tracker.FromUpstream(b.now, &s, packet, roomEntry)
}

func (b *roomBench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(tickPeriod)
		b.tracker.Tick(b.now)
	}
}

// fill admits flows 1000 and up until no further opening of the class is admitted.
func (b *roomBench) fill(c flow.Class) (admitted int) {
	for i := 1000; ; i++ {
		b.open(i, flow.PurposeOpen, c)
		if _, refused := b.refused[roomKey(i)]; refused {
			return admitted
		}
		b.request(i, 16, 100)
		admitted++
	}
}

// A waiting opening goes to the upstream as its caller wrote it, as soon as a place is
// free, and not before.
func TestWaitingOpeningGetsAFreePlace(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	n := b.fill(unsafe)
	is.Equal(n, 2+3)
	b.open(1, flow.PurposeOpenBusy, unsafe)
	is.Equal(b.tracker.waiting.Len(), 1)
	is.Equal(len(b.toUpstream), n)
	b.now = b.now.Add(20 * time.Millisecond)
	b.answer(1000, 16, 100)
	is.Equal(b.toUpstream[n], roomKey(1))
	is.Equal(b.packets[n], makePacket(roomKey(1).Caller(), roomKey(1).Route(), 1, 7, 0, 0))
	last := b.decisions[len(b.decisions)-1]
	is.Equal(last, Decision{Kind: DecisionAdmit, Reason: admittedAfterWait, Key: roomKey(1), Agent: roomEntry, Age: 20 * time.Millisecond})
	is.Equal(b.decisions[len(b.decisions)-2], Decision{Kind: DecisionWait, Key: roomKey(1), Agent: roomEntry, Tries: 1})
}

// An opening that waits in vain is refused in time for the caller's next copy, which
// comes after 0.2 s, to be offered to another agent.
func TestWaitingOpeningIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	b.fill(unsafe)
	b.open(1, flow.PurposeOpenBusy, unsafe)
	b.pass(150*time.Millisecond - tickPeriod)
	_, refused := b.refused[roomKey(1)]
	is.True(!refused)
	b.pass(tickPeriod)
	is.Equal(b.refused[roomKey(1)], flow.RefusalBusy)
	is.Equal(b.tracker.waiting.Len(), 0)
}

// A long target must not let an opening overtake a waiting one of a higher priority, on an
// upstream so slow that the limit of the latter is the lower one.
func TestOpeningDoesNotOvertakeAWaitingOne(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	for range 70 {
		b.tracker.serviceTimes.Add(150 * time.Millisecond)
	}
	download := flow.Class{Stated: true, Priority: 2, TargetMillis: 800}
	is.Equal(b.fill(unsafe), 2+1)
	b.open(1, flow.PurposeOpenBusy, unsafe)
	b.open(2, flow.PurposeOpen, download)
	is.Equal(b.refused[roomKey(2)], flow.RefusalBusy)
	b.request(1, 16|64, 0) // the unsafe request is given up
	b.open(3, flow.PurposeOpen, download)
	is.Equal(b.toUpstream[len(b.toUpstream)-1], roomKey(3))
}

// Copies of a waiting opening take one place, and the entry of the last copy is answered:
// it is the one that still waits for an answer.
func TestCopiesOfAWaitingOpening(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	b.fill(unsafe)
	other := flow.EndpointOf(addrOf(1, 2))
	b.open(1, flow.PurposeOpenBusy, unsafe)
	b.openFrom(other, 1, flow.PurposeOpen, unsafe)
	is.Equal(b.tracker.waiting.Len(), 1)
	b.pass(150 * time.Millisecond)
	is.Equal(b.refusedTo[roomKey(1)], other)
}

// Openings must not wait for an upstream that can't accept them any more, and their
// entries learn the true reason at once.
func TestWaitingOpeningsAreRefusedWithTheTrueReason(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*roomBench)
		want   flow.Refusal
	}{
		"agent drains":       {func(b *roomBench) { b.tracker.Drain() }, flow.RefusalLeaving},
		"zone out":           {func(b *roomBench) { b.tracker.Configure(flow.Limits{}, 0, true) }, flow.RefusalZoneOut},
		"upstream leaves":    {func(b *roomBench) { b.announce(flow.Announcement{Leaving: true}) }, flow.RefusalLeaving},
		"upstream ended":     {func(b *roomBench) { b.announce(flow.Announcement{Ended: true}) }, flow.RefusalNoUpstream},
		"upstream restarted": {func(b *roomBench) { b.start++; b.announce(flow.Announcement{}) }, flow.RefusalNoUpstream},
		"upstream turns cold": {func(b *roomBench) {
			b.announce(flow.Announcement{ColdRemaining: time.Second})
		}, flow.RefusalCold},
		"upstream times out": {func(b *roomBench) {
			b.tracker.quietTicks = int(simUpstreamTimeout / tickPeriod)
			b.pass(tickPeriod)
		}, flow.RefusalNoUpstream},
		"agent was paused": {func(b *roomBench) {
			b.tracker.SetStale(true)
			b.pass(tickPeriod)
		}, flow.RefusalPaused},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRoomBench(2, 2)
			n := b.fill(unsafe)
			b.open(1, flow.PurposeOpenBusy, unsafe)
			b.open(2, flow.PurposeOpenBusy, safe)
			tt.change(b)
			is.Equal(b.refused[roomKey(1)], tt.want)
			is.Equal(b.refused[roomKey(2)], tt.want)
			is.Equal(b.tracker.waiting.Len(), 0)
			is.Equal(len(b.toUpstream), n)
		})
	}
}

// A process that was paused while an opening waited refuses it, also if a place became
// free meanwhile: its caller has gone on to another agent.
func TestPauseRefusesWaitingOpenings(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	n := b.fill(unsafe)
	b.open(1, flow.PurposeOpenBusy, unsafe)
	b.now = b.now.Add(300 * time.Millisecond)
	b.answer(1000, 16, 100)
	is.Equal(b.refused[roomKey(1)], flow.RefusalBusy)
	is.Equal(len(b.toUpstream), n)
}

// An opening that waits takes nothing of the limit of a cold start, and one that the
// limit does not admit is refused as such.
func TestColdStartCountsOpeningsSent(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 1)
	b.tracker.Configure(flow.Limits{ColdPerSecond: 3}, 0, false)
	b.announce(flow.Announcement{ColdRemaining: 10 * time.Second})
	noTarget := flow.Class{}
	for i := range 3 {
		b.open(1000+i, flow.PurposeOpen, noTarget)
	}
	is.Equal(len(b.toUpstream), 3) // 1 slot and 2 more
	b.now = b.now.Add(100 * time.Millisecond)
	b.open(1, flow.PurposeOpenBusy, noTarget)
	is.Equal(b.refused[roomKey(1)], flow.RefusalCold)

	b = newRoomBench(2, 1)
	b.tracker.Configure(flow.Limits{ColdPerSecond: 4}, 0, false)
	b.announce(flow.Announcement{ColdRemaining: 10 * time.Second})
	for i := range 3 {
		b.open(1000+i, flow.PurposeOpen, noTarget)
	}
	b.open(1, flow.PurposeOpenBusy, noTarget)
	b.open(2, flow.PurposeOpenBusy, noTarget)
	is.Equal(b.tracker.waiting.Len(), 2) // one more may be sent in this second
	b.request(1000, 16|64, 0)            // the caller gives up: a place is free
	is.Equal(b.toUpstream[3], roomKey(2))
	is.Equal(b.refused, map[flow.Key]flow.Refusal{})
	b.pass(tickPeriod)
	is.Equal(b.refused[roomKey(1)], flow.RefusalCold)
}

// A caller that has given up, or whose flow is open, must not get an upstream's place.
func TestAbandonedWaitingOpening(t *testing.T) {
	for name, send := range map[string]func(*roomBench){
		"the caller closes":           func(b *roomBench) { b.request(1, 16|64, 0) },
		"the upstream holds the flow": func(b *roomBench) { b.answer(1, 16, 100) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRoomBench(2, 2)
			n := b.fill(unsafe)
			b.open(1, flow.PurposeOpenBusy, unsafe)
			send(b)
			is.Equal(b.tracker.waiting.Len(), 0)
			b.answer(1000, 16, 100)
			is.Equal(len(b.toUpstream), n)
		})
	}
}

// Answers of requests that waited for a slot must not be taken for a slow upstream, nor
// those of an earlier start; a load report states what was measured.
func TestServiceTimeInLoadReports(t *testing.T) {
	is := is.New(t)
	b := newRoomBench(2, 2)
	serve := func(at, n int) { // n requests at once on two slots, 20 ms each
		for i := range n {
			b.open(at+i, flow.PurposeOpenBusy, flow.Class{Stated: true, TargetMillis: 4000})
			b.answer(at+i, 1|16, 0)
			b.request(at+i, 16, 100)
		}
		for i := range n {
			if i%2 == 0 {
				b.now = b.now.Add(20 * time.Millisecond)
			}
			b.answer(at+i, 16, 100)
		}
	}
	for i := range 60 {
		serve(10*i, 10)
	}
	b.pass(2 * time.Second)
	is.Equal(b.loads[len(b.loads)-1].ServiceTime, 20*time.Millisecond)
	b.start++
	b.announce(flow.Announcement{})
	is.Equal(b.tracker.currentLoad().ServiceTime, time.Duration(0))
}

// With the setting absent, or with more slots than it states, an agent admits and refuses
// as before: by the number of busy requests alone, for every class, and it keeps no
// opening waiting and reports no service time.
func TestAdmissionWithoutScarceSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		b := newRoomBench(rapid.SampledFrom([]int{0, slots - 1}).Draw(t, "scarce slots"), slots)
		flows := 0
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				flows++
				purpose := rapid.SampledFrom([]flow.Purpose{flow.PurposeOpen, flow.PurposeOpenBusy}).Draw(t, "purpose")
				c := rapid.SampledFrom([]flow.Class{{}, unsafe, safe}).Draw(t, "class")
				busy := b.tracker.Busy()
				b.open(flows, purpose, c)
				want := Decision{Kind: DecisionAdmit, Key: roomKey(flows), Agent: roomEntry}
				if purpose == flow.PurposeOpen && busy >= slots+2 {
					want.Kind, want.Reason = DecisionReject, flow.RefusalBusy.String()
				}
				if got := b.decisions[len(b.decisions)-1]; got != want {
					t.Fatalf("%d busy: decided %+v, expected %+v", busy, got, want)
				}
			},
			"request": func(t *rapid.T) { b.request(drawFlow(t, flows), 16, 100) },
			"answer":  func(t *rapid.T) { b.answer(drawFlow(t, flows), 16, 100) },
			"close":   func(t *rapid.T) { b.request(drawFlow(t, flows), 16|64, 0) },
			"pass": func(t *rapid.T) {
				b.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tickPeriod)
				b.announce(flow.Announcement{})
			},
			"": func(t *rapid.T) {
				if b.tracker.waiting.Len() > 0 || b.tracker.currentLoad().ServiceTime != 0 || b.tracker.lastLimit != 0 {
					t.Fatal("the limit by expected wait is in effect")
				}
			},
		})
	})
}

// drawFlow draws one of the flows that were opened, from 1.
func drawFlow(t *rapid.T, flows int) int {
	if flows == 0 {
		t.Skip("no flow yet")
	}
	return rapid.IntRange(1, flows).Draw(t, "flow")
}

// An entry whose offer to a busy agent is refused must not offer the flow again before the
// caller's next copy: with all queues full that would be an endless exchange.
func TestRefusalOfABusyAgentEndsTheAttempt(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 6)
	sim.fleet.Routes[routeA].Priority = 2 // below those that wait: refused at once
	for _, a := range sim.agents {
		a.tracker.ScarceSlots = 5
		for i := range 40 {
			k := flow.KeyOf(flow.EndpointOf(addrOf(8, i)), flow.EndpointOf(routeA))
			packet := makePacket(k.Caller(), k.Route(), 1, 7, 0, 0)
			codec.SetMetadata(packet, flow.Metadata{Purpose: flow.PurposeOpenBusy, Service: a.tracker.serviceTag, Class: flow.Class{Stated: true}})
			s, _ := codec.Decode(packet)
			a.tracker.Packet(sim.now, sim.entries[0].addr, &s, packet)
		}
		is.Equal(a.tracker.waiting.Len(), 16)
	}
	sim.queue = nil
	offers := 0
	sim.entries[0].router.observe = func(d Decision) {
		if d.Kind == DecisionPlace {
			offers++
		}
	}
	k := flow.KeyOf(flow.EndpointOf(addrOf(9, 1)), flow.EndpointOf(routeA))
	sim.send(sim.entries[0], makePacket(k.Caller(), k.Route(), 1, 7, 0, 0))
	sim.deliverAll()
	t.Logf("%d offers", offers)
	is.True(offers <= maxTries+1)
}
