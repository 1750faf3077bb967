package request

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusnotch/internal/admission"
)

var stepsTried int

// TestInvariants runs random steps of agents, network, upstreams and callers.
// rapid draws the steps from the sorted names, so a renamed step changes what a
// seed produces.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"call":     func(t *rapid.T) { w.call(t, rapid.Bool().Draw(t, "once")) },
			"call2":    func(t *rapid.T) { w.call(t, true) },
			"retry":    w.retry,
			"retry2":   w.retry,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"deliver3": w.deliver,
			"flood":    w.deliverAll,
			"double":   w.duplicate,
			"lose":     w.drop,
			"break":    w.abort,
			"end":      w.endRun,
			"end2":     w.endRun,
			"cancel":   w.cancel,
			"report":   w.report,
			"report2":  w.report,
			"wait":     w.wait,
			"crash":    w.crash,
			"pause":    w.pause,
			"upstream": w.changeUpstream,
			"operator": w.operate,
			"":         func(*rapid.T) { stepsTried++ },
		})
		w.settle()
	})
	t.Logf("steps tried: %d", stepsTried)
}

func drawIndex(t *rapid.T, name string, n int) int {
	if n == 0 {
		t.Skip(name)
	}
	return rapid.IntRange(0, n-1).Draw(t, name)
}

func (w *simulation) anyAgent(t *rapid.T) *agent {
	return w.agents[drawIndex(t, "agent", len(w.agents))]
}

// call sends the first attempt of a new request.
func (w *simulation) call(t *rapid.T, runOnce bool) {
	a := w.anyAgent(t)
	r := &agentRequest{Request: Request{Class: simBulkClass, Deadline: w.now.Add(simBulkClass.Deadline())}}
	if runOnce {
		c := &caller{key: strconv.Itoa(len(w.callers)), attempt: 1}
		w.callers = append(w.callers, c)
		r = w.attempt(c)
	}
	w.send("call", func() { w.submit(a, r) })
	w.deliverAt(len(w.net) - 1)
}

func (w *simulation) attempt(c *caller) *agentRequest {
	return &agentRequest{caller: c, Request: Request{
		Key: c.key, Class: simOnceClass, Deadline: w.now.Add(simOnceClass.Deadline()),
		Attempt: c.attempt, Owner: c.owner,
	}}
}

// retry sends the next attempt of one of the last callers, even if the previous
// attempt has not ended.
func (w *simulation) retry(t *rapid.T) {
	back := drawIndex(t, "caller", min(4, len(w.callers)))
	c := w.callers[len(w.callers)-1-back]
	c.attempt++
	a, r := w.anyAgent(t), w.attempt(c)
	w.send("call", func() { w.submit(a, r) })
	if rapid.Bool().Draw(t, "at once") {
		w.deliverAt(len(w.net) - 1)
	}
}

func (w *simulation) deliverAt(i int) {
	m := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	m.deliver()
}

func (w *simulation) deliver(t *rapid.T) { w.deliverAt(drawIndex(t, "message", len(w.net))) }

// deliverAll delivers the messages in flight and those that they cause, up to a
// limit.
func (w *simulation) deliverAll(*rapid.T) {
	for range 200 {
		if len(w.net) == 0 {
			return
		}
		w.deliverAt(0)
	}
}

func (w *simulation) duplicate(t *rapid.T) {
	m := w.net[drawIndex(t, "message", len(w.net))]
	if !m.local && m.name != "call" {
		w.net = append(w.net, m)
	}
}

