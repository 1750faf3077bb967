package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/config"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testEndpoint(i int) Endpoint {
	return EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
}

func testKey(i int) Key { return KeyOf(testEndpoint(i), testEndpoint(60000)) }

func TestEndpointsAndKeys(t *testing.T) {
	is := is.New(t)
	a := netip.MustParseAddrPort("100.64.0.7:40001")
	b := netip.MustParseAddrPort("198.18.0.1:443")
	k := KeyOf(EndpointOf(a), EndpointOf(b))
	is.Equal(k.Caller().AddrPort(), a)
	is.Equal(k.Route().AddrPort(), b)
	is.Equal(k.String(), "100.64.0.7:40001>198.18.0.1:443")
}

func TestReplicasMoveOnlyFromALostEntry(t *testing.T) {
	is := is.New(t)
	entries := make([]Endpoint, 10)
	for i := range entries {
		entries[i] = testEndpoint(i)
	}
	const flows = 5000
	load := map[Endpoint]int{}
	moved := 0
	for i := range flows {
		all := ReplicasOf(testKey(i), entries)
		is.True(all[0] != all[1])
		load[all[0]]++
		load[all[1]]++
		fewer := ReplicasOf(testKey(i), entries[1:])
		for _, replica := range all {
			if replica != entries[0] && !fewer.Has(replica) {
				moved++
			}
		}
	}
	is.Equal(moved, 0) // losing an entry changes only the flows that it was a replica of
	for _, e := range entries {
		is.True(load[e] > flows*ReplicaCount/len(entries)*8/10)
	}
}

func TestReplicasOfFewEntries(t *testing.T) {
	is := is.New(t)
	is.Equal(ReplicasOf(testKey(1), nil), Replicas{})
	one := ReplicasOf(testKey(1), []Endpoint{testEndpoint(3)})
	is.Equal(one, Replicas{testEndpoint(3)})
}

func TestServiceOfFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &config.Route{Choices: []config.Choice{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	got := map[string]int{}
	const flows = 10000
	for i := range flows {
		got[ServiceOf(r, testKey(i))]++
	}
	is.Equal(got["c"], 0)
	is.True(got["b"] > 800 && got["b"] < 1200)
	is.Equal(ServiceOf(&config.Route{Choices: []config.Choice{{Service: "z"}}}, testKey(1)), "z")
	is.Equal(ServiceOf(&config.Route{Choices: []config.Choice{{Service: "z"}, {Service: "y"}}}, testKey(1)), "z")
}

func TestPlacementPrefersIdleAgents(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{{Addr: testEndpoint(1), Zone: "z1", Slots: 5}, {Addr: testEndpoint(2), Zone: "z1", Slots: 5}}
	p.Report(start, agents[0].Addr, Load{Busy: 5})
	for i := range 4 {
		a, ok := p.Choose(start, testKey(i), agents, nil)
		is.True(ok)
		is.Equal(a.Addr, agents[1].Addr)
	}
	// The report has expired; the flows placed since then still count.
	a, _ := p.Choose(start.Add(ReportTTL), testKey(9), agents, nil)
	is.Equal(a.Addr, agents[0].Addr)
}

func TestPlacementPrefersTheLocalZoneUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{{Addr: testEndpoint(1), Zone: "z1", Slots: 5}, {Addr: testEndpoint(2), Zone: "z2", Slots: 5}}
	p.Report(start, agents[0].Addr, Load{Busy: 0.2})
	a, _ := p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Zone, "z1")
	p.Report(start, agents[0].Addr, Load{Busy: 4})
	a, _ = p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Zone, "z2")
}

