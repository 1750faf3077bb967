package experiment

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/ctl"
	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/store"
)

const (
	storeDelay    = 500 * time.Millisecond
	restartPause  = time.Second // from a crash until the platform starts a new instance
	overlap       = 1500 * time.Millisecond
	stopTimeout   = 30 * time.Second
	forceTimeout  = 15 * time.Second
	statusTimeout = time.Second
)

// mark is a step that was taken, for the report and the plot.
type mark struct {
	At   time.Duration
	Text string
}

func (s *Step) label() string {
	text := string(s.Do)
	switch {
	case s.Zone != "":
		return text + " " + s.Zone
	case s.Service != "":
		return text + " " + s.Service + "-" + strconv.Itoa(s.Index)
	case s.Factor != 0:
		return text + " " + strconv.FormatFloat(s.Factor, 'g', -1, 64)
	}
	return text
}

// cause is what flows that break from the step on are counted under; empty
// when the step acts on no process and no zone, so that flows which a crash
// before it broke are still counted as such.
func (s *Step) cause() caller.Cause {
	switch s.Do {
	case ActionKillAgent, ActionKillEntry:
		return caller.CauseCrash
	case ActionZoneOut, ActionZoneIn:
		return caller.CauseZone
	case ActionReplaceEntries, ActionReplaceEntry, ActionReplaceAgent, ActionDrainUpstream:
		return caller.CausePlanned
	}
	return ""
}

// runSteps takes the steps at their times. Steps that last work on in the
// background.
func (r *run) runSteps(ctx context.Context, g *errgroup.Group) error {
	for i := range r.world.scenario.Steps {
		step := &r.world.scenario.Steps[i]
		if !sleepUntil(ctx, r.start.Add(seconds(step.AtSeconds))) {
			return nil
		}
		if cause := step.cause(); cause != "" {
			r.world.callers.SetCause(cause)
		}
		r.mark(step.label())
		g.Go(func() error {
			if err := r.take(ctx, step); err != nil && ctx.Err() == nil {
				r.fail(errors.Wrap(err, step.label()))
			}
			return nil
		})
	}
	return nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (r *run) take(ctx context.Context, s *Step) error {
	w := r.world
	switch s.Do {
	case ActionReplaceEntries:
		return w.replaceEntries(ctx)
	case ActionReplaceEntry:
		return w.replaceEntry(ctx, w.entryAt(s.Index))
	case ActionKillEntry:
		return w.killEntry(ctx, w.entryAt(s.Index))
	case ActionKillAgent:
		return w.killAgent(ctx, w.current(s.Service, s.Index))
	case ActionReplaceAgent:
		return w.replaceAgent(ctx, w.current(s.Service, s.Index))
	case ActionDrainUpstream:
		return w.drainUpstream(ctx, w.current(s.Service, s.Index))
	case ActionColdAgain:
		w.current(s.Service, s.Index).up.BeginColdStart(false)
	case ActionZoneOut, ActionZoneIn:
		return r.moveZone(ctx, s.Zone, s.Do == ActionZoneOut)
	case ActionStoreDown:
		w.store.SetFault(store.Fault{Down: true})
	case ActionStoreSlow:
		w.store.SetFault(store.Fault{Delay: storeDelay})
	case ActionStoreLoses:
		w.store.SetFault(store.Fault{DropResponses: true})
	case ActionStoreUp:
		w.store.SetFault(store.Fault{})
	case ActionApply:
		return r.apply(ctx)
	case ActionLoad:
		r.setLoad(s.Factor)
	}
	return nil
}

func (w *World) entryAt(i int) *entryInstance {
	live := w.liveEntries()
	return live[i%len(live)]
}

func (w *World) replaceEntries(ctx context.Context) error {
	for _, e := range w.liveEntries() {
		if err := w.replaceEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntry starts a new entry before it stops the old one gracefully.
func (w *World) replaceEntry(ctx context.Context, old *entryInstance) error {
	if _, err := w.startEntry(old.zone); err != nil {
		return err
	}
	if !sleepUntil(ctx, time.Now().Add(overlap)) {
		return nil
	}
	old.entry.Stop()
	return old.waitEnd(ctx)
}

// waitEnd waits for the end of a graceful stop.
func (p *process) waitEnd(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return nil
	case <-time.After(stopTimeout):
		return errors.Errorf("%s: has not stopped in %s", p.settings.Data, stopTimeout)
	}
}

func (w *World) killEntry(ctx context.Context, e *entryInstance) error {
	e.kill()
	if !sleepUntil(ctx, time.Now().Add(restartPause)) {
		return nil
	}
	_, err := w.startEntry(e.zone)
	return err
}

// killAgent ends the agent process at once; the platform starts it again at
// the same address.
func (w *World) killAgent(ctx context.Context, u *upstreamInstance) error {
	u.silence()
	u.agent.kill()
	<-u.agent.done
	if !sleepUntil(ctx, time.Now().Add(restartPause)) {
		return nil
	}
	return w.restartAgent(u, u.agent.addr)
}

func (w *World) restartAgent(u *upstreamInstance, s config.Agent) error {
	s.Seeds = nil
	a, err := w.startAgent(s)
	if err != nil {
		return err
	}
	w.mu.Lock()
	u.agent = a
	w.mu.Unlock()
	w.announce(u)
	return nil
}

// replaceAgent starts a new agent beside the same upstream and drains the old.
func (w *World) replaceAgent(ctx context.Context, u *upstreamInstance) error {
	old, silence := u.agent, u.silence
	s := w.layout.agent(w.nextHost(&w.agentHosts), u.zone, w.storeURL)
	if err := w.restartAgent(u, s); err != nil {
		return err
	}
	old.agent.Stop()
	defer silence()
	return old.waitEnd(ctx)
}

// drainUpstream starts another upstream, cold, and lets the old one leave.
func (w *World) drainUpstream(ctx context.Context, u *upstreamInstance) error {
	u.leaving.Store(true)
	if _, err := w.startUpstream(u.service, u.index, true); err != nil {
		return err
	}
	u.up.Leave()
	waiting, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := u.up.WaitDrained(waiting, u.agent.addr.Announce); err != nil {
		return err
	}
	u.silence()
	u.stopUp()
	u.agent.agent.Stop()
	return u.agent.waitEnd(ctx)
}

// moveZone takes a zone out or in as operators do.
func (r *run) moveZone(ctx context.Context, zone string, out bool) error {
	w := r.world
	r.zoneMoves.Add(1)
	changes, err := ctl.PlanZone(ctx, w.operator, zone, out)
	if err != nil {
		return err
	}
	if err := w.execute(ctx, changes); err != nil {
		return err
	}
	if out {
		r.watchZoneOut(ctx, zone, time.Now())
		return nil
	}
	r.zoneBackAt(w.callers.Totals())
	return nil
}

// apply changes a target of the first service and measures until the change
// is in force everywhere.
func (r *run) apply(ctx context.Context) error {
	w := r.world
	stored, err := ctl.ListServicesAndZones(ctx, w.operator)
	if err != nil {
		return err
	}
	file := w.layout.file(w.scenario)
	r.applied++
	file.Services[0].Targets.RetentionMillis += r.applied
	changes, err := ctl.Plan(file, stored, false)
	if err != nil {
		return err
	}
	if err := w.execute(ctx, changes); err != nil {
		return err
	}
	accepted := time.Now()
	after, err := ctl.ListServicesAndZones(ctx, w.operator)
	if err != nil {
		return err
	}
	return r.awaitForce(ctx, file.Services[0].Name, ctl.RevisionsOf(after).All, accepted)
}
