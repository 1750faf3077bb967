package passthrough

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// udpOverhead is the size of the headers of IP and UDP in bytes.
const udpOverhead = 28

// probeTraffic counts the bytes that an entry sends, and those that it would have sent
// with all probes sent directly.
type probeTraffic struct {
	Outbox
	bytes, bytesDirect int
	probes             int // agents that were to receive a probe
	relays             []*Message
}

func (c *probeTraffic) count(n int) { c.bytes, c.bytesDirect = c.bytes+n, c.bytesDirect+n }

func (c *probeTraffic) Forward(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	c.count(len(packet) + udpOverhead)
	if meta.Purpose == flow.PurposeSearch {
		c.probes++
	}
	c.Outbox.Forward(agent, meta, packet)
}

func (c *probeTraffic) Query(agent flow.Endpoint, meta flow.Metadata, packet []byte) {
	c.count(querySize + udpOverhead)
	c.Outbox.Query(agent, meta, packet)
}

func (c *probeTraffic) SendMessage(to flow.Endpoint, m *Message) {
	size := len(m.Append(nil, testRing())) + udpOverhead
	if m.Kind == KindProbeRelay {
		c.relays = append(c.relays, m)
		c.bytes += size
		c.bytesDirect += (len(m.Agents) + 1) * (len(m.Packet) + udpOverhead)
		c.probes += len(m.Agents) + 1
	} else {
		c.count(size)
	}
	c.Outbox.SendMessage(to, m)
}

// upstreamTraffic records the packets that an agent sends to its upstream.
type upstreamTraffic struct {
	TrackerOutbox
	sim     *simulation
	packets [][]byte
	times   []time.Time
}

func (u *upstreamTraffic) ToUpstream(packet []byte) {
	u.packets, u.times = append(u.packets, bytes.Clone(packet)), append(u.times, u.sim.now)
	u.TrackerOutbox.ToUpstream(packet)
}

// recordUpstreams records the packets to all upstreams, by agent.
func (sim *simulation) recordUpstreams() map[*simAgent]*upstreamTraffic {
	out := map[*simAgent]*upstreamTraffic{}
	for _, a := range sim.agents {
		out[a] = &upstreamTraffic{TrackerOutbox: a, sim: sim}
		a.tracker.Out = out[a]
	}
	return out
}

// All processes are killed while the upstreams keep running: 23 entries search for 1,000
// flows a second among 59 agents of two services in 3 zones, and packets have up to 936
// bytes. Sent to each agent directly they exceed an entry's link of 10 Mbit/s; searches
// may take half of it, so that replies are not late. Every flow must be found.
func TestRelayedProbesFitASmallLink(t *testing.T) {
	is := is.New(t)
	const (
		entries, agents, alphas = 23, 59, 47
		flows                   = 1000
		ticks                   = 40       // a second
		link                    = 10e6 / 8 // bytes in a second
	)
	sim := newSimulation(t.Fatalf, entries, 0)
	sim.fleet.Routes[routeA].Choices = []config.Choice{{Service: "alpha", Weight: 1}, {Service: "beta"}}
	for i := range agents {
		service := "alpha"
		if i >= alphas {
			service = "beta"
		}
		sim.addAgent(i, service).zone = allZoneNames[i%len(allZoneNames)]
	}
	sim.syncViews()
	for i := range flows {
		e := sim.entries[i%entries]
		if i == flows/2 { // the second half is placed in other zones
			for _, e := range sim.entries {
				for _, a := range sim.agents {
					if a.zone == e.router.zone {
						e.router.placement.Report(sim.now, a.addr, flow.Load{Busy: 100})
					}
				}
			}
		}
		is.True(sim.open(i, routeA, func() *simEntry { return e }).open)
	}
	sim.restartAllProcesses()
	var traffic []*probeTraffic
	for _, e := range sim.entries {
		out := &probeTraffic{Outbox: e}
		e.router.out = out
		traffic = append(traffic, out)
	}
	for i, c := range sim.callers {
		c.undelivered++
		sim.send(sim.entries[(7*i+i/entries)%entries], makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 900))
		if i%(flows/ticks) == flows/ticks-1 {
			sim.deliverAll()
			sim.advance(tickPeriod)
		}
	}
	busiest, busiestDirect, probes, relays := 0, 0, 0, 0
	for _, out := range traffic {
		busiest, busiestDirect = max(busiest, out.bytes), max(busiestDirect, out.bytesDirect)
		probes, relays = probes+out.probes, relays+len(out.relays)
	}
	t.Logf("%d probes, %d relays; bytes in a second of the busiest entry: %d, %d without relays", probes, relays, busiest, busiestDirect)
	is.True(busiest <= link/2)
	is.True(busiestDirect > link) // the load is the one that the relays are for
	sim.advance(300 * time.Millisecond)
	for _, c := range sim.callers {
		is.Equal(c.undelivered, 0)
		is.True(!c.reset)
	}
}

