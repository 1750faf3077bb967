//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"crocusnotch/platform/platformtest"
)

// Deadlines and work of the kinds of request on the sheet of the small deployment.
const (
	unsafeDeadline = 2 * time.Second
	workSpread     = 0.5
	unsafeWork     = 72.0 // milliseconds, mean
	unsafeWorkMax  = 430.0
)

// sampleWork returns the work of a request in milliseconds, as on the sheet.
func sampleWork(mean, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + workSpread*workSpread))
	return min(limit, mean*math.Exp(rand.NormFloat64()*sigma-sigma*sigma/2))
}

// routeSpec is a route of the operator's configuration.
type routeSpec struct {
	addr    netip.AddrPort
	kind    string
	service string
}

// configure writes a version of the configuration. The store's answer acknowledges it.
func (w *world) configure(version int, services []string, routes ...routeSpec) {
	var list, pools []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("r-%d", i), "Host": r.addr.Addr().String(), "PathPrefix": fmt.Sprintf("/%d/", r.addr.Port()),
			"Type": r.kind, "TimeoutMs": 2000, "TargetLatencyMs": 300, "Priority": 1, "Service": r.service, "Attempts": 2,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{
			"Name": s, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false, "WarmupS": 2.0, "WarmupPerS": 0.0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"Version": version, "Routes": list, "Services": pools,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": int(idleTimeout.Milliseconds())},
	})
	must(err)
	w.store.Put("config", "main", string(text))
	w.log("version %d of the configuration is acknowledged", version)
}

// holder returns the living endpoint that holds the flow open.
func (w *world) holder(name string) (e *endpoint, age, idle time.Duration) {
	w.mu.Lock()
	endpoints := append([]*endpoint(nil), w.endpoints...)
	w.mu.Unlock()
	for _, e := range endpoints {
		if open, age, idle := e.holds(name); open {
			return e, age, idle
		}
	}
	return nil, 0, 0
}

// judgeReset records a broken FLOW rule if the system reset a flow that is open at a
// living endpoint. The endpoints here send no resets.
func (w *world) judgeReset(f *clientFlow) {
	e, age, idle := w.holder(f.name())
	if e == nil {
		w.log("client %s: reset of a flow that no endpoint holds", f.src)
		return
	}
	if age > flowMax || idle > idleTimeout {
		w.log("client %s: reset of an old or idle flow", f.src)
		return
	}
	w.violation("FLOW: client %s got a reset of the system on flow %s, open for %.1f s at endpoint %s, which lives, holds it and sent none",
		f.src, f.name(), age.Seconds(), e.id)
}

func isDone(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ask opens a flow from the port and sends an unsafe request on it.
func (c *client) ask(port uint16, to netip.AddrPort, id string, headers ...string) (f *clientFlow, answer string, err error) {
	f, err = c.open(port, to)
	if err != nil {
		return nil, "", err
	}
	answer, err = f.request("POST", id, sampleWork(unsafeWork, unsafeWorkMax), 700, 600, unsafeDeadline, headers...)
	return f, answer, err
}

// foreignHeartbeat sends two agents one heartbeat of another writer each: one has a service
// that no configuration names, the other one has texts where numbers belong.
func foreignHeartbeat(w *world, trouble bool) {
	const flows = 36
	service := "entradas"
	unsafe := routeSpec{netip.AddrPortFrom(w.ip(netRoute, 0), 8080), "unsafe", service}
	w.configure(1, []string{service}, unsafe)
	w.startFleet(2, []string{service, service, service}, []float64{1, 1, 1})
	c := newClient(w, 0)
	begin := time.Now()
	var all sync.WaitGroup
	for i := range flows {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			f, _, err := c.ask(uint16(43000+i), unsafe.addr, fmt.Sprintf("a%d", i))
			if err != nil {
				w.log("client %d: first request: %v", i, err)
				return
			}
			f.onReset = w.judgeReset
			// Half of the requests are under way when the heartbeats arrive.
			pause := 1500*time.Millisecond - 30*time.Millisecond*time.Duration(i%2)
			if err = f.wait(time.Until(begin.Add(pause + time.Duration(i%2)*1500*time.Millisecond))); err == nil {
				_, err = f.request("POST", fmt.Sprintf("b%d", i), sampleWork(unsafeWork, unsafeWorkMax), 700, 600, unsafeDeadline)
			}
			if err != nil {
				w.log("LOST b%d is not answered: %v", i, err)
				return
			}
			f.close()
		}()
	}
	time.Sleep(time.Until(begin.Add(1520 * time.Millisecond)))
	if trouble {
		born := time.Now().UnixMilli()
		bodies := []string{
			fmt.Sprintf(`{"Service":"nobody-knows","Address":"%s","Zone":"%s","Version":"v1","Slots":9,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":%d}`, w.addr(netAgent, 0, portApp), zones[0], born),
			fmt.Sprintf(`{"Service":"%s","Address":"%s","Zone":"%s","Version":"v1","Slots":"9","State":"ready","WarmupLeftMs":"0","Seq":"1","born":"%d"}`, service, w.addr(netAgent, 1, portApp), zones[1], born),
		}
		for i, body := range bodies {
			ok := w.endpoints[i].call(http.MethodPut, fmt.Sprintf("i-other-%d", i+1), body)
			w.log("a heartbeat of another writer reaches the agent beside %s (answered with 2xx: %v): %s", w.endpoints[i].id, ok, body)
		}
	}
	all.Wait()
}

