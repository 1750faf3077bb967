package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	service      = "bellhouse"
	slots        = 5
	restartDelay = 500 * time.Millisecond // after the end of a process, before it is started again
	rollGap      = 1200 * time.Millisecond
)

// configuration is the operator's: one route of each kind to the service.
func (w *world) configuration() map[string]any {
	route := func(name, kind string, host byte, port uint16, timeout, target, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": w.ip(8, host).String(), "PathPrefix": fmt.Sprintf("/%d/", port), "Type": kind, "TimeoutMs": timeout,
			"TargetLatencyMs": target, "Priority": priority, "Service": service, "Attempts": 2,
		}
	}
	return map[string]any{
		"Version": 7,
		"Routes": []any{
			route("r-berth", "unsafe", 1, 8080, 1200, 200, 1),
			route("r-chime", "download", 2, 8443, 3000, 500, 2),
		},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false, "WarmupS": 2.0, "WarmupPerS": 0.0,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// startFleet starts 2 fronts and the sides with a server beside each, in two zones.
func (w *world) startFleet(sides []string) error {
	w.store.operatorPut("config", "main", w.configuration())
	w.addFront("poti-pier")
	w.addFront("batumi-quay")
	for _, zone := range sides {
		w.addSide(zone)
	}
	for _, m := range w.fronts {
		if err := w.prepare(m, "entry.json", ""); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range w.sides {
		if err := w.prepare(m, "agent.json", service); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	w.probes()
	time.Sleep(2 * time.Second) // a server starts after the node on its machine
	for _, m := range w.sides {
		s, err := newServer(w, service, m.zone, slots, m.addr(portApp), m.addr(portOutbound), m.addr(portControl))
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // traffic starts some seconds after the machines
	return nil
}

// users run until stop is closed: each keeps a flow open for requests with pauses between
// them, and opens another one from a new port when it has ended.
func (w *world) users(c *client, n int, work func() int, pause time.Duration, stop chan struct{}, all *sync.WaitGroup) {
	var mu sync.Mutex
	port := uint16(40000)
	for u := range n {
		all.Go(func() {
			var f *clientFlow
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(2 * pause)))):
				}
				if f == nil || f.wasReset() {
					mu.Lock()
					port++
					p := port
					mu.Unlock()
					var ok bool
					if f, ok = c.open(p, w.routeAddr(1, 8080)); !ok {
						f = nil
						continue
					}
				}
				f.exchange(fmt.Sprintf("%s-%d-%d", c.ip, u, i), "POST", work(), false, 1200*time.Millisecond)
			}
		})
	}
}

// judgeResets breaks FLOW when a client gets a reset of the system's on a flow that is open
// at a server that lives, and that the server did not reset.
func (w *world) judgeResets() {
	w.onReset = func(f *clientFlow, wasOpen bool) {
		s := w.owner(f.key)
		if s == nil || !wasOpen || !s.holds(f.key) {
			return
		}
		w.broken("FLOW: the client of %s got a reset of the system's, while server %s at %s lives and holds the flow", f.key, s.id, s.app)
	}
}

// startUsers starts a client machine in each zone, with users that keep flows open.
func (w *world) startUsers(n int, work func() int, pause time.Duration, stop chan struct{}, all *sync.WaitGroup) error {
	for i, zone := range []string{"poti-pier", "batumi-quay"} {
		c, err := newClient(w, zone, w.ip(9, byte(i+1)))
		if err != nil {
			return err
		}
		w.users(c, n, work, pause, stop, all)
	}
	return nil
}

// longWork is the work of a request in ms, up to the largest of berth-ack.
func longWork() int { return 39 + rand.IntN(230-39+1) }

// meanWork is the mean work of berth-ack in ms.
func meanWork() int { return 39 }

