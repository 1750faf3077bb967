package passthrough

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/lifecycle"
)

const (
	// upstreamCheckTimeout bounds one check: the upstream is on the same instance, and its
	// kernel accepts connections while the upstream is busy.
	upstreamCheckTimeout = 100 * time.Millisecond
	// upstreamChecksAtStart is the number of checks at the start of the process that may
	// prove nothing, upstreamCheckInterval the time between them.
	upstreamChecksAtStart = 3
	upstreamCheckInterval = 50 * time.Millisecond
	// upstreamCheckMaxAge is the age of the last check above which a query causes another
	// one.
	upstreamCheckMaxAge = 300 * time.Millisecond
)

// upstreamCheckResult is the result of a check as the metric shows it.
type upstreamCheckResult string

// Results of checks.
const (
	upstreamConnected    upstreamCheckResult = "connected"
	upstreamRefused      upstreamCheckResult = "refused"
	upstreamInconclusive upstreamCheckResult = "inconclusive" // timed out, or failed otherwise
)

// connectUpstream opens a TCP connection to the upstream and closes it.
func connectUpstream(ctx context.Context, upstream netip.AddrPort) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", upstream.String())
	if err != nil {
		return err
	}
	return c.Close()
}

// upstreamChecker checks whether an upstream that has not announced itself is running.
type upstreamChecker struct {
	connect func(ctx context.Context) error // opens and closes a connection to the upstream
	needed  func() bool                     // reports whether a check may say something new
	report  func(started time.Time, r upstreamCheckResult)

	queries     chan struct{} // capacity 1: a query has arrived
	lastChecked time.Time
}

// queried requests a check unless the last one is recent. It does not block.
func (c *upstreamChecker) queried() {
	select {
	case c.queries <- struct{}{}:
	default:
	}
}

// run checks the upstream at the start, then after queries, until ctx is done.
func (c *upstreamChecker) run(ctx context.Context) error {
	for i := range upstreamChecksAtStart {
		if i > 0 {
			lifecycle.Sleep(ctx, upstreamCheckInterval)
		}
		if c.check(ctx) != upstreamInconclusive {
			break
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.queries:
			if time.Since(c.lastChecked) > upstreamCheckMaxAge {
				c.check(ctx)
			}
		}
	}
}

// check checks the upstream once if that is needed.
func (c *upstreamChecker) check(ctx context.Context) upstreamCheckResult {
	if ctx.Err() != nil || !c.needed() {
		return upstreamInconclusive
	}
	started := time.Now()
	c.lastChecked = started
	connectCtx, cancel := context.WithTimeout(ctx, upstreamCheckTimeout)
	defer cancel()
	result := upstreamInconclusive
	switch err := c.connect(connectCtx); {
	case err == nil:
		result = upstreamConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		result = upstreamRefused
	}
	c.report(started, result)
	return result
}

// newUpstreamChecker returns the checker of the agent's upstream, which connects by the
// function.
func (a *Agent) newUpstreamChecker(connect func(context.Context, netip.AddrPort) error) *upstreamChecker {
	if connect == nil {
		connect = connectUpstream
	}
	return &upstreamChecker{
		connect: func(ctx context.Context) error { return connect(ctx, a.settings.Upstream) },
		needed: func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return !a.tracker.upstreamAnnounced()
		},
		report:  a.handleUpstreamCheck,
		queries: make(chan struct{}, 1),
	}
}

// handleUpstreamCheck passes the result of a check to the tracker. The result is dropped
// if the process was paused since the check started: the upstream may have started
// meanwhile.
func (a *Agent) handleUpstreamCheck(started time.Time, r upstreamCheckResult) {
	a.counters.upstreamChecks.WithLabelValues(string(r)).Inc()
	a.mu.Lock()
	if r != upstreamInconclusive && !a.pause.Paused() {
		a.tracker.SetUpstreamRefused(started, r == upstreamRefused)
	}
	a.mu.Unlock()
	a.publishUpstream(time.Now())
}

// SetUpstreamRefused records the result of a check that started at now: whether the
// upstream's instance refused a connection, so that no upstream was running. While it is
// refused, this agent owns no flow. A refusal is ignored if the upstream has announced
// itself, or if it sent a packet or a refusal was cancelled at now or later. refused false
// cancels a refusal.
func (t *Tracker) SetUpstreamRefused(now time.Time, refused bool) {
	switch {
	case !refused:
		t.refused, t.checksValidFrom = false, now
	case !t.refused && !t.upstreamAnnounced() && now.After(t.checksValidFrom):
		t.refused = true
		t.Observe(Decision{Kind: DecisionUpstreamRefused})
	}
}

// withoutUpstream reports whether no upstream is running, by the last check or since it
// announced its end, so that this agent owns no flow but those whose last answers are on
// their way.
func (t *Tracker) withoutUpstream() bool { return t.refused || t.upstream.Last().Ended }

// upstreamAnnounced reports whether the upstream has announced itself to this process.
func (t *Tracker) upstreamAnnounced() bool { return t.upstream.Last().StartMillis != 0 }