// operate makes one call to the store as the operator does. ok tells whether the store has
// acknowledged it.
func (w *world) operate(method, path, body string) (ok bool) {
	r, err := http.NewRequest(method, "http://"+w.addr(netStore, 0, portStore).String()+path, strings.NewReader(body))
	must(err)
	res, err := http.DefaultClient.Do(r)
	must(err)
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	must(err)
	w.log("operator: %s %s -> %d %s", method, path, res.StatusCode, bytes.TrimSpace(answer))
	return res.StatusCode/100 == 2
}

// evacuate makes the entry of the zone exist: it creates the entry, or puts it again if
// there is one.
func (w *world) evacuate(zone string) {
	body := fmt.Sprintf(`{"meta":{"Name":"%s"},"spec":{}}`, zone)
	if w.operate(http.MethodGet, "/objects/evacuations/"+zone, "") {
		if w.operate(http.MethodPut, "/objects/evacuations/"+zone, body) {
			return
		}
	} else if w.operate(http.MethodPost, "/objects/evacuations", body) {
		return
	}
	panic(cannotRun{fmt.Errorf("the store has not acknowledged the evacuation of %s", zone)})
}

// evacuationAfterRestore evacuates a zone, takes it back, restores the store from a copy in
// which the zone is out, and evacuates it again.
func evacuationAfterRestore(w *world, trouble bool) {
	const (
		evacuateBound = 5 * time.Second // EvacuateMs
		contact       = 4 * time.Second // ContactMs
		away          = time.Second
		copyAge       = 4 * time.Second
		rate          = 40 // flows a second
	)
	service, zone := "entradas", zones[0]
	unsafe := routeSpec{netip.AddrPortFrom(w.ip(netRoute, 0), 8080), "unsafe", service}
	w.store.SetEra(1)
	w.configure(1, []string{service}, unsafe)
	w.startFleet(3, []string{service, service, service, service, service, service}, []float64{1, 1, 1, 1, 1, 1})
	var evacuatedAt, restoredAt atomic.Pointer[time.Time]
	set := func(p *atomic.Pointer[time.Time]) {
		now := time.Now()
		p.Store(&now)
	}
	for i, e := range w.endpoints {
		if zones[i%len(zones)] != zone {
			continue
		}
		e.judgeOpening = func(p *packet) string {
			at, restored := evacuatedAt.Load(), restoredAt.Load()
			if at == nil || time.Since(*at) <= evacuateBound || restored != nil && time.Since(*restored) <= contact {
				return ""
			}
			return fmt.Sprintf("EVAC: flow %s reaches endpoint %s in zone %s %.2f s after its evacuation was acknowledged", flowName(p.src, p.dst), e.id, zone, time.Since(*at).Seconds())
		}
	}
	c := newClient(w, 0)
	done := make(chan struct{})
	var all sync.WaitGroup
	go func() {
		for i := 0; !isDone(done); i++ {
			all.Add(1)
			go func() {
				defer all.Done()
				f, _, err := c.ask(uint16(20000+i), unsafe.addr, fmt.Sprintf("q%d", i), "Connection: close\r\n")
				if err != nil {
					w.log("q%d is not answered: %v", i, err)
					return
				}
				f.close()
			}()
			time.Sleep(time.Second / rate)
		}
	}()
	time.Sleep(time.Second)
	w.evacuate(zone)
	time.Sleep(6 * time.Second)
	w.operate(http.MethodDelete, "/objects/evacuations/"+zone, "")
	time.Sleep(2 * time.Second)
	if trouble {
		w.log("the store is away")
		w.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Unavailable })
		time.Sleep(away)
		w.store.Restore(copyAge)
		w.store.SetFault(nil)
		w.log("the store is back from a copy that is %v old", copyAge)
		set(&restoredAt)
	}
	time.Sleep(time.Second)
	w.evacuate(zone)
	set(&evacuatedAt)
	time.Sleep(13 * time.Second)
	close(done)
	all.Wait()
}