// restartOfNodes stops and starts the nodes beside the servers in turn (roll_term, x 1,
// share 1, gap 1.2 s).
func restartOfNodes(w *world, trouble bool) error {
	if err := w.startFleet([]string{"poti-pier", "poti-pier", "batumi-quay", "batumi-quay"}); err != nil {
		return err
	}
	w.judgeResets()
	stop := make(chan struct{})
	var all sync.WaitGroup
	if err := w.startUsers(8, longWork, 400*time.Millisecond, stop, &all); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); {
		for _, m := range w.sides {
			if trouble {
				if err := m.restart(restartDelay); err != nil {
					return err
				}
			}
			time.Sleep(rollGap)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	return nil
}

// restartTwice rolls the nodes beside the servers twice (roll_term, x 1, share 1): the
// second SIGTERM follows the first on the same machine after 1.2 s.
func restartTwice(w *world, trouble bool) error {
	if err := w.startFleet([]string{"poti-pier", "poti-pier", "batumi-quay", "batumi-quay"}); err != nil {
		return err
	}
	w.judgeResets()
	stop := make(chan struct{})
	var all sync.WaitGroup
	if err := w.startUsers(12, meanWork, 200*time.Millisecond, stop, &all); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for range 3 {
		for _, m := range w.sides {
			if trouble {
				for range 2 {
					next := time.After(rollGap)
					if err := m.restart(restartDelay); err != nil {
						return err
					}
					<-next
				}
			}
			time.Sleep(4 * time.Second)
		}
	}
	close(stop)
	all.Wait()
	return nil
}

// restartOfFronts stops and starts all front nodes at once, while the nodes beside the
// servers are stopped and started in turn.
func restartOfFronts(w *world, trouble bool) error {
	if err := w.startFleet([]string{"poti-pier", "poti-pier", "poti-pier", "batumi-quay", "batumi-quay", "batumi-quay"}); err != nil {
		return err
	}
	w.judgeResets()
	stop := make(chan struct{})
	var all sync.WaitGroup
	if err := w.startUsers(18, meanWork, 400*time.Millisecond, stop, &all); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for range 6 {
		var works sync.WaitGroup
		works.Go(func() {
			for _, m := range w.sides {
				if trouble {
					next := time.After(rollGap)
					_ = m.restart(restartDelay)
					<-next
				}
			}
		})
		time.Sleep(time.Second)
		for _, m := range w.fronts {
			if trouble {
				works.Go(func() { _ = m.restart(restartDelay) })
			}
		}
		works.Wait()
		time.Sleep(6 * time.Second)
	}
	close(stop)
	all.Wait()
	return nil
}

// fresh opens a flow for each request until stop is closed, from the ports in turn.
func (w *world) fresh(c *client, first uint16, ports, perS int, stop chan struct{}, all *sync.WaitGroup) {
	all.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perS))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			all.Go(func() {
				f, ok := c.open(first+uint16(i%ports), w.routeAddr(2, 8443))
				if !ok {
					w.count("flows not opened")
					return
				}
				if f.exchange(fmt.Sprintf("%s-f%d", c.ip, i), "GET", 5, true, 3*time.Second) {
					f.awaitClose(time.Second)
				}
			})
		}
	})
}

// startFresh starts clients that open a flow for each request.
func (w *world) startFresh(ports, perS int, stop chan struct{}, all *sync.WaitGroup) error {
	for i, zone := range []string{"poti-pier", "batumi-quay"} {
		c, err := newClient(w, zone, w.ip(9, byte(i+1)))
		if err != nil {
			return err
		}
		w.fresh(c, 30000, ports, perS, stop, all)
	}
	return nil
}

const (
	portPool  = 100 // ports that a client uses in turn
	flowsPerS = 12
)

// drainWithPorts lets one server drain while clients use their ports in turn.
func drainWithPorts(w *world, trouble bool) error {
	if err := w.startFleet([]string{"poti-pier", "poti-pier", "batumi-quay", "batumi-quay"}); err != nil {
		return err
	}
	w.onOpening = func(k flowKey, s *server, copies uint32) {
		s0 := s.drainAcked
		if !s0.IsZero() && time.Since(s0) > drainMs*time.Millisecond {
			w.broken("DRAIN: the opening of %s reached server %s %d ms after its node acknowledged that it is draining", k, s.id, time.Since(s0).Milliseconds())
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	if err := w.startFresh(portPool, flowsPerS, stop, &all); err != nil {
		return err
	}
	time.Sleep(20 * time.Second)
	if trouble {
		w.servers[0].drain()
	}
	time.Sleep(15 * time.Second)
	if trouble {
		w.servers[0].leave()
		w.sides[0].stop()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	all.Wait()
	return nil
}

// evacuateWithPorts empties a zone while clients use their ports in turn.
func evacuateWithPorts(w *world, trouble bool) error {
	if err := w.startFleet([]string{"poti-pier", "poti-pier", "batumi-quay", "batumi-quay"}); err != nil {
		return err
	}
	var since time.Time
	var mu sync.Mutex
	w.onOpening = func(k flowKey, s *server, copies uint32) {
		mu.Lock()
		at := since
		mu.Unlock()
		if s.zone == "poti-pier" && !at.IsZero() && time.Since(at) > evacuateMs*time.Millisecond {
			w.broken("EVAC: the opening of %s reached server %s in %s %d ms after its evacuation was acknowledged", k, s.id, s.zone, time.Since(at).Milliseconds())
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	if err := w.startFresh(portPool, flowsPerS, stop, &all); err != nil {
		return err
	}
	time.Sleep(20 * time.Second)
	if trouble {
		w.store.operatorPut("evacuations", "poti-pier", map[string]any{})
		w.record("operator: poti-pier is evacuated")
		mu.Lock()
		since = time.Now()
		mu.Unlock()
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	since = time.Time{}
	mu.Unlock()
	if trouble {
		w.store.operatorDelete("evacuations", "poti-pier")
		w.record("operator: poti-pier is taken back")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	return nil
}
