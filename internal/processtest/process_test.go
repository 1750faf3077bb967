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
	flows    = 60
	senders  = 6
	instance = 3 // entries, and agents, one of each in every zone
)

// upstreams starts one upstream beside each agent.
func (b *bench) upstreams(wg *sync.WaitGroup) {
	for i := byte(1); i <= instance; i++ {
		u, err := upstream.New(upstream.Options{
			Name: fmt.Sprintf("upstream-%d", i), Service: serviceName, Address: b.addr(3, i, 0),
			Slots: slots, Connections: 200, Speed: 1, Work: 4 * time.Millisecond,
			Cold: upstream.ColdStart{InitialShare: 0.4, WarmUp: 100 * time.Millisecond}, Seed: uint64(i), Runs: b.runs,
		})
		b.must(err)
		wg.Go(func() { _ = u.Run(b.ctx) })
		wg.Go(func() { u.Announce(b.ctx, b.addr(2, i, portAnnounce)) })
	}
}

// callers hold flows and send requests until ctx ends.
func (b *bench) callers(ctx context.Context, wg *sync.WaitGroup) *caller.Pool {
	p, err := caller.New(caller.Options{
		Service: serviceName, Address: b.addr(0, 1, portService), TLS: b.certs.Client(),
		Flows: flows, StreamShare: 0.2, StreamPath: "/stream/bell", Counters: b.counters, Seed: 1,
		OnNotRun: func(r caller.Refusal) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.notRun[r.ID] = r.Attempt
		},
	})
	b.must(err)
	wg.Go(func() { _ = p.Run(ctx) })
	b.await("all flows are open", func() bool { return p.OpenFlows() == flows })
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

// TestProcessesUnderFaults kills, pauses and stops entries and agents during
// traffic while the store is down.
func TestProcessesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	b := newBench(t, Build(t))
	var entries, agents [instance + 1]*process
	for i := byte(1); i <= instance; i++ {
		entries[i] = b.startEntry(i)
		agents[i] = b.startAgent(i)
	}
	var around, calls sync.WaitGroup
	t.Cleanup(func() {
		b.cancel()
		around.Wait()
	})
	b.upstreams(&around)
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	pool := b.callers(ctx, &calls)
	b.afterRequests(200)
	b.store.SetFault(store.Fault{Down: true})

	t.Log("kill an entry and start another at its address")
	entries[1].signal(syscall.SIGKILL)
	is.True(entries[1].exited() != nil)
	b.afterRequests(100)
	b.fabric.Remove(b.addr(1, 1, portFabric))
	b.afterRequests(100)
	entries[1] = b.startEntry(1)
	b.afterRequests(200)

	t.Log("pause an entry")
	entries[2].signal(syscall.SIGSTOP)
	b.afterRequests(100)
	b.fabric.Remove(b.addr(1, 2, portFabric))
	b.afterRequests(300)
	entries[2].signal(syscall.SIGCONT)
	b.await("the entry is healthy again", func() bool { return healthy(b.addr(1, 2, portMetrics)) })
	b.fabric.Add(b.fabricEntry(2))
	b.afterRequests(200)

	t.Log("stop an agent gracefully and start another at its address")
	agents[3].signal(syscall.SIGTERM)
	is.NoErr(agents[3].exited())
	agents[3] = b.startAgent(3)
	b.afterRequests(300)
	planned := b.counters.Totals()
	is.Equal(planned.FlowsBroken[caller.CausePlanned], uint64(0))
	is.Equal(planned.StreamsBroken[caller.CausePlanned], uint64(0))

	t.Log("pause an agent")
	b.counters.SetCause(caller.CauseCrash)
	agents[1].signal(syscall.SIGSTOP)
	b.afterRequests(200)
	agents[1].signal(syscall.SIGCONT)
	b.afterRequests(200)

	t.Log("kill an agent and start another at its address")
	agents[2].signal(syscall.SIGKILL)
	is.True(agents[2].exited() != nil)
	b.afterRequests(200)
	agents[2] = b.startAgent(2)
	b.afterRequests(300)
	b.await("all flows are open again", func() bool { return pool.OpenFlows() == flows })

	stop()
	calls.Wait()
	b.checkPromises(is)
	for i := 1; i <= instance; i++ {
		is.NoErr(entries[i].cmd.Process.Signal(syscall.Signal(0))) // still runs
		is.NoErr(agents[i].cmd.Process.Signal(syscall.Signal(0)))
	}
}

// checkPromises checks what must hold whatever failed.
func (b *bench) checkPromises(is *is.I) {
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
			b.t.Errorf("attempt %d of %s was answered not-run, but ran", attempt, id)
		}
	}
}
