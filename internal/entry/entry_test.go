package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/membership"
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// start runs the entry in the bubble until the test's end.
func (b *harness) start(t *testing.T) (cancel func(), done chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- b.entry.Run(ctx) }()
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return cancel, done
}

func (b *harness) packets(v routing.Verdict) uint64 { return b.entry.counters.packets[v].Load() }

func (c *memoryConn) take() (sent, bool) {
	synctest.Wait()
	select {
	case s := <-c.out:
		return s, true
	default:
		return sent{}, false
	}
}

func TestPacketsReachTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.start(t)
		for _, packet := range [][]byte{initial(), established(testKeys(), testZone)} {
			b.fabric.in <- fromCaller(packet)
			s, ok := b.data.take()
			is.True(ok)
			is.Equal(s.to, agentAddr)
			h, verdict := wire.ParseHeader(testKeys(), s.data)
			is.Equal(verdict, wire.HeaderValid)
			is.Equal(h, wire.Header{
				Kind: wire.KindToAgent, Service: testService,
				Caller: callerAddr, Destination: serviceAddr, Entry: dataAddr,
			})
			is.Equal(s.data[wire.HeaderSize:], packet)
		}
		is.Equal(b.packets(routing.ForwardCandidates), uint64(1))
		is.Equal(b.packets(routing.ForwardOwner), uint64(1))
	})
}

func TestAnswersReachTheFabric(t *testing.T) {
	packet := []byte("an answer")
	bad := fromAgent(testKeys(), wire.KindToCaller, packet)
	bad[wire.HeaderSize-1] ^= 1
	unknownKey := fromAgent(testKeys(), wire.KindToCaller, packet)
	unknownKey[2] = 77
	for name, c := range map[string]struct {
		datagram []byte
		want     answerVerdict
	}{
		"relayed":     {fromAgent(testKeys(), wire.KindToCaller, packet), answerRelayed},
		"bad MAC":     {bad, answerBadMAC},
		"unknown key": {unknownKey, answerUnknownKey},
		"wrong kind":  {fromAgent(testKeys(), wire.KindToAgent, packet), answerWrongKind},
		"no payload":  {fromAgent(testKeys(), wire.KindToCaller, nil), answerMalformed},
		"too short":   {packet, answerTooShort},
		"no magic":    {make([]byte, wire.HeaderSize+1), answerMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness()
				b.start(t)
				b.data.in <- c.datagram
				s, ok := b.fabric.take()
				is.Equal(ok, c.want == answerRelayed)
				is.Equal(b.entry.counters.answers[c.want].Load(), uint64(1))
				if !ok {
					return
				}
				is.Equal(s.to, returnAddr)
				p := proxiedByLibrary(s.data)
				is.Equal(p.caller, serviceAddr) // the source of an answer is the service
				is.Equal(p.destination, callerAddr)
				is.Equal(s.data[p.size:], packet)
			})
		})
	}
}

func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		b.start(t)
		b.fleet.set(func() { b.fleet.config = testConfig(true) })
		time.Sleep(maxRebuildPause)
		for _, packet := range [][]byte{established(testKeys(), testZone), initial()} {
			b.fabric.in <- fromCaller(packet)
			_, ok := b.data.take()
			is.True(!ok) // a packet went into a zone that is out
		}
		is.Equal(b.packets(routing.DropZoneOut), uint64(1))
		is.Equal(b.packets(routing.DropNoUpstream), uint64(1))
		b.data.in <- fromAgent(testKeys(), wire.KindToCaller, []byte("late"))
		_, ok := b.fabric.take()
		is.True(ok) // answers are still relayed
		is.Equal(len(b.fleet.events.Find("bells")), 2)
	})
}

func TestStopDrainsThenLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		_, done := b.start(t)
		b.entry.Stop()
		b.entry.Stop()
		synctest.Wait()
		state, left := b.fleet.state()
		is.Equal(state, membership.StateDraining)
		is.True(!left)
		ok, reason := b.entry.Health()
		is.True(!ok)
		is.Equal(reason, "draining")

		time.Sleep(drainPeriod - time.Millisecond)
		b.fabric.in <- fromCaller(initial())
		_, ok = b.data.take()
		is.True(ok) // a draining entry still relays

		time.Sleep(time.Millisecond)
		synctest.Wait()
		_, left = b.fleet.state()
		is.True(left)
		b.data.in <- fromAgent(testKeys(), wire.KindToCaller, []byte("late"))
		_, ok = b.fabric.take()
		is.True(ok) // late answers are still relayed
		is.NoErr(<-done)
	})
}

func TestAbruptEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness()
		cancel, done := b.start(t)
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
		_, left := b.fleet.state()
		is.True(!left)
	})
}

func TestNothingIsAllocatedForEachPacket(t *testing.T) {
	is := is.New(t)
	b := newHarness()
	b.adopt()
	f, r := newForwarder(b.entry), newRelay(b.entry)
	for _, packet := range [][]byte{initial(), established(testKeys(), testZone)} {
		m := newMessage(wire.HeaderSize)
		is.Equal(testing.AllocsPerRun(100, func() { m.pass(fromCallerTo, packet, f.handle) }), 0.0)
		is.True(m.out != nil)
	}
	m := newMessage(0)
	answer := fromAgent(testKeys(), wire.KindToCaller, initial())
	is.Equal(testing.AllocsPerRun(100, func() { m.pass(nil, answer, r.handle) }), 0.0)
	is.True(m.out != nil)
}
