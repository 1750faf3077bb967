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

func testEnd(i int) Endpoint {
	return EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
}

func testKey(i int) Key { return KeyOf(testEnd(i), testEnd(60000)) }

func TestEndsAndKeys(t *testing.T) {
	is := is.New(t)
	a := netip.MustParseAddrPort("100.64.0.7:40001")
	b := netip.MustParseAddrPort("198.18.0.1:443")
	k := KeyOf(EndpointOf(a), EndpointOf(b))
	is.Equal(k.Caller().AddrPort(), a)
	is.Equal(k.Route().AddrPort(), b)
	is.Equal(k.String(), "100.64.0.7:40001>198.18.0.1:443")
}

func TestHomesMoveLittle(t *testing.T) {
	is := is.New(t)
	entries := make([]Endpoint, 10)
	for i := range entries {
		entries[i] = testEnd(i)
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
		for _, h := range all {
			if h != entries[0] && !fewer.Has(h) {
				moved++
			}
		}
	}
	is.Equal(moved, 0) // a lost entry moves only the homes that it was
	for _, e := range entries {
		is.True(load[e] > flows*ReplicaCount/len(entries)*8/10)
	}
}

func TestHomesOfFewEntries(t *testing.T) {
	is := is.New(t)
	is.Equal(ReplicasOf(testKey(1), nil), Replicas{})
	one := ReplicasOf(testKey(1), []Endpoint{testEnd(3)})
	is.Equal(one, Replicas{testEnd(3)})
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
	agents := []Agent{{Addr: testEnd(1), Zone: "z1", Slots: 5}, {Addr: testEnd(2), Zone: "z1", Slots: 5}}
	p.Report(start, agents[0].Addr, Load{Busy: 5})
	for i := range 4 {
		a, ok := p.Choose(start, testKey(i), agents, nil)
		is.True(ok)
		is.Equal(a.Addr, agents[1].Addr)
	}
	// An old report says nothing any more; the flows placed since then count.
	a, _ := p.Choose(start.Add(ReportTTL), testKey(9), agents, nil)
	is.Equal(a.Addr, agents[0].Addr)
}

func TestPlacementKeepsToTheZoneUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{{Addr: testEnd(1), Zone: "z1", Slots: 5}, {Addr: testEnd(2), Zone: "z2", Slots: 5}}
	p.Report(start, agents[0].Addr, Load{Busy: 0.2})
	a, _ := p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Zone, "z1")
	p.Report(start, agents[0].Addr, Load{Busy: 4})
	a, _ = p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Zone, "z2")
}

func TestPlacementAvoidsTheSilentWhileOthersAreLeft(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	agents := []Agent{{Addr: testEnd(1), Zone: "z1", Slots: 9}, {Addr: testEnd(2), Zone: "z2", Slots: 1}}
	p.Avoid(start, agents[0].Addr)
	a, _ := p.Choose(start, testKey(1), agents, nil)
	is.Equal(a.Addr, agents[1].Addr)
	a, ok := p.Choose(start, testKey(1), agents, []Endpoint{agents[1].Addr})
	is.True(ok)
	is.Equal(a.Addr, agents[0].Addr) // better than nobody
	_, ok = p.Choose(start, testKey(1), agents, []Endpoint{agents[0].Addr, agents[1].Addr})
	is.True(!ok)
	a, _ = p.Choose(start.Add(avoidFor), testKey(1), agents, []Endpoint{agents[1].Addr})
	is.Equal(a.Addr, agents[0].Addr)
}