func TestPlacementAvoidsUnresponsiveAgentsWhileOthersAreLeft(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{{Addr: testEndpoint(1), Zone: "z1", Slots: 9}, {Addr: testEndpoint(2), Zone: "z2", Slots: 1}}
	p.Avoid(start, agents[0].Addr)
	a, _ := p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Addr, agents[1].Addr)
	a, ok := p.Choose(start, testKey(1), agents, []Endpoint{agents[1].Addr})
	is.True(ok)
	is.Equal(a.Addr, agents[0].Addr) // no other agent is left
	_, ok = p.Choose(start, testKey(1), agents, []Endpoint{agents[0].Addr, agents[1].Addr})
	is.True(!ok)
	a, _ = p.Choose(start.Add(avoidDuration), testKey(1), agents, []Endpoint{agents[1].Addr})
	is.Equal(a.Addr, agents[0].Addr)
}

// Upstreams of one service differ in speed by more than a factor of two: the slow
// one is busy for longer with each request, so it gets fewer flows.
func TestPlacementBalancesBusySlotsAcrossSpeeds(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	agents := make([]Agent, len(speeds))
	flows := make([]float64, len(speeds))
	for i := range speeds {
		agents[i] = Agent{Addr: testEndpoint(i), Zone: "z1", Slots: 9}
	}
	const perFlow = 0.1 // busy slots of one flow at speed 1
	for i := range 240 {
		for j := range agents {
			p.Report(start, agents[j].Addr, Load{Busy: flows[j] * perFlow / speeds[j]})
		}
		a, _ := p.Choose(start, testKey(i), agents, nil)
		for j := range agents {
			if agents[j].Addr == a.Addr {
				flows[j]++
			}
		}
	}
	slow := flows[0] / speeds[0]
	fast := (flows[1] + flows[2] + flows[3]) / (speeds[1] + speeds[2] + speeds[3])
	is.True(slow/fast > 0.8 && slow/fast < 1.25) // balanced by busy slots, not by flows
}

func TestUpstreamIgnoresStaleAnnouncements(t *testing.T) {
	a := Announcement{ID: "i-1", StartMillis: 100, Sequence: 5, Service: "s", Slots: 3}
	change := func(f func(*Announcement)) Announcement {
		b := a
		f(&b)
		return b
	}
	for name, tt := range map[string]struct {
		next Announcement
		want AnnounceResult
		then UpstreamState
	}{
		"repeated":                 {a, AnnounceStale, UpstreamWarm},
		"out of order":             {change(func(b *Announcement) { b.Sequence = 4; b.Leaving = true }), AnnounceStale, UpstreamWarm},
		"next":                     {change(func(b *Announcement) { b.Sequence = 6 }), AnnounceAccepted, UpstreamWarm},
		"leaving":                  {change(func(b *Announcement) { b.Sequence = 6; b.Leaving = true }), AnnounceChanged, UpstreamLeaving},
		"restart with the same ID": {change(func(b *Announcement) { b.Sequence = 1; b.StartMillis = 200; b.ColdRemaining = time.Second }), AnnounceChanged, UpstreamCold},
		"restart with another ID":  {change(func(b *Announcement) { b.ID = "i-2"; b.Sequence = 1; b.StartMillis = 200 }), AnnounceChanged, UpstreamWarm},
		"earlier start, delayed":   {change(func(b *Announcement) { b.ID = "i-0"; b.Sequence = 90; b.StartMillis = 50 }), AnnounceStale, UpstreamWarm},
		"end":                      {Announcement{ID: "i-1", Ended: true, StartMillis: 100}, AnnounceChanged, UpstreamAbsent},
		"end without a start time": {Announcement{ID: "i-1", Ended: true}, AnnounceStale, UpstreamWarm},
		"end of an earlier start":  {Announcement{ID: "i-0", Ended: true, StartMillis: 100}, AnnounceStale, UpstreamWarm},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := NewUpstream(start, UpstreamIdentity{Service: a.Service})
			is.Equal(u.State(start, time.Minute), UpstreamAbsent)
			is.Equal(u.Announce(start, a), AnnounceChanged)
			is.Equal(u.Announce(start, tt.next), tt.want)
			is.Equal(u.State(start, time.Minute), tt.then)
		})
	}
}

