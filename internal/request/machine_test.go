package request

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusnotch/internal/admission"
)

var stepsTried int

// TestPromises drives agents, network, upstreams and callers at random.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"call":     func(t *rapid.T) { w.call(t, rapid.Bool().Draw(t, "once")) },
			"call2":    func(t *rapid.T) { w.call(t, true) },
			"retry":    w.retry,
			"retry2":   w.retry,
			"deliver":  w.deliver,
			"deliver2": w.deliver,
			"deliver3": w.deliver,
			"flood":    w.flood,
			"double":   w.double,
			"lose":     w.lose,
			"break":    w.breakOff,
			"end":      w.endRun,
			"end2":     w.endRun,
			"cancel":   w.cancel,
			"report":   w.report,
			"report2":  w.report,
			"wait":     w.wait,
			"crash":    w.crash,
			"pause":    w.pause,
			"upstream": w.upstream,
			"operator": w.operator,
			"":         func(*rapid.T) { stepsTried++ },
		})
		w.settle()
	})
	t.Logf("steps tried: %d", stepsTried)
}

func pick(t *rapid.T, name string, n int) int {
	if n == 0 {
		t.Skip(name)
	}
	return rapid.IntRange(0, n-1).Draw(t, name)
}

func (w *world) anyAgent(t *rapid.T) *agent { return w.agents[pick(t, "agent", len(w.agents))] }

// call sends the first attempt of a new request.
func (w *world) call(t *rapid.T, runOnce bool) {
	a := w.anyAgent(t)
	r := &arrival{Request: Request{Class: worldBulk, Deadline: w.now.Add(worldBulk.Deadline())}}
	if runOnce {
		c := &caller{key: strconv.Itoa(len(w.callers)), attempt: 1}
		w.callers = append(w.callers, c)
		r = w.attempt(c)
	}
	w.send("call", func() { w.arrive(a, r) })
	w.deliverAt(len(w.net) - 1)
}

func (w *world) attempt(c *caller) *arrival {
	return &arrival{caller: c, Request: Request{
		Key: c.key, Class: worldOnce, Deadline: w.now.Add(worldOnce.Deadline()),
		Attempt: c.attempt, Owner: c.owner,
	}}
}

// retry sends the next attempt of one of the last callers, whether the one
// before has ended or not.
func (w *world) retry(t *rapid.T) {
	back := pick(t, "caller", min(4, len(w.callers)))
	c := w.callers[len(w.callers)-1-back]
	c.attempt++
	a, r := w.anyAgent(t), w.attempt(c)
	w.send("call", func() { w.arrive(a, r) })
	if rapid.Bool().Draw(t, "at once") {
		w.deliverAt(len(w.net) - 1)
	}
}

func (w *world) deliverAt(i int) {
	m := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	m.deliver()
}

func (w *world) deliver(t *rapid.T) { w.deliverAt(pick(t, "message", len(w.net))) }

// flood delivers all that is on its way.
func (w *world) flood(*rapid.T) {
	for range 200 {
		if len(w.net) == 0 {
			return
		}
		w.deliverAt(0)
	}
}

func (w *world) double(t *rapid.T) {
	m := w.net[pick(t, "message", len(w.net))]
	if !m.local && m.name != "call" {
		w.net = append(w.net, m)
	}
}