// Endpoints of one service differ in speed by more than two: the slow one is
// busy for longer with each request, so it gets fewer flows.
func TestPlacementFollowsSpeedPerSlot(t *testing.T) {
	is := is.New(t)
	p := NewPlacement("z1")
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	agents := make([]Agent, len(speeds))
	flows := make([]float64, len(speeds))
	for i := range speeds {
		agents[i] = Agent{Addr: testEnd(i), Zone: "z1", Slots: 9}
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
	is.True(slow/fast > 0.8 && slow/fast < 1.25) // busy slots are even, not flows
}

func TestUpstreamTakesNoLateAnnouncement(t *testing.T) {
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
		"repeated":                   {a, AnnounceStale, UpstreamWarm},
		"overtaken":                  {change(func(b *Announcement) { b.Sequence = 4; b.Leaving = true }), AnnounceStale, UpstreamWarm},
		"next":                       {change(func(b *Announcement) { b.Sequence = 6 }), AnnounceAccepted, UpstreamWarm},
		"leaving":                    {change(func(b *Announcement) { b.Sequence = 6; b.Leaving = true }), AnnounceChanged, UpstreamLeaving},
		"new start under the old id": {change(func(b *Announcement) { b.Sequence = 1; b.StartMillis = 200; b.ColdRemaining = time.Second }), AnnounceChanged, UpstreamCold},
		"new start under another id": {change(func(b *Announcement) { b.ID = "i-2"; b.Sequence = 1; b.StartMillis = 200 }), AnnounceChanged, UpstreamWarm},
		"earlier start, delayed":     {change(func(b *Announcement) { b.ID = "i-0"; b.Sequence = 90; b.StartMillis = 50 }), AnnounceStale, UpstreamWarm},
		"end":                        {Announcement{ID: "i-1", Ended: true, StartMillis: 100}, AnnounceChanged, UpstreamAbsent},
		"end without a start":        {Announcement{ID: "i-1", Ended: true}, AnnounceStale, UpstreamWarm},
		"end of an earlier one":      {Announcement{ID: "i-0", Ended: true, StartMillis: 100}, AnnounceStale, UpstreamWarm},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u Upstream
			is.Equal(u.State(start, time.Minute), UpstreamAbsent)
			is.Equal(u.Announce(start, a), AnnounceChanged)
			is.Equal(u.Announce(start, tt.next), tt.want)
			is.Equal(u.State(start, time.Minute), tt.then)
		})
	}
}

func TestSilentUpstreamIsAbsent(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i", StartMillis: 1, Sequence: 1})
	is.Equal(u.State(start.Add(3*time.Second), 3*time.Second), UpstreamWarm)
	is.Equal(u.State(start.Add(3*time.Second+1), 3*time.Second), UpstreamAbsent)
}

func TestFirstAnnouncementMeansThatAllFlowsAreKnown(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i", StartMillis: 1, Sequence: 7})
	is.True(!u.SeenFromStart()) // it may hold flows from before
	u.Announce(start, Announcement{ID: "i", StartMillis: 2, Sequence: 1})
	is.True(u.SeenFromStart())
	u.Announce(start, Announcement{ID: "i", StartMillis: 2, Sequence: 2})
	is.True(u.SeenFromStart())
	u.Announce(start, Announcement{ID: "i", StartMillis: 3, Sequence: 2})
	is.True(!u.SeenFromStart())
}

func TestGateReasons(t *testing.T) {
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
		RefusalBusy:        change(func(o *AdmissionRequest) { o.Busy = o.Slots + waitingRequests }),
		RefusalConnections: change(func(o *AdmissionRequest) { o.Flows = 10 }),
	} {
		t.Run(want.String(), func(t *testing.T) {
			is := is.New(t)
			g := Admission{}
			is.Equal(g.Admit(start, o), want)
			o.AllowBusy = true
			if want == RefusalBusy {
				want = RefusalNone // being busy is no reason when nobody else takes the flow
			}
			is.Equal(g.Admit(start, o), want)
		})
	}
}

