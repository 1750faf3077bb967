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

// start runs the entry in the synctest bubble until the end of the test.
func (env *testEnv) start(t *testing.T) (cancel func(), done chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- env.entry.Run(ctx) }()
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return cancel, done
}

func (env *testEnv) packets(v routing.Verdict) uint64 { return env.entry.counters.packets[v].Load() }

// nextSent returns the next datagram that was sent on c, and whether there is one.
func (c *memoryConn) nextSent() (sentDatagram, bool) {
	synctest.Wait()
	select {
	case s := <-c.out:
		return s, true
	default:
		return sentDatagram{}, false
	}
}

func TestPacketsReachTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.start(t)
		for _, packet := range [][]byte{initialPacket(), establishedPacket(testKeys(), testZone)} {
			env.fabric.in <- fromCaller(packet)
			s, ok := env.data.nextSent()
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
		is.Equal(env.packets(routing.ForwardCandidates), uint64(1))
		is.Equal(env.packets(routing.ForwardOwner), uint64(1))
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
				env := newTestEnv()
				env.start(t)
				env.data.in <- c.datagram
				s, ok := env.fabric.nextSent()
				is.Equal(ok, c.want == answerRelayed)
				is.Equal(env.entry.counters.answers[c.want].Load(), uint64(1))
				if !ok {
					return
				}
				is.Equal(s.to, returnAddr)
				p := parseProxyWithLibrary(s.data)
				is.Equal(p.caller, serviceAddr) // the source address of an answer is the service's
				is.Equal(p.destination, callerAddr)
				is.Equal(s.data[p.size:], packet)
			})
		})
	}
}

func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.start(t)
		env.fleet.set(func() { env.fleet.config = testConfig(true) })
		time.Sleep(maxRebuildPause)
		for _, packet := range [][]byte{establishedPacket(testKeys(), testZone), initialPacket()} {
			env.fabric.in <- fromCaller(packet)
			_, ok := env.data.nextSent()
			is.True(!ok) // packets are not forwarded to a zone that is out of service
		}
		is.Equal(env.packets(routing.DropZoneOut), uint64(1))
		is.Equal(env.packets(routing.DropNoUpstream), uint64(1))
		env.data.in <- fromAgent(testKeys(), wire.KindToCaller, []byte("late"))
		_, ok := env.fabric.nextSent()
		is.True(ok)                                      // answers are still relayed
		is.Equal(len(env.fleet.events.Find("bells")), 2) // candidates 0 to 1, then 1 to 0
	})
}

func TestStopDrainsThenLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		_, done := env.start(t)
		env.entry.Stop()
		env.entry.Stop()
		synctest.Wait()
		state, left := env.fleet.state()
		is.Equal(state, membership.StateDraining)
		is.True(!left)
		ok, reason := env.entry.Health()
		is.True(!ok)
		is.Equal(reason, "draining")

		time.Sleep(drainPeriod - time.Millisecond)
		env.fabric.in <- fromCaller(initialPacket())
		_, ok = env.data.nextSent()
		is.True(ok) // a draining entry still forwards packets

		time.Sleep(time.Millisecond)
		synctest.Wait()
		_, left = env.fleet.state()
		is.True(left)
		env.data.in <- fromAgent(testKeys(), wire.KindToCaller, []byte("late"))
		_, ok = env.fabric.nextSent()
		is.True(ok) // late answers are still relayed
		is.NoErr(<-done)
	})
}

func TestRunEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		cancel, done := env.start(t)
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
		_, left := env.fleet.state()
		is.True(!left)
	})
}

func TestHandlersDoNotAllocate(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.loadTable()
	f, r := newForwarder(env.entry), newRelay(env.entry)
	for _, packet := range [][]byte{initialPacket(), establishedPacket(testKeys(), testZone)} {
		m := newMessage(wire.HeaderSize)
		is.Equal(testing.AllocsPerRun(100, func() { m.deliver(callerProxyHeader, packet, f.handle) }), 0.0)
		is.True(m.out != nil)
	}
	m := newMessage(0)
	answer := fromAgent(testKeys(), wire.KindToCaller, initialPacket())
	is.Equal(testing.AllocsPerRun(100, func() { m.deliver(nil, answer, r.handle) }), 0.0)
	is.True(m.out != nil)
}