// relayFilter decides what becomes of each relay message of an entry.
type relayFilter struct {
	Outbox
	filter func(to flow.Endpoint, m *Message) (send bool)
}

func (r *relayFilter) SendMessage(to flow.Endpoint, m *Message) {
	if m.Kind != KindProbeRelay || r.filter(to, m) {
		r.Outbox.SendMessage(to, m)
	}
}

// When a relay does not relay, the search goes on to the other zones and then sends the
// packet directly, so that the flow is found without another packet of its caller. A
// relay that is only late must not make upstreams receive more packets than before: one
// for each that returns what it does not hold. No upstream of another service and no
// upstream that the entry did not name receives any.
func TestSearchSurvivesFailedRelays(t *testing.T) {
	const late = lookupTimeout + 2*tickPeriod
	for name, tt := range map[string]struct{ dies, late bool }{
		"datagram lost, or agent of an earlier version": {},
		"relay dies": {dies: true},
		"relay late": {late: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 3, 36) // 24 upstreams of the service, half in each zone
			e := sim.entries[0]
			c := sim.open(2, routeA, func() *simEntry { return e })
			is.True(c.open)
			owner := sim.agentOf(c)
			sim.restartAllProcesses()
			sim.advance(simDisrupted) // agents of the other service are waited for then
			upstreams := sim.recordUpstreams()
			var held []func()
			relays, direct := 0, 0
			e.router.observe = func(d Decision) {
				if d.Kind == DecisionProbeRelay && d.Reason == "unanswered" {
					direct += d.Tries
				}
			}
			e.router.out = &relayFilter{Outbox: e, filter: func(to flow.Endpoint, m *Message) bool {
				relays++
				is.True(to != owner.addr) // the case in which the relay itself is the owner is another one
				copied := *m
				copied.Packet = bytes.Clone(m.Packet)
				if tt.late {
					held = append(held, func() { e.SendMessage(to, &copied) })
				}
				if tt.dies && relays == 1 {
					i := slices.IndexFunc(sim.agents, func(a *simAgent) bool { return a.addr == to })
					sim.agents[i].removed = true // it stays in the views
				}
				return tt.dies
			}}
			packet := makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 900)
			c.undelivered++
			sim.send(e, bytes.Clone(packet))
			sim.deliverAll()
			is.Equal(relays, 1) // of the local zone
			is.True(c.undelivered > 0)
			sim.advance(late)
			for _, deliver := range held {
				deliver()
			}
			sim.deliverAll()
			start := sim.now
			for sim.now.Sub(start) < 2*time.Second && c.undelivered > 0 {
				sim.advance(tickPeriod)
			}
			t.Logf("delivered after %v, %d relays", late+sim.now.Sub(start), relays)
			is.Equal(c.undelivered, 0)
			is.True(!c.reset)
			is.True(relays <= len(zoneNames)) // agents that were named once are probed directly
			is.Equal(direct > 0, !tt.late)
			for a, u := range upstreams {
				is.True(a.service == "alpha" || len(u.packets) == 0)
				if a != owner {
					is.True(len(u.packets) <= 1)
				}
				for _, p := range u.packets {
					is.Equal(p, packet) // as its caller wrote it
				}
			}
		})
	}
}

// Upstreams that hang return nothing, so their agents can't deny the flow and the search
// is repeated. Each may receive two packets of it within 2 s at most, also when relays
// deliver them late.
func TestHungUpstreamsReceiveFewProbes(t *testing.T) {
	for _, late := range []time.Duration{0, lookupTimeout + tickPeriod} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t.Fatalf, 1, 36)
			e := sim.entries[0]
			c := sim.open(1, routeA, func() *simEntry { return e })
			sim.restartAllProcesses()
			for _, a := range sim.agents {
				a.upstream.down = true
			}
			upstreams := sim.recordUpstreams()
			type heldRelay struct {
				due    time.Time
				to     flow.Endpoint
				packet Message
			}
			var held []heldRelay
			e.router.out = &relayFilter{Outbox: e, filter: func(to flow.Endpoint, m *Message) bool {
				copied := *m
				copied.Packet = bytes.Clone(m.Packet)
				held = append(held, heldRelay{sim.now.Add(late), to, copied})
				return false
			}}
			for i := range 160 { // 4 s, with a packet of the caller every 200 ms
				if i%8 == 0 {
					sim.send(e, makePacket(c.key.Caller(), c.key.Route(), 16, 8, c.seq+1, 900))
				}
				sim.deliverAll()
				held = slices.DeleteFunc(held, func(h heldRelay) bool {
					if sim.now.Before(h.due) {
						return false
					}
					e.SendMessage(h.to, &h.packet)
					return true
				})
				sim.deliverAll()
				sim.advance(tickPeriod)
			}
			probed := 0
			for _, u := range upstreams {
				for i, at := range u.times {
					probed++
					if i >= 2 {
						is.True(at.Sub(u.times[i-2]) >= 2*time.Second)
					}
				}
			}
			is.True(probed > 24) // the searches were repeated
		})
	}
}

