package processtest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/standin/caller"
	"crocusnotch/internal/standin/store"
	"crocusnotch/internal/standin/upstream"
)

const (
	flows     = 60
	senders   = 6
	instances = 3 // entries, and as many agents; each zone has one of each
)

// startUpstreams starts one upstream for each agent.
func (b *testbed) startUpstreams(wg *sync.WaitGroup) {
	for i := byte(1); i <= instances; i++ {
		u, err := upstream.New(upstream.Options{
			Name: fmt.Sprintf("upstream-%d", i), Service: serviceName, Address: b.addr(3, i, 0),
			Slots: slots, Connections: 200, Speed: 1, Work: 4 * time.Millisecond,
			Cold: upstream.ColdStart{InitialShare: 0.4, WarmUp: 100 * time.Millisecond}, Seed: uint64(i), Runs: b.runs,
		})
		b.requireNoError(err)
		wg.Go(func() { _ = u.Run(b.ctx) })
		wg.Go(func() { u.Announce(b.ctx, b.addr(2, i, portAnnounce)) })
	}
}

// startCallers opens all flows and then sends requests until ctx ends.
func (b *testbed) startCallers(ctx context.Context, wg *sync.WaitGroup) *caller.Pool {
	p, err := caller.New(caller.Options{
		Service: serviceName, Address: b.addr(0, 1, portService), TLS: b.certs.ClientTLS(),
		Flows: flows, StreamShare: 0.2, StreamPath: "/stream/bell", Counters: b.counters, Seed: 1,
		OnNotRun: func(r caller.Refusal) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.notRun[r.ID] = r.Attempt
		},
	})
	b.requireNoError(err)
	wg.Go(func() { _ = p.Run(ctx) })
	b.waitFor("all flows are open", func() bool { return p.OpenFlows() == flows })
	kinds := []caller.RequestKind{
		{Path: "/status", Idempotent: true, Size: 2000, Work: 1, Timeout: 4 * time.Second},
		{Path: "/once/departure", Size: 200, Work: 1, Timeout: 4 * time.Second},
	}
	for i := range senders {
		wg.Go(func() {
			for ctx.Err() == nil {
				p.Do(ctx, kinds[i%len(kinds)])
			}
		})
	}
	return p
}

// TestProcessesUnderFaults kills and pauses entries and agents and stops an agent
// gracefully, during traffic and while the store is down. The graceful stop must
// break no flow or stream, and checkInvariants must hold at the end.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	b := newTestbed(t, Build(t))
	var entries, agents [instances + 1]*process
	for i := byte(1); i <= instances; i++ {
		entries[i] = b.startEntry(i)
		agents[i] = b.startAgent(i)
	}
	var upstreams, calls sync.WaitGroup
	t.Cleanup(func() {
		b.cancel()
		upstreams.Wait()
	})
	b.startUpstreams(&upstreams)
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	pool := b.startCallers(ctx, &calls)
	b.waitRequests(200)
	b.store.SetFault(store.Fault{Down: true})

	t.Log("kill an entry and start another at its address")
	entries[1].signal(syscall.SIGKILL)
	is.True(entries[1].waitExit() != nil)
	b.waitRequests(100)
	b.fabric.Remove(b.addr(1, 1, portFabric))
	b.waitRequests(100)
	entries[1] = b.startEntry(1)
	b.waitRequests(200)

	t.Log("pause an entry")
	entries[2].signal(syscall.SIGSTOP)
	b.waitRequests(100)
	b.fabric.Remove(b.addr(1, 2, portFabric))
	b.waitRequests(300)
	entries[2].signal(syscall.SIGCONT)
	b.waitFor("the entry is healthy again", func() bool { return healthy(b.addr(1, 2, portMetrics)) })
	b.fabric.Add(b.fabricEntry(2))
	b.waitRequests(200)

	t.Log("stop an agent gracefully and start another at its address")
	agents[3].signal(syscall.SIGTERM)
	is.NoErr(agents[3].waitExit())
	agents[3] = b.startAgent(3)
	b.waitRequests(300)
	totals := b.counters.Totals()
	is.Equal(totals.FlowsBroken[caller.CausePlanned], uint64(0))
	is.Equal(totals.StreamsBroken[caller.CausePlanned], uint64(0))

	t.Log("pause an agent")
	b.counters.SetCause(caller.CauseCrash)
	agents[1].signal(syscall.SIGSTOP)
	b.waitRequests(200)
	agents[1].signal(syscall.SIGCONT)
	b.waitRequests(200)

	t.Log("kill an agent and start another at its address")
	agents[2].signal(syscall.SIGKILL)
	is.True(agents[2].waitExit() != nil)
	b.waitRequests(200)
	agents[2] = b.startAgent(2)
	b.waitRequests(300)
	b.waitFor("all flows are open again", func() bool { return pool.OpenFlows() == flows })

	stop()
	calls.Wait()
	b.checkInvariants(is)
	for i := 1; i <= instances; i++ {
		is.NoErr(entries[i].cmd.Process.Signal(syscall.Signal(0))) // signal 0 only checks that the process runs
		is.NoErr(agents[i].cmd.Process.Signal(syscall.Signal(0)))
	}
}

// checkInvariants checks the guarantees that hold under any fault: no duplicate run
// of a non-idempotent request, no mismatched or truncated response, none of the wrong
// service, and no run of an attempt that was reported as not-run.
func (b *testbed) checkInvariants(is *is.I) {
	is.Helper()
	totals := b.counters.Totals()
	b.t.Logf("requests %d, attempts %d, outcomes %v, refusals %v, broken %v", totals.Requests, totals.Attempts, totals.Outcomes, totals.Refusals, totals.FlowsBroken)
	is.Equal(b.runs.Duplicates(), uint64(0))
	is.Equal(totals.Mismatched, uint64(0))
	is.Equal(totals.Truncated, uint64(0))
	is.Equal(totals.WrongService, uint64(0))
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, attempt := range b.notRun {
		if b.runs.Ran(id, attempt) {
			b.t.Errorf("attempt %d of %s was reported as not-run, but ran", attempt, id)
		}
	}
}
