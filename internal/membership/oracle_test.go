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
	// convergenceTimeout is the time after the end of all faults within which
	// all views must be equal.
	convergenceTimeout = 90 * time.Second
)

func TestMain(m *testing.M) {
	seed := os.Getenv("CROCUS_SEED")
	if seed == "" {
		seed = oracleSeed
	}
	flag.Parse()
	mustSetFlag("rapid.seed", seed)
	mustSetFlag("rapid.shrinktime", "5s")
	if flag.Lookup("rapid.checks").Value.String() == flag.Lookup("rapid.checks").DefValue {
		mustSetFlag("rapid.checks", oracleChecks)
	}
	os.Exit(m.Run())
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// reportedSubject is the last state that one core reported of one subject.
type reportedSubject struct {
	incarnation uint64
	final       bool
}

// oracle checks invariants that hold under all network faults.
type oracle struct {
	s         *sim
	subjects  map[*Core]map[netip.AddrPort]reportedSubject
	revisions map[*Core]map[config.ID]uint64
	objects   map[config.ID]uint64 // highest revision in the store
	revision  uint64
}

func newOracle(s *sim) *oracle {
	return &oracle{
		s: s, subjects: map[*Core]map[netip.AddrPort]reportedSubject{}, revisions: map[*Core]map[config.ID]uint64{},
		objects: map[config.ID]uint64{},
	}
}

// check compares every core's state with its previous one.
func (o *oracle) check(t *rapid.T) {
	for _, n := range o.s.nodes {
		known := o.subjects[n.core]
		if known == nil {
			known = map[netip.AddrPort]reportedSubject{}
			o.subjects[n.core] = known
			o.revisions[n.core] = map[config.ID]uint64{}
		}
		for i := range n.core.table.buckets {
			for a, m := range n.core.table.buckets[i] {
				before := known[a]
				if m.Incarnation < before.incarnation {
					t.Fatalf("%s: incarnation of %s decreased from %d to %d", n.core.self.Addr, a, before.incarnation, m.Incarnation)
				}
				if m.Incarnation == before.incarnation && before.final && !m.State.Final() {
					t.Fatalf("%s: final incarnation of %s became alive again", n.core.self.Addr, a)
				}
				if truth := o.s.byAddr[a].core.self.Incarnation; m.Incarnation > truth {
					t.Fatalf("%s: incarnation %d of %s was never announced", n.core.self.Addr, m.Incarnation, a)
				}
				known[a] = reportedSubject{incarnation: m.Incarnation, final: m.State.Final()}
			}
		}
		for id := range o.objects {
			revision := n.core.objects.revision(id)
			if revision < o.revisions[n.core][id] {
				t.Fatalf("%s: %s decreased to revision %d", n.core.self.Addr, id.Name, revision)
			}
			o.revisions[n.core][id] = revision
		}
	}
}

// checkConverged checks that all running processes have the same view.
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
	actual := other.core.self
	view := n.core.table.get(actual.Addr)
	if !other.up {
		if view != nil && view.State < StateSuspect {
			t.Fatalf("%s has %s as %s, but it is not running", n.core.self.Addr, actual.Addr, view.State)
		}
		return
	}
	if !n.core.shouldStore(&actual) || n.core.self.Role == RoleAgent && actual.Role == RoleEntry {
		return
	}
	if view == nil || view.Record != actual {
		t.Fatalf("%s has %s as %s, want %s", n.core.self.Addr, actual.Addr, describe(view), describe(&member{Record: actual}))
	}
}

func describe(m *member) string {
	if m == nil {
		return "unknown"
	}
	return fmt.Sprintf("%s incarnation %d version %d", m.State, m.Incarnation, m.Version)
}

// publish writes a new revision to the store, and one running entry reads it at
// once. If that entry stops before spreading it, others read it later.
func (o *oracle) publish(t *rapid.T) {
	o.revision++
	zone := rapid.IntRange(1, 3).Draw(t, "zone")
	object := testObject(fmt.Sprintf("z%d", zone), uint8(zone), o.revision, o.revision%2 == 0)
	o.objects[object.ID()] = o.revision
	o.s.store[object.ID()] = object
	for _, n := range o.s.nodes {
		if o.s.running(n) && n.core.self.Role == RoleEntry {
			n.core.Merge(o.s.clock(n), nil, []config.Object{object})
			o.s.collect(n)
			return
		}
	}
}

func TestViewsConvergeAndDeadIncarnationsStayDead(t *testing.T) {
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
				pick(t).pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			},
			"skew": func(t *rapid.T) {
				pick(t).clockSkew += time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond
			},
			"update": func(t *rapid.T) {
				n := pick(t)
				if s.running(n) {
					n.core.Update(s.clock(n), func(r *Record) { r.Slots++ })
					s.collect(n)
				}
			},
			"publish": func(t *rapid.T) { o.publish(t) },
			"network": func(t *rapid.T) {
				s.lossRate = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				s.duplicationRate = rapid.Float64Range(0, 0.4).Draw(t, "doubles")
				s.maxExtraDelay = time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond
			},
			"cut": func(t *rapid.T) {
				zone, oneWay := uint8(rapid.IntRange(1, 3).Draw(t, "zone")), rapid.Bool().Draw(t, "one way")
				s.blocked = func(from, to *simNode) bool {
					out := from.core.self.Zone == zone && to.core.self.Zone != zone
					return out || !oneWay && from.core.self.Zone != zone && to.core.self.Zone == zone
				}
			},
			"heal": func(*rapid.T) { s.blocked = nil },
		})
		s.lossRate, s.duplicationRate, s.maxExtraDelay, s.blocked = 0, 0, 0, nil
		if !hasRunningEntry(s) {
			s.restart(s.nodes[0])
		}
		s.run(31 * time.Second) // the longest pause ends
		s.run(convergenceTimeout)
		o.check(t)
		o.checkConverged(t)
	})
}

func hasRunningEntry(s *sim) bool {
	for _, n := range s.nodes {
		if n.up && n.core.self.Role == RoleEntry {
			return true
		}
	}
	return false
}
