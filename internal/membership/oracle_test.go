package membership

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusnotch/internal/config"
)

const (
	oracleSeed   = "1"
	oracleChecks = "40"
	// convergence bounds the time from the end of all faults to equal views.
	convergence = 90 * time.Second
)

func TestMain(m *testing.M) {
	seed := os.Getenv("CROCUS_SEED")
	if seed == "" {
		seed = oracleSeed
	}
	flag.Parse()
	mustSet("rapid.seed", seed)
	mustSet("rapid.shrinktime", "5s")
	if flag.Lookup("rapid.checks").Value.String() == flag.Lookup("rapid.checks").DefValue {
		mustSet("rapid.checks", oracleChecks)
	}
	os.Exit(m.Run())
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// seen is the highest that one core has reported of one subject.
type seen struct {
	incarnation uint64
	final       bool
}

// oracle holds what must never happen, whatever the network does.
type oracle struct {
	s        *sim
	cores    map[*Core]map[netip.AddrPort]seen
	configs  map[*Core]map[config.ID]uint64
	objects  map[config.ID]uint64 // highest revision in the store
	revision uint64
}

func newOracle(s *sim) *oracle {
	return &oracle{
		s: s, cores: map[*Core]map[netip.AddrPort]seen{}, configs: map[*Core]map[config.ID]uint64{},
		objects: map[config.ID]uint64{},
	}
}

// check compares every core with what it reported before.
func (o *oracle) check(t *rapid.T) {
	for _, n := range o.s.nodes {
		known := o.cores[n.core]
		if known == nil {
			known = map[netip.AddrPort]seen{}
			o.cores[n.core] = known
			o.configs[n.core] = map[config.ID]uint64{}
		}
		for i := range n.core.table.buckets {
			for a, m := range n.core.table.buckets[i] {
				before := known[a]
				if m.Incarnation < before.incarnation {
					t.Fatalf("%s: incarnation of %s fell from %d to %d", n.core.self.Addr, a, before.incarnation, m.Incarnation)
				}
				if m.Incarnation == before.incarnation && before.final && !m.State.Final() {
					t.Fatalf("%s: dead incarnation of %s came back", n.core.self.Addr, a)
				}
				if truth := o.s.byAddr[a].core.self.Incarnation; m.Incarnation > truth {
					t.Fatalf("%s: incarnation %d of %s was never announced", n.core.self.Addr, m.Incarnation, a)
				}
				known[a] = seen{incarnation: m.Incarnation, final: m.State.Final()}
			}
		}
		for id := range o.objects {
			revision := n.core.objects.revision(id)
			if revision < o.configs[n.core][id] {
				t.Fatalf("%s: %s fell to revision %d", n.core.self.Addr, id.Name, revision)
			}
			o.configs[n.core][id] = revision
		}
	}
}

// checkConverged demands that all running processes see the same.
func (o *oracle) checkConverged(t *rapid.T) {
	for _, n := range o.s.nodes {
		if !n.up {
			continue
		}
		for id, revision := range o.objects {
			if got := n.core.objects.revision(id); got != revision {
				t.Fatalf("%s has revision %d of %s, want %d", n.core.self.Addr, got, id.Name, revision)
			}
		}
		for _, other := range o.s.nodes {
			if other != n {
				o.checkPair(t, n, other)
			}
		}
	}
}

func (o *oracle) checkPair(t *rapid.T, n, other *simNode) {
	truth := other.core.self
	view := n.core.table.get(truth.Addr)
	if !other.up {
		if view != nil && view.State < StateSuspect {
			t.Fatalf("%s sees %s %s, which does not run", n.core.self.Addr, truth.Addr, view.State)
		}
		return
	}
	if !n.core.shouldStore(&truth) || n.core.self.Role == RoleAgent && truth.Role == RoleEntry {
		return
	}
	if view == nil || view.Record != truth {
		t.Fatalf("%s sees %s as %s, want %s", n.core.self.Addr, truth.Addr, brief(view), brief(&member{Record: truth}))
	}
}

func brief(m *member) string {
	if m == nil {
		return "unknown"
	}
	return fmt.Sprintf("%s incarnation %d version %d", m.State, m.Incarnation, m.Version)
}

// publish writes a new revision to the store, which a running entry reads at
// once; others read it later if that one stops before it spreads it.
func (o *oracle) publish(t *rapid.T) {
	o.revision++
	zone := rapid.IntRange(1, 3).Draw(t, "zone")
	object := testObject(fmt.Sprintf("z%d", zone), uint8(zone), o.revision, o.revision%2 == 0)
	o.objects[object.ID()] = o.revision
	o.s.store[object.ID()] = object
	for _, n := range o.s.nodes {
		if o.s.runs(n) && n.core.self.Role == RoleEntry {
			n.core.Merge(o.s.clock(n), nil, []config.Object{object})
			o.s.collect(n)
			return
		}
	}
}

func TestViewsConvergeAndNothingComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"))
		o := newOracle(s)
		entries := rapid.IntRange(2, 6).Draw(t, "entries")
		agents := rapid.IntRange(1, 12).Draw(t, "agents")
		for i := range entries {
			s.add(RoleEntry, 0, uint8(1+i%3))
		}
		for i := range agents {
			s.add(RoleAgent, uint16(1+i%2), uint8(1+i%3))
		}
		s.run(10 * time.Second)
		pick := func(t *rapid.T) *simNode { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { o.check(t) },
			"wait":    func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second) },
			"kill":    func(t *rapid.T) { pick(t).up = false },
			"restart": func(t *rapid.T) { s.restart(pick(t)) },
			"pause": func(t *rapid.T) {
				pick(t).paused = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			},
			"skew": func(t *rapid.T) {
				pick(t).skew += time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond
			},
			"update": func(t *rapid.T) {
				n := pick(t)
				if s.runs(n) {
					n.core.Update(s.clock(n), func(r *Record) { r.Slots++ })
					s.collect(n)
				}
			},
			"publish": func(t *rapid.T) { o.publish(t) },
			"network": func(t *rapid.T) {
				s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				s.doubles = rapid.Float64Range(0, 0.4).Draw(t, "doubles")
				s.spread = time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond
			},
			"cut": func(t *rapid.T) {
				zone, oneWay := uint8(rapid.IntRange(1, 3).Draw(t, "zone")), rapid.Bool().Draw(t, "one way")
				s.cut = func(from, to *simNode) bool {
					out := from.core.self.Zone == zone && to.core.self.Zone != zone
					return out || !oneWay && from.core.self.Zone != zone && to.core.self.Zone == zone
				}
			},
			"heal": func(*rapid.T) { s.cut = nil },
		})
		s.loss, s.doubles, s.spread, s.cut = 0, 0, 0, nil
		if !anyEntry(s) {
			s.restart(s.nodes[0])
		}
		s.run(31 * time.Second) // the longest pause ends
		s.run(convergence)
		o.check(t)
		o.checkConverged(t)
	})
}

func anyEntry(s *sim) bool {
	for _, n := range s.nodes {
		if n.up && n.core.self.Role == RoleEntry {
			return true
		}
	}
	return false
}
