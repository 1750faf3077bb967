package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// policy is how a simulated baseline places requests.
type policy uint8

// Policies of the baselines.
const (
	policyCentral   policy = iota // one queue; the free upstream that was busy least so far
	policyHash                    // a fixed upstream for each flow, queues at the upstreams
	policyTwoRandom               // the less loaded of two random upstreams, queues at the upstreams
)

var policyNames = map[policy]string{
	policyCentral:   "central-queue",
	policyHash:      "plain-hash",
	policyTwoRandom: "two-random",
}

// node is one simulated upstream.
type node struct {
	slots, busy, queued int
	speed               float64
	busyTime            float64 // slot seconds in the present window
	used                float64 // slot seconds since the start
	last                float64
}

func (n *node) load() float64 { return float64(n.busy+n.queued) / float64(n.slots) }

func (n *node) advance(now float64) {
	n.busyTime += float64(n.busy) * (now - n.last)
	n.used += float64(n.busy) * (now - n.last)
	n.last = now
}

// ending is the end of a simulated request.
type ending struct {
	at   float64
	node *node
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation places Poisson arrivals with exponential work on a service's
// upstreams, without a network and without refusals.
type simulation struct {
	policy  policy
	service *Service
	rnd     *rand.Rand
	nodes   []*node
	running endings
	waiting int // in the central queue
	flows   []int
}

// simulatedFlows is the number of flows that policyHash spreads.
const simulatedFlows = 100

// SimulatedImbalance is the imbalance of one policy, measured as the run itself is.
type SimulatedImbalance struct {
	Windowed float64 `json:"windowed"`
	WholeRun float64 `json:"whole"`
}

// simulate runs one policy for the length of time.
func simulate(p policy, s *Service, load float64, length time.Duration, seed uint64) SimulatedImbalance {
	m := &simulation{policy: p, service: s, rnd: rand.New(rand.NewPCG(seed, uint64(p)))}
	for _, speed := range s.Speeds {
		m.nodes = append(m.nodes, &node{slots: s.Slots, speed: speed})
	}
	for range simulatedFlows * len(m.nodes) {
		m.flows = append(m.flows, m.rnd.IntN(len(m.nodes)))
	}
	rate := load * s.capacity()
	window := imbalanceWindow.Seconds()
	arrival := m.rnd.ExpFloat64() / rate
	var total float64
	count := 0
	whole := make([]float64, len(m.nodes))
	for end := window; end <= length.Seconds(); end += window {
		for arrival < end {
			m.finishUntil(arrival)
			m.place(arrival)
			arrival += m.rnd.ExpFloat64() / rate
		}
		m.finishUntil(end)
		uses := m.closeWindow(end, window)
		for i, use := range uses {
			whole[i] += use
		}
		if v, ok := maxOverMean(uses); ok {
			total += v
			count++
		}
	}
	out := SimulatedImbalance{Windowed: total / float64(max(1, count))}
	out.WholeRun, _ = maxOverMean(whole)
	return out
}

func (m *simulation) closeWindow(now, window float64) []float64 {
	uses := make([]float64, len(m.nodes))
	for i, n := range m.nodes {
		n.advance(now)
		uses[i] = n.busyTime / window / float64(n.slots)
		n.busyTime = 0
	}
	return uses
}

func (m *simulation) finishUntil(now float64) {
	for len(m.running) > 0 && m.running[0].at <= now {
		e := heap.Pop(&m.running).(ending)
		e.node.advance(e.at)
		e.node.busy--
		switch {
		case m.waiting > 0:
			m.waiting--
			m.begin(e.at, e.node)
		case e.node.queued > 0:
			e.node.queued--
			m.begin(e.at, e.node)
		}
	}
}

func (m *simulation) place(now float64) {
	n := m.choose(now)
	switch {
	case n.busy < n.slots:
		m.begin(now, n)
	case m.policy == policyCentral:
		m.waiting++
	default:
		n.queued++
	}
}

func (m *simulation) choose(now float64) *node {
	switch m.policy {
	case policyHash:
		return m.nodes[m.flows[m.rnd.IntN(len(m.flows))]]
	case policyTwoRandom:
		a, b := m.nodes[m.rnd.IntN(len(m.nodes))], m.nodes[m.rnd.IntN(len(m.nodes))]
		if b.load() < a.load() {
			return b
		}
		return a
	}
	return m.leastUsed(now)
}

// leastUsed returns the upstream with a free slot that was busy least so far,
// relative to its slots; any upstream when none has a free slot.
func (m *simulation) leastUsed(now float64) *node {
	best := m.nodes[0]
	for _, n := range m.nodes {
		n.advance(now)
		free := n.busy < n.slots
		if free && (best.busy >= best.slots || n.used < best.used) {
			best = n
		}
	}
	return best
}

func (m *simulation) begin(now float64, n *node) {
	n.advance(now)
	n.busy++
	work := millis(m.service.WorkMillis).Seconds() * m.drawWork() / n.speed
	heap.Push(&m.running, ending{at: now + m.rnd.ExpFloat64()*work, node: n})
}

func (m *simulation) drawWork() float64 { return m.service.draw(m.rnd.Float64()).Work }

// baselines returns the simulated imbalance of each policy and service.
func (s *Scenario) baselines() map[string]map[string]SimulatedImbalance {
	out := map[string]map[string]SimulatedImbalance{}
	for p, name := range policyNames {
		out[name] = map[string]SimulatedImbalance{}
		for i := range s.Services {
			out[name][s.Services[i].Name] = simulate(p, &s.Services[i], s.LoadFactor, s.duration(), s.Seed)
		}
	}
	return out
}
