// Package orphan finds out which of the flows that may have lost their upstream have lost
// it, without a packet of their callers: each agent that could hold a flow is queried, and
// only the denial of all of them is a proof. It does no I/O; callers pass in the time.
package orphan

import (
	"maps"
	"slices"
	"time"

	"crocusnotch/internal/checkpoint"
	"crocusnotch/internal/flow"
)

const (
	// repeatInterval is the time after which agents that have not answered are
	// queried again.
	repeatInterval = 300 * time.Millisecond
	// candidateTTL is how long a flow waits for its proof. Its caller has used or closed
	// it by then, or will find out by its next request.
	candidateTTL = 10 * time.Second
	// maxDatagrams is the largest number of queries in a tick, each with a reply: a third of
	// what fills a link of 10 Mbit/s in 25 ms.
	maxDatagrams = 80
)

// Agents is what an entry knows of the agents when it calls Tick.
type Agents struct {
	All       []flow.Endpoint          // that may own flows
	NeedReply func(flow.Endpoint) bool // false for agents that are known to own none
	// Near reports whether queries to the agent are cheap. The others are queried once the
	// near ones have denied a batch: where upstreams live, an early answer ends the attempt.
	Near      func(flow.Endpoint) bool
	Settled   bool      // All is complete
	StartedAt time.Time // when the last new or restarted agent was added
}

// Query is a query to an agent whether it owns the flows.
type Query struct {
	Agent flow.Endpoint
	Keys  []flow.Key
	batch *batch
}

// Orphan is a flow that no agent owned at any time after Since.
type Orphan struct {
	checkpoint.Flow
	Since time.Time
}

// candidate is a flow that waits for its batch.
type candidate struct {
	checkpoint.Flow
	addedAt time.Time
}

// batch is a group of flows about which all agents are queried at once.
type batch struct {
	flows     map[flow.Key]candidate
	answered  map[flow.Endpoint]bool // agents that denied them all
	startedAt time.Time              // when the agents were first queried
	queriedAt time.Time              // when the agents without an answer were last queried
	nearDone  bool                   // the near agents have denied them, and all are queried
}

// Verifier queries agents about candidates in batches. It is not safe for concurrent use. Use New.
type Verifier struct {
	batchSize int
	waiting   map[flow.Key]candidate
	batches   []*batch
	queries   []Query // not sent yet
}

// New returns a verifier with batchSize flows in a query.
func New(batchSize int) *Verifier {
	return &Verifier{batchSize: batchSize, waiting: map[flow.Key]candidate{}}
}

// Add adds a flow that may have lost its upstream, unless it waits for its proof already.
func (v *Verifier) Add(now time.Time, f checkpoint.Flow) {
	if v.find(f.Key) == nil {
		v.waiting[f.Key] = candidate{Flow: f, addedAt: now}
	}
}

// Len returns the number of flows that wait for their proof.
func (v *Verifier) Len() int {
	n := len(v.waiting)
	for _, b := range v.batches {
		n += len(b.flows)
	}
	return n
}

// Clear removes all flows.
func (v *Verifier) Clear() { *v = *New(v.batchSize) }

// find returns the batch that contains the flow, or nil.
func (v *Verifier) find(k flow.Key) *batch {
	for _, b := range v.batches {
		if _, ok := b.flows[k]; ok {
			return b
		}
	}
	return nil
}

// Denied handles an answer in which an agent denies that it owns the flows. It counts for
// a batch if it denies all that are left of it: an answer to a query about other flows
// may name a few of them too.
func (v *Verifier) Denied(agent flow.Endpoint, keys []flow.Key) {
	denied := make(map[flow.Key]bool, len(keys))
	for _, k := range keys {
		denied[k] = true
	}
	for _, b := range v.batches {
		if !b.answered[agent] && b.allDenied(denied) {
			b.answered[agent] = true
		}
	}
}

func (b *batch) allDenied(denied map[flow.Key]bool) bool {
	for k := range b.flows {
		if !denied[k] {
			return false
		}
	}
	return true
}

