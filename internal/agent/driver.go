package agent

import (
	"sync"
	"time"

	"crocusnotch/internal/admission"
	"crocusnotch/internal/config"
	"crocusnotch/internal/request"
)

// driver owns the request engine: it passes events to the engine one at a time
// and the engine's actions to the exchanges. It is safe for concurrent use.
type driver struct {
	metrics *metrics

	options request.Options

	mu        sync.Mutex
	engine    *request.Engine // nil until the service's targets are known
	exchanges map[request.ID]*exchange
	lastID    request.ID
	timer     *time.Timer
	timerAt   time.Time
}

func newDriver(o request.Options, m *metrics) *driver {
	d := &driver{metrics: m, options: o, exchanges: map[request.ID]*exchange{}}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.timer.Stop()
	return d
}

// step passes one event to the engine and dispatches the resulting actions.
func (d *driver) step(event func(*request.Engine, time.Time) []request.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine == nil {
		return
	}
	d.dispatch(event(d.engine, time.Now()))
	d.schedule()
}

// submit registers an exchange and passes its request to the engine.
func (d *driver) submit(x *exchange, r request.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	r.ID = d.lastID
	x.id = r.ID
	d.exchanges[r.ID] = x
	d.dispatch(d.engine.Submit(time.Now(), r))
	d.schedule()
}

// dispatch passes each action to its exchange. An exchange that has replied stays
// registered until its attempt ends, which then reports its result by ID.
// request.SendOwner has no case, because requestHandler sends Crocus-Owner before
// it submits the request.
func (d *driver) dispatch(actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.RunUpstream:
			d.countRetry(a.Retry, request.ReasonUpstreamFailed)
			d.exchanges[a.ID].post(a)
		case request.RelayTo:
			d.metrics.relays.WithLabelValues(string(a.Reason)).Inc()
			d.countRetry(a.Retry, a.Reason)
			d.exchanges[a.ID].post(a)
		case request.QueryOwner:
			d.exchanges[a.ID].post(a)
		case request.Reply:
			d.exchanges[a.ID].post(a)
		case request.ReplayResponse:
			d.exchanges[a.ID].post(a)
		case request.CancelUpstream:
			d.exchanges[a.ID].cancelAttempt()
		case request.CancelRelay:
			d.exchanges[a.ID].cancelAttempt()
		}
	}
}

func (d *driver) countRetry(retry bool, reason request.Reason) {
	if retry {
		d.metrics.retries.WithLabelValues(string(reason)).Inc()
	}
}

// remove removes an exchange that has replied and whose last attempt has ended.
func (d *driver) remove(id request.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.exchanges, id)
}

// schedule arms the timer for the engine's next deadline.
func (d *driver) schedule() {
	at, ok := d.engine.NextTick()
	if !ok {
		d.timer.Stop()
		d.timerAt = time.Time{}
		return
	}
	if at.Equal(d.timerAt) {
		return
	}
	d.timerAt = at
	d.timer.Reset(time.Until(at))
}

func (d *driver) tick() {
	d.mu.Lock()
	d.timerAt = time.Time{}
	d.mu.Unlock()
	d.step((*request.Engine).Tick)
}

func (d *driver) stop() { d.timer.Stop() }

func (d *driver) upstreamDone(id request.ID, r request.Result) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.UpstreamDone(now, id, r) })
}

func (d *driver) relayDone(id request.ID, r request.Result) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.RelayDone(now, id, r) })
}

func (d *driver) queryDone(id request.ID, r request.Resolution) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.QueryDone(now, id, r) })
}

func (d *driver) established(id request.ID) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.Established(now, id) })
}

func (d *driver) cancelled(id request.ID) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.Cancelled(now, id) })
}

func (d *driver) announce(a admission.Announcement) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.Announce(now, a) })
}

func (d *driver) drain() { d.step((*request.Engine).Drain) }

func (d *driver) zoneOut(out bool) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.SetZoneOut(now, out) })
}

func (d *driver) updatePeerLoad(r request.LoadReport) {
	d.step(func(e *request.Engine, now time.Time) []request.Action { return e.UpdatePeerLoad(now, r) })
}

// report returns the load report to send to peers.
func (d *driver) report() request.LoadReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engine.Report(time.Now())
}

func (d *driver) resolve(q request.Query) request.Resolution {
	out := request.Resolution{State: request.ResolvedUnknown, Reason: request.ReasonOwnerUnreachable}
	d.step(func(e *request.Engine, now time.Time) []request.Action {
		out = e.Resolve(now, q)
		return nil
	})
	return out
}

func (d *driver) removePeer(r request.AgentRef) {
	d.step(func(e *request.Engine, _ time.Time) []request.Action {
		e.RemovePeer(r)
		return nil
	})
}

// setTargets updates the service's targets. The engine is created with the first
// ones, because it takes the initial retention of idempotency keys from them.
func (d *driver) setTargets(t config.Targets) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine != nil {
		d.engine.SetTargets(time.Now(), t)
		d.schedule()
		return
	}
	d.options.Targets = t
	d.engine = request.New(d.options)
}

// driverStatus is the state of the engine.
type driverStatus struct {
	load   admission.Load
	counts request.Counts
	self   request.AgentRef
}

func (d *driver) status() driverStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine == nil {
		return driverStatus{}
	}
	return driverStatus{
		load:   d.engine.Load(),
		counts: d.engine.Counts(),
		self:   d.engine.SelfAt(time.Now()),
	}
}
