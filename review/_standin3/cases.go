package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"crocusnotch/platform/platformtest"
)

func init() {
	cases["cold-after-evacuation"] = coldAfterEvacuation
	cases["evacuation-lost-in-restore"] = evacuationLostInRestore
	cases["agent-without-configuration"] = agentWithoutConfiguration
}

const alpha = "alpha"

func (l *lab) setUp(frontZones []string, sides []side, o endpointOptions, warmupPerS float64) error {
	if err := l.build(frontZones, sides, o); err != nil {
		return err
	}
	l.configure(3, []routeSpec{{l.route(0), alpha, "unsafe"}}, []service{{alpha, warmupPerS}})
	return l.start()
}

// judgeColdStarts checks rule FAILBACK: the requests that were sent and reached a cold
// endpoint in any second.
func (l *lab) judgeColdStarts(warmupPerS float64) {
	bound := warmupPerS*warmupFactor + warmupSlack
	for _, e := range l.endpoints {
		e.mu.Lock()
		for _, span := range e.colds {
			worst, at := 0, time.Time{}
			for _, first := range e.openings {
				n := 0
				for _, o := range e.openings {
					in := !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) < time.Second
					if in && o.arrived.After(span.from) && o.arrived.Before(span.until) {
						n++
					}
				}
				if n > worst {
					worst, at = n, first.sent
				}
			}
			l.logAt(span.from, "cold endpoint %s: at most %d requests in a second, bound %.1f", e.id, worst, bound)
			if float64(worst) > bound {
				l.breaks("FAILBACK: cold endpoint %s got %d requests in the second from %s; the bound is %.1f", e.id, worst, l.since(at), bound)
			}
		}
		e.mu.Unlock()
	}
}

// coldAfterEvacuation evacuates a zone and takes it back five times. Its endpoints become cold
// shortly before it is taken back, and say so with their next heartbeats.
func coldAfterEvacuation(l *lab) error {
	const perSecond = 6.0
	sides := []side{{zone: "za", service: alpha}, {zone: "zb", service: alpha}, {zone: "za", service: alpha}, {zone: "zb", service: alpha}, {zone: "za", service: alpha}, {zone: "zb", service: alpha}}
	if err := l.setUp([]string{"za", "zb"}, sides, endpointOptions{slots: 5, work: 20 * time.Millisecond}, perSecond); err != nil {
		return err
	}
	until := time.Now().Add(100 * time.Second)
	var wg sync.WaitGroup
	for i, z := range l.zones {
		c, err := l.newClient(i, z)
		if err != nil {
			return err
		}
		wg.Go(func() { c.runFresh(l.route(0), 150, until, c.newPort, func(uint16) {}) })
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		for range 5 {
			l.evacuate("za")
			time.Sleep(7800 * time.Millisecond)
			for _, e := range l.endpoints {
				if e.zone == "za" {
					e.turnCold(warmupTime)
				}
			}
			time.Sleep(200 * time.Millisecond)
			l.takeBack("za")
			time.Sleep(10*time.Second + time.Duration(rand.Int64N(int64(heartbeatInterval))))
		}
	}
	wg.Wait()
	l.judgeColdStarts(perSecond)
	return nil
}

// evacuationLostInRestore evacuates a zone. 2 s later the store is away for 1 s and comes back
// from a copy that is 4 s old. The operator writes the evacuation again 15 s after that.
func evacuationLostInRestore(l *lab) error {
	l.store.SetEra(1)
	sides := []side{{zone: "za", service: alpha}, {zone: "zb", service: alpha}, {zone: "za", service: alpha}, {zone: "zb", service: alpha}}
	if err := l.setUp([]string{"za", "zb"}, sides, endpointOptions{slots: 5, work: 20 * time.Millisecond}, 0); err != nil {
		return err
	}
	until := time.Now().Add(45 * time.Second)
	var wg sync.WaitGroup
	for i, z := range l.zones {
		c, err := l.newClient(i, z)
		if err != nil {
			return err
		}
		wg.Go(func() { c.runFresh(l.route(0), 40, until, c.newPort, func(uint16) {}) })
	}
	time.Sleep(6 * time.Second)
	acked := l.evacuate("za")
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.log("the store is away")
		l.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Unavailable })
		time.Sleep(time.Second)
		l.store.Restore(4 * time.Second)
		l.store.SetFault(nil)
		l.log("the store is back from a copy that is 4 s old")
	}
	time.Sleep(15 * time.Second)
	l.evacuate("za") // again
	wg.Wait()
	for _, e := range l.endpoints {
		e.mu.Lock()
		for _, o := range e.openings {
			if e.zone == "za" && o.arrived.Sub(acked) > evacuateBound {
				l.breaks("EVAC: a request from client %s reached endpoint %s in the evacuated zone %.3f s after the acknowledgement", o.flow.key.client, e.id, o.arrived.Sub(acked).Seconds())
			}
		}
		e.mu.Unlock()
	}
	return nil
}

// agentWithoutConfiguration adds a side machine at a time, as a scale-out does. While its
// endpoint is cold the store is down for 4.5 s, and the process beside the endpoint is killed
// and started again. The seeds of the side machines are stale.
func agentWithoutConfiguration(l *lab) error {
	const perSecond = 20.0
	l.warmup, l.staleSeed = 4*time.Second, true
	sides := []side{
		{zone: "za", service: alpha}, {zone: "zb", service: alpha}, {zone: "za", service: alpha}, {zone: "zb", service: alpha},
		{zone: "za", service: alpha, later: true}, {zone: "zb", service: alpha, later: true}, {zone: "za", service: alpha, later: true},
	}
	if err := l.setUp([]string{"za", "zb"}, sides, endpointOptions{slots: 5, work: 30 * time.Millisecond}, perSecond); err != nil {
		return err
	}
	until := time.Now().Add(42 * time.Second)
	var wg sync.WaitGroup
	for i, z := range l.zones {
		c, err := l.newClient(i, z)
		if err != nil {
			return err
		}
		wg.Go(func() { c.runFresh(l.route(0), 120, until, c.newPort, func(uint16) {}) })
	}
	time.Sleep(2 * time.Second)
	for i, e := range l.endpoints {
		if !e.later {
			continue
		}
		next := time.Now().Add(12 * time.Second)
		p := l.sides[i]
		if err := p.start(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		e.begin(0, l.warmup)
		time.Sleep(700 * time.Millisecond)
		if l.trouble {
			l.log("the store is down")
			l.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Unavailable })
			time.Sleep(100 * time.Millisecond)
			p.signal(syscall.SIGKILL)
			<-p.done
			time.Sleep(200 * time.Millisecond)
			if err := p.start(); err != nil {
				return err
			}
			time.Sleep(4200 * time.Millisecond)
			l.store.SetFault(nil)
			l.log("the store is back")
		}
		time.Sleep(time.Until(next))
	}
	wg.Wait()
	l.judgeColdStarts(perSecond)
	return nil
}