// Drop removes a flow, since an agent may own it.
func (v *Verifier) Drop(k flow.Key) {
	delete(v.waiting, k)
	for _, b := range v.batches {
		delete(b.flows, k)
	}
}

// Tick returns the flows that are proved to have no owner and the queries to send.
func (v *Verifier) Tick(now time.Time, a Agents) (orphans []Orphan, queries []Query) {
	if !a.Settled || len(a.All) == 0 {
		return nil, nil
	}
	orphans = v.conclude(now, a)
	if len(v.queries) == 0 {
		v.repeatQueries(now, a)
		v.startBatches(now, a)
	}
	n := min(len(v.queries), maxDatagrams)
	queries, v.queries = v.queries[:n], v.queries[n:]
	for _, q := range queries {
		q.batch.queriedAt = now
	}
	return orphans, queries
}

// conclude removes the batches that all agents have answered, or that expire, and returns
// their orphans.
func (v *Verifier) conclude(now time.Time, a Agents) (orphans []Orphan) {
	v.batches = slices.DeleteFunc(v.batches, func(b *batch) bool {
		switch {
		case !b.startedAt.After(a.StartedAt):
			maps.Copy(v.waiting, b.flows) // an agent that was not queried may own them
			return true
		case b.expired(now): // or empty
			return true
		case len(b.missing(a, false)) > 0:
			return false
		}
		orphans = append(orphans, b.orphans()...)
		return true
	})
	v.queries = slices.DeleteFunc(v.queries, func(q Query) bool { return !slices.Contains(v.batches, q.batch) })
	return orphans
}

func (v *Verifier) repeatQueries(now time.Time, a Agents) {
	for _, b := range v.batches {
		nearDone := b.nearDone || len(b.missing(a, true)) == 0
		if nearDone != b.nearDone || now.Sub(b.queriedAt) >= repeatInterval {
			b.nearDone = nearDone
			v.enqueue(b, a)
		}
	}
}

// startBatches forms batches of as many waiting flows as fit into a tick, one at least.
func (v *Verifier) startBatches(now time.Time, a Agents) {
	maps.DeleteFunc(v.waiting, func(_ flow.Key, c candidate) bool { return now.Sub(c.addedAt) > candidateTTL })
	keys := slices.SortedFunc(maps.Keys(v.waiting), flow.Key.Compare)
	for keys := range slices.Chunk(keys, v.batchSize) {
		if len(v.queries) > 0 && len(v.queries)+len(a.All) > maxDatagrams {
			break
		}
		b := &batch{flows: map[flow.Key]candidate{}, answered: map[flow.Endpoint]bool{}, startedAt: now}
		b.nearDone = len(b.missing(a, true)) == 0
		for _, k := range keys {
			b.flows[k] = v.waiting[k]
			delete(v.waiting, k)
		}
		v.batches = append(v.batches, b)
		v.enqueue(b, a)
	}
}

// enqueue queues queries to the agents that have not answered about the batch, only the
// near ones at first.
func (v *Verifier) enqueue(b *batch, a Agents) {
	keys := b.keys()
	for _, agent := range b.missing(a, !b.nearDone) {
		v.queries = append(v.queries, Query{Agent: agent, Keys: keys, batch: b})
	}
}

// missing returns the agents, or only the near ones, whose answers are missing.
func (b *batch) missing(a Agents, near bool) []flow.Endpoint {
	var out []flow.Endpoint
	for _, agent := range a.All {
		if !b.answered[agent] && a.NeedReply(agent) && (!near || a.Near(agent)) {
			out = append(out, agent)
		}
	}
	return out
}

func (b *batch) expired(now time.Time) bool {
	for _, c := range b.flows {
		if now.Sub(c.addedAt) <= candidateTTL {
			return false
		}
	}
	return true
}

func (b *batch) keys() []flow.Key { return slices.SortedFunc(maps.Keys(b.flows), flow.Key.Compare) }

func (b *batch) orphans() []Orphan {
	var out []Orphan
	for _, k := range b.keys() {
		out = append(out, Orphan{Flow: b.flows[k].Flow, Since: b.startedAt})
	}
	return out
}