// delayedHeartbeat lets endpoints crash and start again. Some seconds later the agent beside
// one is stopped and started as planned work, and a heartbeat of the endpoint's earlier
// incarnation, which was delayed, arrives.
func delayedHeartbeat(w *world, trouble bool) { playDelayedHeartbeat(w, trouble, false) }

// delayedFirstHeartbeat is like delayedHeartbeat, but between the two incarnations of an
// endpoint there is another one, which crashes at its start; its first heartbeat is the one
// that was delayed.
func delayedFirstHeartbeat(w *world, trouble bool) { playDelayedHeartbeat(w, trouble, true) }

func playDelayedHeartbeat(w *world, trouble, first bool) {
	const (
		flows   = 60
		rounds  = 9
		pause   = 400 * time.Millisecond // between two requests of a flow, on average
		calm    = 5 * time.Second        // longer than ContactMs
		arrival = 200 * time.Millisecond // of the delayed heartbeat, after the agent's start
	)
	service := "entradas"
	unsafe := routeSpec{netip.AddrPortFrom(w.ip(netRoute, 0), 8080), "unsafe", service}
	w.configure(1, []string{service}, unsafe)
	w.startFleet(2, []string{service, service, service}, []float64{1, 1, 1})
	c := newClient(w, 0)
	var port atomic.Int64
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range flows {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; !isDone(done); {
				f, err := c.open(uint16(20000+port.Add(1)%40000), unsafe.addr)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				f.onReset = w.judgeReset
				for err == nil && !isDone(done) && time.Since(f.openedAt) < 40*time.Second {
					if err = f.wait(time.Duration(rand.Float64() * float64(2*pause))); err == nil {
						n++
						_, err = f.request("POST", fmt.Sprintf("q%d.%d", i, n), sampleWork(unsafeWork, unsafeWorkMax), 700, 600, unsafeDeadline)
					}
				}
				if err != nil {
					w.log("client %s, q%d.%d: %v", f.src, i, n, err)
					f.forget()
					continue
				}
				f.close()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		i := round % len(w.endpoints)
		w.mu.Lock()
		e := w.endpoints[i]
		w.mu.Unlock()
		id, heartbeat := e.crash()
		time.Sleep(300 * time.Millisecond)
		if first {
			e.mu.Lock()
			e.born, e.seq = time.Now().UnixMilli(), 1
			id, heartbeat = fmt.Sprintf("i-%d-%x", i+1, e.born), e.heartbeat()
			e.mu.Unlock()
			w.log("endpoint %s starts there and crashes; its first heartbeat is still on its way", id)
		}
		time.Sleep(300 * time.Millisecond)
		next := newEndpoint(w, i, service, 1)
		w.mu.Lock()
		w.endpoints[i] = next
		w.mu.Unlock()
		w.log("endpoint %s starts at the address of %s", next.id, id)
		time.Sleep(calm + time.Duration(rand.Float64()*float64(heartbeatInterval)))
		w.agents[i].restartGracefully()
		time.Sleep(arrival)
		if trouble {
			ok := e.call(http.MethodPut, id, heartbeat)
			w.log("the delayed heartbeat of %s arrives (answered with 2xx: %v)", id, ok)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(done)
	all.Wait()
}