// An announcement that another process wrote took the place of the upstream, whose own
// announcements were late from then on.
func TestForeignAnnouncementLeavesTheUpstream(t *testing.T) {
	identity := UpstreamIdentity{Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z"}
	own := Announcement{ID: "i-1", StartMillis: 100, Sequence: 5, Service: "s", Address: identity.Address, Zone: "z", Slots: 3}
	for name, edit := range map[string]func(*Announcement){
		"another service":         func(a *Announcement) { a.Service = "t" },
		"another address":         func(a *Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.2:80") },
		"another port":            func(a *Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.1:81") },
		"another zone":            func(a *Announcement) { a.Zone = "y" },
		"start far in the future": func(a *Announcement) { a.StartMillis = start.Add(maxStartAhead).UnixMilli() + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := NewUpstream(start, identity)
			foreign := own
			foreign.ID, foreign.StartMillis, foreign.Sequence = "i-2", 200, 1
			edit(&foreign)
			is.Equal(u.Announce(start, foreign), AnnounceForeign) // also before the first one of its own
			is.Equal(u.State(start, time.Minute), UpstreamAbsent)
			is.Equal(u.Announce(start, own), AnnounceChanged)
			is.Equal(u.Announce(start, foreign), AnnounceForeign)
			is.Equal(u.Last(), own)
			next := own
			next.Sequence++
			is.Equal(u.Announce(start, next), AnnounceAccepted)
			restarted := own
			restarted.ID, restarted.StartMillis, restarted.Sequence = "i-3", start.Add(time.Second).UnixMilli(), 1
			is.Equal(u.Announce(start, restarted), AnnounceChanged) // its clock is ahead of the agent's
		})
	}
}

func TestUpstreamIsAbsentAfterItsTimeout(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i", StartMillis: 1, Sequence: 1})
	is.Equal(u.State(start.Add(3*time.Second), 3*time.Second), UpstreamWarm)
	is.Equal(u.State(start.Add(3*time.Second+1), 3*time.Second), UpstreamAbsent)
}

func TestUpstreamIsSeenFromStartAfterItsFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i", StartMillis: 1, Sequence: 7})
	is.True(!u.SeenFromStart(true)) // it may hold earlier flows
	u.Announce(start, Announcement{ID: "i", StartMillis: 2, Sequence: 1})
	is.True(u.SeenFromStart(true))
	u.Announce(start, Announcement{ID: "i", StartMillis: 2, Sequence: 2})
	is.True(u.SeenFromStart(true))
	u.Announce(start, Announcement{ID: "i", StartMillis: 3, Sequence: 2})
	is.True(!u.SeenFromStart(true))
}

func TestAdmissionRefusals(t *testing.T) {
	open := AdmissionRequest{State: UpstreamWarm, ServiceMatches: true, Slots: 2, Limits: Limits{Connections: 10}}
	change := func(f func(*AdmissionRequest)) AdmissionRequest {
		o := open
		f(&o)
		return o
	}
	for want, o := range map[Refusal]AdmissionRequest{
		RefusalNone:        open,
		RefusalNoUpstream:  change(func(o *AdmissionRequest) { o.State = UpstreamAbsent }),
		RefusalLeaving:     change(func(o *AdmissionRequest) { o.State = UpstreamLeaving }),
		RefusalService:     change(func(o *AdmissionRequest) { o.ServiceMatches = false }),
		RefusalZoneOut:     change(func(o *AdmissionRequest) { o.ZoneOut = true }),
		RefusalBusy:        change(func(o *AdmissionRequest) { o.Busy = o.Slots + maxWaitingRequests }),
		RefusalConnections: change(func(o *AdmissionRequest) { o.Flows = 10 }),
	} {
		t.Run(want.String(), func(t *testing.T) {
			is := is.New(t)
			a := Admission{}
			is.Equal(a.Admit(start, o), want)
			o.AllowBusy = true
			if want == RefusalBusy {
				want = RefusalNone // a busy upstream accepts a flow that no other agent accepts
			}
			is.Equal(a.Admit(start, o), want)
		})
	}
}

// The number of flows that an upstream in cold start accepts within any second is
// limited, for any sequence of requests.
func TestColdStartLimitsNewFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 30).Draw(t, "perSecond")
		a := Admission{}
		now := start
		var admitted []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			o := AdmissionRequest{State: UpstreamCold, ServiceMatches: true, Slots: 1000, Limits: Limits{ColdPerSecond: perSecond}}
			o.AllowBusy = rapid.Bool().Draw(t, "insist")
			if a.Admit(now, o) == RefusalNone {
				admitted = append(admitted, now)
			}
			in := 0
			for _, at := range admitted {
				if now.Sub(at) < time.Second {
					in++
				}
			}
			if float64(in) > max(1, perSecond) {
				t.Fatalf("%d flows in a second, limit %.1f", in, perSecond)
			}
		}
	})
}

