package orphan

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/flow"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tick = 25 * time.Millisecond

func agentAddr(i int) flow.Endpoint {
	return flow.EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000))
}

func testFlow(i int) checkpoint.Flow {
	caller := flow.EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40_001))
	return checkpoint.Flow{Key: flow.KeyOf(caller, flow.EndpointOf(netip.MustParseAddrPort("198.18.0.1:443"))), Ack: uint32(i)}
}

func testAgents(n int) Agents {
	a := Agents{Settled: true, StartedAt: start, NeedReply: func(flow.Endpoint) bool { return true }, Near: func(flow.Endpoint) bool { return true }}
	for i := range n {
		a.All = append(a.All, agentAddr(i))
	}
	return a
}

// verify adds the flows and returns the queries of the first tick.
func verify(v *Verifier, now time.Time, a Agents, flows ...checkpoint.Flow) []Query {
	for _, f := range flows {
		v.Add(now, f)
	}
	_, queries := v.Tick(now, a)
	return queries
}

func TestFlowIsAnOrphanOnceAllAgentsDenyIt(t *testing.T) {
	is := is.New(t)
	v, a, now := New(80), testAgents(3), start.Add(time.Second)
	queries := verify(v, now, a, testFlow(1), testFlow(2))
	is.Equal(len(queries), 3)
	for _, q := range queries {
		is.Equal(len(q.Keys), 2)
		orphans, more := v.Tick(now.Add(tick), a)
		is.Equal(len(orphans)+len(more), 0) // this agent has not denied them
		v.Denied(q.Agent, q.Keys)
	}
	orphans, _ := v.Tick(now.Add(tick), a)
	is.Equal(orphans, []Orphan{{testFlow(1), now}, {testFlow(2), now}})
	is.Equal(v.Len(), 0)
}

// What keeps a flow from being reset: each of these would reset an open flow otherwise.
func TestFlowWithoutProofIsNoOrphan(t *testing.T) {
	now := start.Add(time.Second)
	cases := map[string]func(v *Verifier, a *Agents, queries []Query){
		"an agent may own it": func(v *Verifier, a *Agents, queries []Query) {
			v.Drop(testFlow(1).Key)
			for _, q := range queries {
				v.Denied(q.Agent, q.Keys)
			}
		},
		"an agent denies other flows only": func(v *Verifier, _ *Agents, queries []Query) {
			for _, q := range queries {
				v.Denied(q.Agent, []flow.Key{testFlow(9).Key})
			}
		},
		"an agent denies it twice": func(v *Verifier, _ *Agents, queries []Query) {
			v.Denied(queries[0].Agent, queries[0].Keys)
			v.Denied(queries[0].Agent, queries[0].Keys)
		},
		"an agent is missing": func(v *Verifier, a *Agents, queries []Query) {
			for _, q := range queries {
				v.Denied(q.Agent, q.Keys)
			}
			a.All = append(slices.Clone(a.All), agentAddr(7))
		},
		"an agent has restarted since it answered": func(v *Verifier, a *Agents, queries []Query) {
			for _, q := range queries {
				v.Denied(q.Agent, q.Keys)
			}
			a.StartedAt = now
		},
		"the set of agents is incomplete": func(v *Verifier, a *Agents, queries []Query) {
			for _, q := range queries {
				v.Denied(q.Agent, q.Keys)
			}
			a.Settled = false
		},
		"no agent is known": func(_ *Verifier, a *Agents, _ []Query) { a.All = nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			v, a := New(80), testAgents(2)
			change(v, &a, verify(v, now, a, testFlow(1)))
			orphans, _ := v.Tick(now.Add(tick), a)
			is.New(t).Equal(len(orphans), 0)
		})
	}
}

// A datagram is lost, or an agent restarts: it is asked again, the others are not.
func TestMissingAnswersAreAskedForAgain(t *testing.T) {
	is := is.New(t)
	v, a, now := New(80), testAgents(3), start.Add(time.Second)
	queries := verify(v, now, a, testFlow(1))
	v.Denied(queries[0].Agent, queries[0].Keys)
	v.Denied(queries[1].Agent, queries[1].Keys)
	_, again := v.Tick(now.Add(repeatInterval-tick), a)
	is.Equal(len(again), 0)
	_, again = v.Tick(now.Add(repeatInterval), a)
	is.Equal(len(again), 1)
	is.Equal(again[0].Agent, queries[2].Agent)

	a.StartedAt = now.Add(repeatInterval + tick) // an answer of a process before is void
	orphans, again := v.Tick(now.Add(repeatInterval+2*tick), a)
	is.Equal(len(orphans), 0)
	is.Equal(len(again), 3)
}

