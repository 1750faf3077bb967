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
	storeDelay     = 500 * time.Millisecond
	restartDelay   = time.Second // from a crash until the platform restarts the instance
	replaceOverlap = 1500 * time.Millisecond
	stopTimeout    = 30 * time.Second
	applyTimeout   = 15 * time.Second
	statusTimeout  = time.Second
)

// stepRecord is a step that was run, for the report and the plot.
type stepRecord struct {
	At   time.Duration
	Text string
}

func (s *Step) label() string {
	text := string(s.Action)
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

// cause returns the cause recorded for flows that break after the step. It is
// empty for a step that affects no process and no zone, so that later breaks are
// still attributed to a crash before it.
func (s *Step) cause() caller.Cause {
	switch s.Action {
	case ActionKillAgent, ActionKillEntry:
		return caller.CauseCrash
	case ActionZoneOut, ActionZoneIn:
		return caller.CauseZone
	case ActionReplaceEntries, ActionReplaceEntry, ActionReplaceAgent, ActionDrainUpstream:
		return caller.CausePlanned
	}
	return ""
}

// runSteps starts each step at its time. Steps run in the background and may
// overlap.
func (r *run) runSteps(ctx context.Context, g *errgroup.Group) error {
	for i := range r.testbed.scenario.Steps {
		step := &r.testbed.scenario.Steps[i]
		if !sleepUntil(ctx, r.start.Add(seconds(step.AtSeconds))) {
			return nil
		}
		if cause := step.cause(); cause != "" {
			r.testbed.callers.SetCause(cause)
		}
		r.recordStep(step.label())
		g.Go(func() error {
			if err := r.runStep(ctx, step); err != nil && ctx.Err() == nil {
				r.recordFailure(errors.Wrap(err, step.label()))
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

func (r *run) runStep(ctx context.Context, s *Step) error {
	tb := r.testbed
	switch s.Action {
	case ActionReplaceEntries:
		return tb.replaceEntries(ctx)
	case ActionReplaceEntry:
		return tb.replaceEntry(ctx, tb.entryAt(s.Index))
	case ActionKillEntry:
		return tb.killEntry(ctx, tb.entryAt(s.Index))
	case ActionKillAgent:
		return tb.killAgent(ctx, tb.currentUpstream(s.Service, s.Index))
	case ActionReplaceAgent:
		return tb.replaceAgent(ctx, tb.currentUpstream(s.Service, s.Index))
	case ActionDrainUpstream:
		return tb.drainUpstream(ctx, tb.currentUpstream(s.Service, s.Index))
	case ActionColdStart:
		tb.currentUpstream(s.Service, s.Index).server.BeginColdStart(false)
	case ActionZoneOut, ActionZoneIn:
		return r.changeZone(ctx, s.Zone, s.Action == ActionZoneOut)
	case ActionStoreDown:
		tb.store.SetFault(store.Fault{Down: true})
	case ActionStoreSlow:
		tb.store.SetFault(store.Fault{Delay: storeDelay})
	case ActionStoreLoseResponses:
		tb.store.SetFault(store.Fault{DropResponses: true})
	case ActionStoreUp:
		tb.store.SetFault(store.Fault{})
	case ActionApplyConfiguration:
		return r.changeConfiguration(ctx)
	case ActionSetLoadFactor:
		r.setLoad(s.Factor)
	}
	return nil
}

func (tb *Testbed) entryAt(i int) *entryInstance {
	live := tb.liveEntries()
	return live[i%len(live)]
}

func (tb *Testbed) replaceEntries(ctx context.Context) error {
	for _, e := range tb.liveEntries() {
		if err := tb.replaceEntry(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// replaceEntry starts a new entry, then stops the old one gracefully.
func (tb *Testbed) replaceEntry(ctx context.Context, old *entryInstance) error {
	if _, err := tb.startEntry(old.zone); err != nil {
		return err
	}
	if !sleepUntil(ctx, time.Now().Add(replaceOverlap)) {
		return nil
	}
	old.entry.Stop()
	return old.waitStopped(ctx)
}

// waitStopped waits until a graceful stop completes.
func (p *process) waitStopped(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return nil
	case <-time.After(stopTimeout):
		return errors.Errorf("%s: did not stop within %s", p.settings.Data, stopTimeout)
	}
}

func (tb *Testbed) killEntry(ctx context.Context, e *entryInstance) error {
	e.kill()
	if !sleepUntil(ctx, time.Now().Add(restartDelay)) {
		return nil
	}
	_, err := tb.startEntry(e.zone)
	return err
}

// killAgent kills the agent and restarts it at the same address after
// restartDelay, as the platform does.
func (tb *Testbed) killAgent(ctx context.Context, u *upstreamInstance) error {
	u.stopAnnouncements()
	u.agent.kill()
	<-u.agent.done
	if !sleepUntil(ctx, time.Now().Add(restartDelay)) {
		return nil
	}
	return tb.restartAgent(u, u.agent.config)
}

func (tb *Testbed) restartAgent(u *upstreamInstance, s config.Agent) error {
	s.Seeds = nil
	a, err := tb.startAgent(s)
	if err != nil {
		return err
	}
	tb.mu.Lock()
	u.agent = a
	tb.mu.Unlock()
	tb.startAnnouncements(u)
	return nil
}

// replaceAgent starts a new agent for the same upstream and drains the old one.
func (tb *Testbed) replaceAgent(ctx context.Context, u *upstreamInstance) error {
	old, stopAnnouncements := u.agent, u.stopAnnouncements
	s := tb.layout.agent(tb.nextHost(&tb.agentHosts), u.zone, tb.storeURL)
	if err := tb.restartAgent(u, s); err != nil {
		return err
	}
	old.agent.Stop()
	defer stopAnnouncements()
	return old.waitStopped(ctx)
}

// drainUpstream starts a cold replacement, drains the old upstream and stops it
// and its agent.
func (tb *Testbed) drainUpstream(ctx context.Context, u *upstreamInstance) error {
	u.draining.Store(true)
	if _, err := tb.startUpstream(u.service, u.index, true); err != nil {
		return err
	}
	u.server.Leave()
	drainCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := u.server.WaitDrained(drainCtx, u.agent.config.Announce); err != nil {
		return err
	}
	u.stopAnnouncements()
	u.stopServer()
	u.agent.agent.Stop()
	return u.agent.waitStopped(ctx)
}

// changeZone takes a zone out of service, or returns it to service, as operators
// do.
func (r *run) changeZone(ctx context.Context, zone string, out bool) error {
	tb := r.testbed
	r.zoneChanges.Add(1)
	changes, err := ctl.PlanZone(ctx, tb.operator, zone, out)
	if err != nil {
		return err
	}
	if err := tb.applyChanges(ctx, changes); err != nil {
		return err
	}
	if out {
		r.watchZoneOut(ctx, zone, time.Now())
		return nil
	}
	r.startZoneBack(tb.callers.Totals())
	return nil
}

// changeConfiguration changes a target of the first service and measures the time
// until every affected process has applied the change.
func (r *run) changeConfiguration(ctx context.Context) error {
	tb := r.testbed
	stored, err := ctl.ListServicesAndZones(ctx, tb.operator)
	if err != nil {
		return err
	}
	desired := tb.layout.configuration(tb.scenario)
	r.configChanges++
	desired.Services[0].Targets.RetentionMillis += r.configChanges
	changes, err := ctl.Plan(desired, stored, false)
	if err != nil {
		return err
	}
	if err := tb.applyChanges(ctx, changes); err != nil {
		return err
	}
	accepted := time.Now()
	after, err := ctl.ListServicesAndZones(ctx, tb.operator)
	if err != nil {
		return err
	}
	return r.awaitRevision(ctx, desired.Services[0].Name, ctl.RevisionsOf(after).All, accepted)
}