// An upstream in cold start gets a bounded number of flows in any span of a
// second, whatever the offers and whenever it turns cold.
func TestColdUpstreamIsNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 30).Draw(t, "perSecond")
		g := Admission{}
		now := start
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			o := AdmissionRequest{State: UpstreamCold, ServiceMatches: true, Slots: 1000, Limits: Limits{ColdPerSecond: perSecond}}
			o.AllowBusy = rapid.Bool().Draw(t, "insist")
			if g.Admit(now, o) == RefusalNone {
				taken = append(taken, now)
			}
			in := 0
			for _, at := range taken {
				if now.Sub(at) < time.Second {
					in++
				}
			}
			if float64(in) > max(1, perSecond) {
				t.Fatalf("%d flows in a second, bears %.1f", in, perSecond)
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
				agents[i] = Agent{Addr: testEnd(i), Zone: "z1", Slots: 5}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Choose(start, testKey(i), agents, nil)
			}
		})
	}
}

// The end of an upstream is announced without its start or number.
func TestEndOfALeavingUpstream(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.Announce(start, Announcement{ID: "i-1", StartMillis: 100, Sequence: 5, Leaving: true})
	is.Equal(u.Announce(start, Announcement{ID: "i-2", Ended: true}), AnnounceStale)
	is.Equal(u.Announce(start, Announcement{ID: "i-1", Ended: true}), AnnounceChanged)
	is.Equal(u.State(start, time.Minute), UpstreamAbsent)
	is.True(u.Last().Ended)
	is.Equal(u.Last().StartMillis, int64(100))
}

// After a loss of power the upstream announces itself before its agent listens.
func TestUpstreamThatStartedWithItsAgent(t *testing.T) {
	for name, tt := range map[string]struct {
		sequence int64
		born     time.Duration // after the agent
		want     bool
	}{
		"together":                    {2, 3 * time.Millisecond, true},
		"a little before":             {3, -youngBirth, true},
		"long before":                 {2, -youngBirth - time.Millisecond, false},
		"has announced itself before": {youngSequence + 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := NewUpstream(start)
			u.Announce(start, Announcement{ID: "i", StartMillis: start.Add(tt.born).UnixMilli(), Sequence: tt.sequence})
			is.Equal(u.SeenFromStart(), tt.want)
		})
	}
}

// An announcement without a cold start that meets a decision of the agent's last
// tick, whose time is older, never makes the upstream cold.
func TestAnnouncementWithoutColdTimeIsWarmForAnOlderTick(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	u := NewUpstream(now.Add(-time.Minute))
	u.Announce(now, Announcement{ID: "u", StartMillis: 1, Sequence: 1, Service: "s"})
	tick := now.Add(-time.Millisecond)
	is.Equal(u.State(tick, time.Second), UpstreamWarm)
	u.Announce(now, Announcement{ID: "u", StartMillis: 1, Sequence: 2, Service: "s", ColdRemaining: time.Second})
	is.Equal(u.State(tick, time.Second), UpstreamCold)
	is.Equal(u.State(now.Add(time.Second), 2*time.Second), UpstreamWarm)
}

// An upstream that fails its requests at once is idle, which made it the first
// choice (srv_grey, srv_lying_health). Where all fail alike nothing changes.
func TestPlacementPrefersAgentsWhoseRequestsSucceed(t *testing.T) {
	is := is.New(t)
	agents := []Agent{{Addr: testEnd(1), Zone: "z1", Slots: 5}, {Addr: testEnd(2), Zone: "z1", Slots: 5}}
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
	is.Equal(choose(Load{Busy: 0, FailureRate: 0.1}, Load{Busy: 5}), agents[0].Addr) // not at any price
}

func TestOutcomesFade(t *testing.T) {
	is := is.New(t)
	var o Outcomes
	is.Equal(o.FailureRate(), 0.0)
	o.Failed()
	is.True(o.FailureRate() < 0.4) // one failure says little
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
	is.True(o.FailureRate() < 0.01) // it gets its share of new flows again
	o = Outcomes{}
	for range 100 {
		o.Answered()
		o.Tick()
	}
	o.Failed()
	is.True(o.FailureRate() < 0.05)
}
