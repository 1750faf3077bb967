package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// policy is how a simulated baseline assigns requests to upstreams.
type policy uint8

// Policies of the baselines.
const (
	policyCentral   policy = iota // one queue; the upstream with a free slot and the least busy time so far
	policyHash                    // a fixed upstream for each flow, queues at the upstreams
	policyTwoRandom               // the less loaded of two random upstreams, queues at the upstreams
)

var policyNames = map[policy]string{
	policyCentral:   "central-queue",
	policyHash:      "plain-hash",
	policyTwoRandom: "two-random",
}

// simUpstream is one simulated upstream.
type simUpstream struct {
	slots, busy, queued int
	speed               float64
	windowBusyTime      float64 // slot seconds in the current window
	totalBusyTime       float64 // slot seconds since the start
	updated             float64 // time up to which the busy times are counted
}

func (n *simUpstream) load() float64 { return float64(n.busy+n.queued) / float64(n.slots) }

func (n *simUpstream) advance(now float64) {
	n.windowBusyTime += float64(n.busy) * (now - n.updated)
	n.totalBusyTime += float64(n.busy) * (now - n.updated)
	n.updated = now
}

// completion is the end of a simulated request.
type completion struct {
	at       float64
	upstream *simUpstream
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation assigns Poisson arrivals with exponential work to a service's
// upstreams, without network delay and without refusals.
type simulation struct {
	policy    policy
	service   *Service
	rnd       *rand.Rand
	upstreams []*simUpstream
	running   completions
	waiting   int // in the central queue
	flows     []int
}

// simulatedFlows is the number of flows per upstream that policyHash distributes.
const simulatedFlows = 100

// SimulatedImbalance is the imbalance of one policy, computed as that of the run
// itself.
type SimulatedImbalance struct {
	Windowed float64 `json:"windowed"`
	WholeRun float64 `json:"whole"`
}

// simulate runs one policy for the given simulated time.
func simulate(p policy, s *Service, load float64, length time.Duration, seed uint64) SimulatedImbalance {
	m := &simulation{policy: p, service: s, rnd: rand.New(rand.NewPCG(seed, uint64(p)))}
	for _, speed := range s.Speeds {
		m.upstreams = append(m.upstreams, &simUpstream{slots: s.Slots, speed: speed})
	}
	for range simulatedFlows * len(m.upstreams) {
		m.flows = append(m.flows, m.rnd.IntN(len(m.upstreams)))
	}
	rate := load * s.capacity()
	window := imbalanceWindow.Seconds()
	arrival := m.rnd.ExpFloat64() / rate
	var total float64
	count := 0
	wholeRun := make([]float64, len(m.upstreams))
	for end := window; end <= length.Seconds(); end += window {
		for arrival < end {
			m.completeUntil(arrival)
			m.dispatch(arrival)
			arrival += m.rnd.ExpFloat64() / rate
		}
		m.completeUntil(end)
		utilizations := m.closeWindow(end, window)
		for i, utilization := range utilizations {
			wholeRun[i] += utilization
		}
		if v, ok := maxOverMean(utilizations); ok {
			total += v
			count++
		}
	}
	out := SimulatedImbalance{Windowed: total / float64(max(1, count))}
	out.WholeRun, _ = maxOverMean(wholeRun)
	return out
}

// closeWindow returns the utilization of each upstream in the window that ends now,
// and starts the next window.
func (m *simulation) closeWindow(now, window float64) []float64 {
	utilizations := make([]float64, len(m.upstreams))
	for i, n := range m.upstreams {
		n.advance(now)
		utilizations[i] = n.windowBusyTime / window / float64(n.slots)
		n.windowBusyTime = 0
	}
	return utilizations
}

func (m *simulation) completeUntil(now float64) {
	for len(m.running) > 0 && m.running[0].at <= now {
		e := heap.Pop(&m.running).(completion)
		e.upstream.advance(e.at)
		e.upstream.busy--
		switch {
		case m.waiting > 0:
			m.waiting--
			m.startRequest(e.at, e.upstream)
		case e.upstream.queued > 0:
			e.upstream.queued--
			m.startRequest(e.at, e.upstream)
		}
	}
}

func (m *simulation) dispatch(now float64) {
	n := m.pick(now)
	switch {
	case n.busy < n.slots:
		m.startRequest(now, n)
	case m.policy == policyCentral:
		m.waiting++
	default:
		n.queued++
	}
}

func (m *simulation) pick(now float64) *simUpstream {
	switch m.policy {
	case policyHash:
		return m.upstreams[m.flows[m.rnd.IntN(len(m.flows))]]
	case policyTwoRandom:
		a, b := m.upstreams[m.rnd.IntN(len(m.upstreams))], m.upstreams[m.rnd.IntN(len(m.upstreams))]
		if b.load() < a.load() {
			return b
		}
		return a
	}
	return m.leastUsed(now)
}

// leastUsed returns the upstream with a free slot and the least busy time so far.
// All upstreams of a service have the same number of slots. It returns any upstream
// when none has a free slot.
func (m *simulation) leastUsed(now float64) *simUpstream {
	best := m.upstreams[0]
	for _, n := range m.upstreams {
		n.advance(now)
		free := n.busy < n.slots
		if free && (best.busy >= best.slots || n.totalBusyTime < best.totalBusyTime) {
			best = n
		}
	}
	return best
}

func (m *simulation) startRequest(now float64, n *simUpstream) {
	n.advance(now)
	n.busy++
	work := millis(m.service.WorkMillis).Seconds() * m.sampleWork() / n.speed
	heap.Push(&m.running, completion{at: now + m.rnd.ExpFloat64()*work, upstream: n})
}

func (m *simulation) sampleWork() float64 { return m.service.pickKind(m.rnd.Float64()).Work }

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