func TestRefusalsHaveNames(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for r := range refusalCount {
		is.True(r.String() != "" && !seen[r.String()])
		seen[r.String()] = true
	}
	is.Equal(Refusal(200).String(), "unknown")
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{7, 64, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPlacement("z1")
			agents := make([]Agent, n)
			for i := range agents {
				agents[i] = Agent{Addr: testEndpoint(i), Zone: "z1", Slots: 5}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Choose(start, testKey(i), agents, nil)
			}
		})
	}
}

// The end of an upstream may be announced without its start time and sequence
// number.
func TestLeavingUpstreamEndsWithoutStartTime(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i-1", StartMillis: 100, Sequence: 5, Leaving: true})
	is.Equal(u.Announce(start, Announcement{ID: "i-2", Ended: true}), AnnounceStale)
	is.Equal(u.Announce(start, Announcement{ID: "i-1", Ended: true}), AnnounceChanged)
	is.Equal(u.State(start, time.Minute), UpstreamAbsent)
	is.True(u.Last().Ended)
	is.Equal(u.Last().StartMillis, int64(100))
}

// After a power loss the upstream may announce itself before its agent listens,
// so the agent misses the first announcement.
func TestUpstreamStartedTogetherWithItsAgent(t *testing.T) {
	for name, tt := range map[string]struct {
		sequence    int64
		startOffset time.Duration // relative to the agent's start
		want        bool
	}{
		"together":                  {2, 3 * time.Millisecond, true},
		"shortly before":            {3, -startSpread, true},
		"long before":               {2, -startSpread - time.Millisecond, false},
		"many announcements missed": {earlySequenceMax + 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := NewUpstream(start, UpstreamIdentity{})
			u.Announce(start, Announcement{ID: "i", StartMillis: start.Add(tt.startOffset).UnixMilli(), Sequence: tt.sequence})
			is.Equal(u.SeenFromStart(true), tt.want)
		})
	}
}

// An upstream that announces no cold start is warm, also when its state is read at
// the time of the agent's last tick, which is before the announcement.
func TestUpstreamWithoutColdStartIsWarmAtAnEarlierTick(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	u := NewUpstream(now.Add(-time.Minute), UpstreamIdentity{Service: "s"})
	u.Announce(now, Announcement{ID: "u", StartMillis: 1, Sequence: 1, Service: "s"})
	tick := now.Add(-time.Millisecond)
	is.Equal(u.State(tick, time.Second), UpstreamWarm)
	u.Announce(now, Announcement{ID: "u", StartMillis: 1, Sequence: 2, Service: "s", ColdRemaining: time.Second})
	is.Equal(u.State(tick, time.Second), UpstreamCold)
	is.Equal(u.State(now.Add(time.Second), 2*time.Second), UpstreamWarm)
}