// After all processes were killed while the upstreams live, each agent answers that it may
// hold the flows: queries to all zones would be for nothing, and are billed.
func TestDistantAgentsAreQueriedAfterTheNearOnes(t *testing.T) {
	is := is.New(t)
	v, a, now := New(80), testAgents(4), start.Add(time.Second)
	a.Near = func(agent flow.Endpoint) bool { return agent == agentAddr(0) || agent == agentAddr(1) }
	queries := verify(v, now, a, testFlow(1), testFlow(2))
	is.Equal(len(queries), 2)
	v.Drop(testFlow(1).Key)
	v.Denied(agentAddr(0), queries[0].Keys)
	_, more := v.Tick(now.Add(tick), a)
	is.Equal(len(more), 0)
	v.Denied(agentAddr(1), queries[0].Keys)
	orphans, more := v.Tick(now.Add(2*tick), a)
	is.Equal(len(orphans), 0)
	is.Equal(len(more), 2) // at once
	is.Equal(more[0].Keys, []flow.Key{testFlow(2).Key})
	for _, q := range more {
		v.Denied(q.Agent, q.Keys)
	}
	orphans, _ = v.Tick(now.Add(3*tick), a)
	is.Equal(len(orphans), 1)
}

// Agents on which no upstream runs vanish again after a loss of power; no proof waits for
// them.
func TestAgentsWithoutAnUpstreamNeedNotAnswer(t *testing.T) {
	is := is.New(t)
	v, a, now := New(80), testAgents(2), start.Add(time.Second)
	a.NeedReply = func(agent flow.Endpoint) bool { return agent != agentAddr(1) }
	queries := verify(v, now, a, testFlow(1))
	is.Equal(len(queries), 1)
	v.Denied(queries[0].Agent, queries[0].Keys)
	orphans, _ := v.Tick(now.Add(tick), a)
	is.Equal(len(orphans), 1)
}

// The return of a whole fleet must not fill the links of small entries with queries.
func TestQueriesOfATickAreBounded(t *testing.T) {
	for _, agents := range []int{6, 49, 500} {
		is := is.New(t)
		v, a, now := New(80), testAgents(agents), start.Add(time.Second)
		for i := range 1000 {
			v.Add(now, testFlow(i))
		}
		orphans := 0
		for range 200 {
			concluded, queries := v.Tick(now, a)
			orphans += len(concluded)
			is.True(len(queries) <= maxDatagrams)
			for _, q := range queries {
				is.True(len(q.Keys) <= 80)
				v.Denied(q.Agent, q.Keys)
			}
			now = now.Add(tick)
		}
		is.Equal(orphans, 1000) // within five seconds
	}
}

// A flow whose proof does not come, as while an agent stays away, is given up: the caller
// has used or closed it meanwhile.
func TestFlowsWithoutAnAnswerAreGivenUp(t *testing.T) {
	is := is.New(t)
	v, a, now := New(80), testAgents(2), start.Add(time.Second)
	v.Add(now, testFlow(1))
	for range int(candidateTTL/tick) + 2 {
		orphans, _ := v.Tick(now, a)
		is.Equal(len(orphans), 0)
		now = now.Add(tick)
	}
	is.Equal(v.Len(), 0)
	is.Equal(len(v.batches), 0)
}

// Under any order of answers, losses, repeats and restarts, a flow is called an orphan only
// if each agent, in its present process, denied it.
func TestOrphansAreDeniedByAllAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, a, now := New(rapid.IntRange(1, 4).Draw(t, "batch")), testAgents(rapid.IntRange(1, 4).Draw(t, "agents")), start.Add(time.Second)
		near := rapid.IntRange(0, 4).Draw(t, "near")
		a.Near = func(agent flow.Endpoint) bool { return slices.Index(a.All, agent) < near }
		incarnation := map[flow.Endpoint]int{}
		owner := map[flow.Key]flow.Endpoint{}
		denied := map[flow.Key]map[flow.Endpoint]int{} // incarnation that denied the flow last
		var pending []Query
		answer := func(q Query) {
			var keys []flow.Key
			for _, k := range q.Keys {
				if owner[k] == q.Agent {
					v.Drop(k)
					continue
				}
				keys = append(keys, k)
				if denied[k] == nil {
					denied[k] = map[flow.Endpoint]int{}
				}
				denied[k][q.Agent] = incarnation[q.Agent] + 1
			}
			v.Denied(q.Agent, keys)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				f := testFlow(rapid.IntRange(0, 9).Draw(t, "flow"))
				if _, known := owner[f.Key]; !known {
					// The entry recognizes a flow that is opened again, not the verifier.
					owner[f.Key] = rapid.SampledFrom(append(slices.Clone(a.All), flow.Endpoint{})).Draw(t, "owner")
				}
				v.Add(now, f)
			},
			"answer": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no query")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "query")
				answer(pending[i])
				if rapid.Bool().Draw(t, "once") {
					pending = slices.Delete(pending, i, i+1)
				}
			},
			"restart": func(t *rapid.T) {
				agent := rapid.SampledFrom(a.All).Draw(t, "agent")
				incarnation[agent]++
				a.StartedAt = now
				pending = slices.DeleteFunc(pending, func(q Query) bool { return q.Agent == agent })
			},
			"lose": func(*rapid.T) { pending = nil },
			"tick": func(t *rapid.T) {
				now = now.Add(tick * time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")))
				orphans, queries := v.Tick(now, a)
				pending = append(pending, queries...)
				for _, o := range orphans {
					for _, agent := range a.All {
						if owner[o.Key] == agent || denied[o.Key][agent] != incarnation[agent]+1 {
							t.Fatalf("flow %s is no orphan: agent %s", o.Key, agent)
						}
					}
				}
			},
		})
	})
}