func (w *simulation) drop(t *rapid.T) {
	i := drawIndex(t, "message", len(w.net))
	if !w.net[i].local && w.net[i].name != "call" {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
}

// abort fails a relay or a query at the sender only; its messages in flight may
// still arrive.
func (w *simulation) abort(t *rapid.T) {
	a := w.anyAgent(t)
	for id := ID(1); id <= w.nextID; id++ {
		if peer, ok := a.relays[id]; ok {
			w.endRelay(a, id, peer, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
			return
		}
		if q, ok := a.queries[id]; ok {
			w.endQuery(a, id, q, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
			return
		}
	}
	t.Skip("no relay or query to abort")
}

func (w *simulation) endRun(t *rapid.T) {
	a := w.anyAgent(t)
	i := drawIndex(t, "run", len(a.runs))
	kind := rapid.IntRange(0, 9).Draw(t, "how")
	w.finishRun(a, i, kind)
}

func (w *simulation) finishRun(a *agent, i, kind int) {
	id := a.runs[i]
	a.runs = append(a.runs[:i:i], a.runs[i+1:]...)
	result := Result{Outcome: OutcomeRan, Status: 200, Response: responseFor(a.requests[id])}
	switch kind {
	case 0:
		result = Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed}
	case 1:
		result = Result{Outcome: OutcomeUnknown, Reason: ReasonTruncated, Forwarded: true}
	case 2:
		result.Status = 500
	}
	w.sendLocal(a, "run end", func() []Action { return a.engine.UpstreamDone(w.now, id, result) })
	w.deliverAt(len(w.net) - 1)
}

func (w *simulation) cancel(t *rapid.T) {
	a := w.anyAgent(t)
	id := ID(drawIndex(t, "request", int(w.nextID)) + 1)
	if a.requests[id] == nil {
		t.Skip("the request is at another agent")
	}
	w.event(a, func() []Action { return a.engine.Cancelled(w.now, id) })
}

// report sends the load report of an agent to all agents.
func (w *simulation) report(t *rapid.T) {
	a := w.anyAgent(t)
	r := LoadReport{Peer: a.engine.SelfAt(w.now), Load: a.engine.Load()}
	for _, other := range w.agents {
		w.send("report", func() {
			w.event(other, func() []Action { return other.engine.UpdatePeerLoad(w.now, r) })
		})
		if rapid.Bool().Draw(t, "at once") {
			w.deliverAt(len(w.net) - 1)
		}
	}
}

func (w *simulation) wait(t *rapid.T) {
	span := rapid.SampledFrom([]int{1, 10, 60, 400, 1500, 5000}).Draw(t, "milliseconds")
	w.advance(time.Duration(span) * time.Millisecond)
}

// advance advances the time and fires due timers.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		if at, ok := a.engine.NextTick(); ok && !at.After(w.now) {
			w.event(a, func() []Action { return a.engine.Tick(w.now) })
		}
	}
}

// crash restarts an agent with empty state; its callers lose their streams.
func (w *simulation) crash(t *rapid.T) {
	a := w.anyAgent(t)
	for id, at := range w.pending {
		if at == a {
			delete(w.pending, id)
		}
	}
	w.boot(a)
}

func (w *simulation) pause(t *rapid.T) {
	a := w.anyAgent(t)
	if !a.paused {
		a.paused = true
		return
	}
	w.resume(a)
}

func (w *simulation) resume(a *agent) {
	a.paused = false
	events := a.pausedEvents
	a.pausedEvents = nil
	for _, f := range events {
		f()
	}
}

func (w *simulation) changeUpstream(t *rapid.T) {
	a := w.anyAgent(t)
	if rapid.Bool().Draw(t, "unannounced cold start") {
		a.unannouncedCold = true
		return
	}
	states := []admission.State{
		admission.StateCold, admission.StateWarm, admission.StateWarm, admission.StateLeaving, admission.StateNone,
	}
	w.announce(a, rapid.SampledFrom(states).Draw(t, "state"))
}

func (w *simulation) operate(t *rapid.T) {
	a := w.anyAgent(t)
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		w.event(a, func() []Action { return a.engine.Drain(w.now) })
	case 1:
		w.event(a, func() []Action { return a.engine.SetZoneOut(w.now, true) })
	default:
		w.event(a, func() []Action { return a.engine.SetZoneOut(w.now, false) })
	}
}

// settle completes all requests and checks that each got an outcome.
func (w *simulation) settle() {
	for _, a := range w.agents {
		w.resume(a)
	}
	for range 20 {
		w.deliverAll(nil)
		for _, a := range w.agents {
			for len(a.runs) > 0 {
				w.finishRun(a, 0, 9)
			}
			w.abortAll(a)
		}
		w.advance(simOnceClass.Deadline())
	}
	w.expect(len(w.net) == 0, "messages are still in flight")
	w.expect(len(w.pending) == 0, "requests without an outcome: %v", len(w.pending))
	for _, a := range w.agents {
		w.expect(a.engine.Counts().Requests == 0, "requests left in an engine")
	}
}

func (w *simulation) abortAll(a *agent) {
	for id := ID(1); id <= w.nextID; id++ {
		if peer, ok := a.relays[id]; ok {
			w.endRelay(a, id, peer, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
		}
		if q, ok := a.queries[id]; ok {
			w.endQuery(a, id, q, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
		}
	}
}