// An upstream that fails its requests immediately looks idle, and was preferred
// for that (scenarios srv_grey and srv_lying_health). If all upstreams fail
// equally, the order is unchanged.
func TestPlacementPrefersAgentsWhoseRequestsSucceed(t *testing.T) {
	is := is.New(t)
	agents := []Agent{{Addr: testEndpoint(1), Zone: "z1", Slots: 5}, {Addr: testEndpoint(2), Zone: "z1", Slots: 5}}
	choose := func(first, second Load) Endpoint {
		p := NewPlacement("z1")
		p.Report(start, agents[0].Addr, first)
		p.Report(start, agents[1].Addr, second)
		a, ok := p.Choose(start, testKey(1), agents, nil)
		is.True(ok)
		return a.Addr
	}
	is.Equal(choose(Load{Busy: 0, FailureRate: 0.4}, Load{Busy: 2}), agents[1].Addr)
	is.Equal(choose(Load{Busy: 0, FailureRate: 0.4}, Load{Busy: 2, FailureRate: 0.4}), agents[0].Addr)
	is.Equal(choose(Load{Busy: 0, FailureRate: 0.1}, Load{Busy: 5}), agents[0].Addr) // a low failure rate is outweighed by a high load
}

func TestOutcomesDecay(t *testing.T) {
	is := is.New(t)
	var o Outcomes
	is.Equal(o.FailureRate(), 0.0)
	o.Failed()
	is.True(o.FailureRate() < 0.4) // one failure is weak evidence
	for range 9 {
		o.Failed()
	}
	is.True(o.FailureRate() > 0.8)
	for range 5 * 40 { // 5 s
		o.Tick()
	}
	is.True(o.FailureRate() < 0.55)
	for range 20 * 40 {
		o.Tick()
	}
	is.True(o.FailureRate() < 0.01) // the upstream gets its full share of new flows again
	o = Outcomes{}
	for range 100 {
		o.Answered()
		o.Tick()
	}
	o.Failed()
	is.True(o.FailureRate() < 0.05)
}

// An announcement that was delayed on its way arrives after the upstream has announced
// its end: the upstream does not come back by it. A new start does.
func TestUpstreamThatEndedStaysEnded(t *testing.T) {
	is := is.New(t)
	u := NewUpstream(start, UpstreamIdentity{Service: "s"})
	announce := func(a Announcement) AnnounceResult { return u.Announce(start, a) }
	alive := Announcement{ID: "i-1", StartMillis: 100, Sequence: 5, Service: "s", Slots: 5}
	is.Equal(announce(alive), AnnounceChanged)
	is.Equal(announce(Announcement{ID: "i-1", Ended: true, StartMillis: 100}), AnnounceChanged)
	late := alive
	late.Sequence = 7
	is.Equal(announce(late), AnnounceStale)
	is.Equal(u.State(start, time.Minute), UpstreamAbsent)
	again := alive
	again.StartMillis, again.Sequence = 200, 1
	is.Equal(announce(again), AnnounceChanged)
	is.Equal(u.State(start, time.Minute), UpstreamWarm)
}

// Flows are admitted and agents come and go for a simulated month: what is kept about
// them stays bounded, also for an upstream that is never in cold start.
func TestAdmissionAndPlacementStayBounded(t *testing.T) {
	is := is.New(t)
	var a Admission
	p := NewPlacement("z1")
	now := start
	request := AdmissionRequest{State: UpstreamWarm, ServiceMatches: true, Slots: 5}
	for i := range 30 * 24 * 60 { // a flow and a new agent each minute
		now = now.Add(time.Minute)
		is.Equal(a.Admit(now, request), RefusalNone)
		p.Report(now, testEndpoint(i), Load{Busy: 1})
		if i%10 == 0 {
			p.Retain(func(e Endpoint) bool { return e == testEndpoint(i) })
		}
	}
	is.True(len(a.openings) <= 1)
	is.True(len(p.loads) <= 10)
}

// An upstream that started shortly before its agent may hold flows that a former process
// of the agent forwarded, unless its first announcement came to this one.
func TestFormerProcessMayHaveForwardedFlows(t *testing.T) {
	is := is.New(t)
	for sequence, want := range map[int64]bool{1: true, 2: false, 3: false} {
		u := NewUpstream(start, UpstreamIdentity{})
		u.Announce(start, Announcement{ID: "i", StartMillis: start.Add(-startSpread / 2).UnixMilli(), Sequence: sequence})
		is.Equal(u.SeenFromStart(false), want)
		is.True(u.SeenFromStart(true))
	}
}