func (w *world) lose(t *rapid.T) {
	i := pick(t, "message", len(w.net))
	if !w.net[i].local && w.net[i].name != "call" {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
}

// breakOff ends a relay or a question for the sender alone; what is on its way
// may still arrive.
func (w *world) breakOff(t *rapid.T) {
	a := w.anyAgent(t)
	for id := ID(1); id <= w.nextID; id++ {
		if peer, ok := a.relays[id]; ok {
			w.relayEnd(a, id, peer, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
			return
		}
		if q, ok := a.asks[id]; ok {
			w.askEnd(a, id, q, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
			return
		}
	}
	t.Skip("nothing to break")
}

func (w *world) endRun(t *rapid.T) {
	a := w.anyAgent(t)
	i := pick(t, "run", len(a.runs))
	kind := rapid.IntRange(0, 9).Draw(t, "how")
	w.finishRun(a, i, kind)
}

func (w *world) finishRun(a *agent, i, kind int) {
	id := a.runs[i]
	a.runs = append(a.runs[:i:i], a.runs[i+1:]...)
	result := Result{Outcome: OutcomeRan, Status: 200, Response: answerFor(a.requests[id])}
	switch kind {
	case 0:
		result = Result{Outcome: OutcomeUnknown, Reason: ReasonUpstreamFailed}
	case 1:
		result = Result{Outcome: OutcomeUnknown, Reason: ReasonTruncated, Forwarded: true}
	case 2:
		result.Status = 500
	}
	w.later(a, "run end", func() []Action { return a.engine.UpstreamDone(w.now, id, result) })
	w.deliverAt(len(w.net) - 1)
}

func (w *world) cancel(t *rapid.T) {
	a := w.anyAgent(t)
	id := ID(pick(t, "request", int(w.nextID)) + 1)
	if a.requests[id] == nil {
		t.Skip("not here")
	}
	w.event(a, func() []Action { return a.engine.Cancelled(w.now, id) })
}

// report sends the load of an agent to the others.
func (w *world) report(t *rapid.T) {
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

func (w *world) wait(t *rapid.T) {
	span := rapid.SampledFrom([]int{1, 10, 60, 400, 1500, 5000}).Draw(t, "milliseconds")
	w.advance(time.Duration(span) * time.Millisecond)
}

// advance moves the time and lets timers fire.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		if at, ok := a.engine.NextTick(); ok && !at.After(w.now) {
			w.event(a, func() []Action { return a.engine.Tick(w.now) })
		}
	}
}

// crash restarts an agent without its memory; its callers lose their streams.
func (w *world) crash(t *rapid.T) {
	a := w.anyAgent(t)
	for id, at := range w.pending {
		if at == a {
			delete(w.pending, id)
		}
	}
	w.boot(a)
}

func (w *world) pause(t *rapid.T) {
	a := w.anyAgent(t)
	if !a.paused {
		a.paused = true
		return
	}
	w.wake(a)
}

func (w *world) wake(a *agent) {
	a.paused = false
	events := a.delayed
	a.delayed = nil
	for _, f := range events {
		f()
	}
}

func (w *world) upstream(t *rapid.T) {
	a := w.anyAgent(t)
	if rapid.Bool().Draw(t, "silent") {
		a.coldSilent = true
		return
	}
	states := []admission.State{
		admission.StateCold, admission.StateWarm, admission.StateWarm, admission.StateLeaving, admission.StateNone,
	}
	w.announce(a, rapid.SampledFrom(states).Draw(t, "state"))
}

func (w *world) operator(t *rapid.T) {
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

// settle lets all come to its end and checks that each request got an outcome.
func (w *world) settle() {
	for _, a := range w.agents {
		w.wake(a)
	}
	for range 20 {
		w.flood(nil)
		for _, a := range w.agents {
			for len(a.runs) > 0 {
				w.finishRun(a, 0, 9)
			}
			w.breakAll(a)
		}
		w.advance(worldOnce.Deadline())
	}
	w.expect(len(w.net) == 0, "messages go round without end")
	w.expect(len(w.pending) == 0, "requests without an outcome: %v", len(w.pending))
	for _, a := range w.agents {
		w.expect(a.engine.Counts().Requests == 0, "requests left in an engine")
	}
}

func (w *world) breakAll(a *agent) {
	for id := ID(1); id <= w.nextID; id++ {
		if peer, ok := a.relays[id]; ok {
			w.relayEnd(a, id, peer, Result{Outcome: OutcomeUnknown, Reason: ReasonRelayFailed, ResponseLost: true})
		}
		if q, ok := a.asks[id]; ok {
			w.askEnd(a, id, q, Resolution{State: ResolvedUnknown, Reason: ReasonOwnerUnreachable})
		}
	}
}