// For any number of agents and size of the packet, every agent receives one probe, no
// relay message exceeds an Ethernet frame or names its receiver, and no more relays are
// used than that takes.
func TestPlannedProbesCoverAllAgents(t *testing.T) {
	ring := testRing()
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		n := rapid.IntRange(0, 200).Draw(t, "agents")
		size := rapid.IntRange(36, 1236).Draw(t, "packet")
		var agents []flow.Endpoint
		for i := range n {
			agents = append(agents, flow.EndpointOf(addrOf(2, i)))
		}
		plan := planProbes(agents, size, rapid.Uint64().Draw(t, "seed"))
		var probed []flow.Endpoint
		for _, p := range plan {
			m := Message{Kind: KindProbeRelay, Agents: p.others, Packet: make([]byte, size)}
			is.True(len(m.Append(nil, ring)) < 1472)
			is.True(len(p.others) <= maxRelayedProbes)
			probed = append(append(probed, p.to), p.others...)
		}
		slices.SortFunc(probed, flow.Endpoint.Compare)
		is.True(slices.Equal(probed, agents))
		if size <= 936 {
			is.Equal(len(plan), (n+maxRelayedProbes)/(maxRelayedProbes+1))
		}
	})
}

// The address of an agent may be taken over by one of another service between its reply
// and its probe (scenario reuse of addresses). It is not named to a relay any more.
func TestRelaysAreGivenAgentsOfTheRouteOnly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t.Fatalf, 1, 36)
	e := sim.entries[0]
	sim.restartAllProcesses()
	traffic := &probeTraffic{Outbox: e}
	e.router.out = &relayFilter{Outbox: traffic, filter: func(flow.Endpoint, *Message) bool {
		v := *e.router.view
		v.Owners = maps.Clone(v.Owners)
		for addr, o := range v.Owners {
			if o.Zone == "z2" && addr.Compare(flow.EndpointOf(addrOf(2, 18))) < 0 {
				o.Service = "beta"
				v.Owners[addr] = o
			}
		}
		e.router.SetView(sim.now, &v)
		return true
	}}
	sim.send(e, makePacket(sampleKey.Caller(), sampleKey.Route(), 16, 8, 9, 100))
	sim.deliverAll()
	sim.advance(100 * time.Millisecond)
	is.Equal(len(traffic.relays), 2) // one in each zone
	is.Equal(len(traffic.relays[0].Agents), 11)
	is.Equal(len(traffic.relays[1].Agents), 5)
	for _, m := range traffic.relays {
		is.Equal(m.Meta.Service, config.ServiceHash("alpha"))
		for _, agent := range m.Agents {
			is.Equal(e.router.view.Owners[agent].Service, "alpha")
		}
	}
}

// A zone out of service holds few flows, so it is probed last even if it is the entry's.
// Small zones are probed without a relay.
func TestZonesOutAreProbedLast(t *testing.T) {
	for name, tt := range map[string]struct {
		out  bool
		want []string
	}{
		"in service":     {false, []string{"z1", "z2"}},
		"out of service": {true, []string{"z2", "z1"}},
	} {
		for _, agents := range []int{12, 36} {
			t.Run(fmt.Sprint(name, " ", agents), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t.Fatalf, 1, agents)
				e := sim.entries[0]
				sim.fleet.ZonesOut["z1"] = tt.out
				sim.restartAllProcesses()
				out := &packetCounter{Outbox: e, to: map[flow.Endpoint]int{}}
				traffic := &probeTraffic{Outbox: out}
				e.router.out = traffic
				var zones []string
				for _, a := range sim.agents {
					a.tracker.Out = &probedZone{TrackerOutbox: a, zone: a.zone, zones: &zones}
				}
				sim.send(e, makePacket(sampleKey.Caller(), sampleKey.Route(), 16, 8, 9, 100))
				sim.deliverAll()
				sim.advance(100 * time.Millisecond)
				is.Equal(slices.Compact(zones), tt.want)
				is.Equal(len(traffic.relays) > 0, agents > 12)
			})
		}
	}
}

// probedZone records the zones whose upstreams receive packets.
type probedZone struct {
	TrackerOutbox
	zone  string
	zones *[]string
}

func (p *probedZone) ToUpstream(packet []byte) {
	*p.zones = append(*p.zones, p.zone)
	p.TrackerOutbox.ToUpstream(packet)
}
