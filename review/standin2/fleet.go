//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"crocusnotch/platform/platformtest"
)

// Ports of the machines; each machine has a loopback address of its own.
const (
	portControl  = 7720
	portData     = 7735 // of entries
	portOutbound = 8162
	portApp      = 8165
	portAnnounce = 8166
	portReady    = 8167
	portStore    = 8169
	portDatagram = 8172
)

// Third octets of the addresses.
const (
	netEntry  = 1
	netAgent  = 2
	netClient = 3
	netStore  = 4
	netRoute  = 5
)

// Bounds and settings of a small deployment, as in its site file and DEPLOY.md.
const (
	heartbeatInterval = 1200 * time.Millisecond
	idleTimeout       = 15 * time.Second
	flowMax           = 60 * time.Second
	restartDelay      = 200 * time.Millisecond // of a process that has exited
	graceBound        = 6 * time.Second
)

var zones = []string{"bogota-a", "bogota-b", "bogota-c"}

// world is one small deployment on loopback addresses.
type world struct {
	repo, dir string
	subnet    byte
	started   time.Time
	store     *platformtest.Store
	entries   []*process
	agents    []*process
	endpoints []*endpoint

	mu     sync.Mutex
	record *os.File
	broken []string
	inRota []bool // entries in rotation
	misses []int
}

// fatal ends the program when the case can't run.
type cannotRun struct{ err error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

func (w *world) ip(net, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.subnet, byte(net), byte(i + 1)})
}

func (w *world) addr(net, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(net, i), port)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// freeSubnet returns a second octet whose ports are free.
func freeSubnet() (byte, error) {
	for range 50 {
		n := byte(20 + rand.IntN(200))
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, netStore, 1}), portStore)
		l, err := net.Listen("tcp4", a.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// process is one program of the system.
type process struct {
	w            *world
	name, binary string
	settings     string
	cmd          *exec.Cmd
	exited       chan struct{}
}

func (p *process) start() {
	out, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(filepath.Join(p.w.repo, "target", p.binary), "--settings", p.settings)
	cmd.Dir = p.w.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CROCUSNOTCH_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// restartGracefully stops the process as the platform does and starts it again.
func (p *process) restartGracefully() {
	p.w.log("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceBound):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.w.log("%s has exited", p.name)
	time.Sleep(restartDelay)
	p.start()
	p.w.log("%s starts again", p.name)
}

func (p *process) kill() {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// render fills in a template of deploy/ with the settings of a machine.
func render(template string, values map[string]any) string {
	var pairs []string
	for k, v := range values {
		asJSON, err := json.Marshal(v)
		must(err)
		pairs = append(pairs, "{{"+k+"|json}}", string(asJSON), "{{"+k+"}}", fmt.Sprint(v))
	}
	return strings.NewReplacer(pairs...).Replace(template)
}

func (w *world) newProcess(binary, template string, net, i int, values map[string]any) *process {
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "andina"
	}
	all := map[string]any{
		"Zone": zones[i%len(zones)], "Zones": zoneMap, "Ip": w.ip(net, i).String(),
		"InternalPortRange.0": portControl, "InternalPortRange.1": portData,
		"Listen.DatagramAddr": w.addr(net, i, portDatagram).String(), "Listen.ReadyAddr": w.addr(net, i, portReady).String(),
		"platform.Address":    w.addr(netStore, 0, portStore).String(),
		"Seeds":               []string{w.addr(netEntry, 0, portAnnounce).String(), w.addr(netEntry, 1, portAnnounce).String()},
		"Bounds.FlowMaxS":     int(flowMax.Seconds()),
		"Bounds.GraceS":       int(graceBound.Seconds()),
		"Bounds.ContactMs":    4000,
		"HeartbeatIntervalMs": heartbeatInterval.Milliseconds(),
	}
	for k, v := range values {
		all[k] = v
	}
	text, err := os.ReadFile(filepath.Join(w.repo, "deploy", template))
	must(err)
	p := &process{w: w, name: fmt.Sprintf("%s-%d", strings.TrimPrefix(binary, "crocus-"), i+1), binary: binary}
	p.settings = filepath.Join(w.dir, p.name+".json")
	must(os.WriteFile(p.settings, []byte(render(string(text), all)), 0o600))
	return p
}

// startFleet starts the store, the system and one endpoint beside each agent, and waits
// until the entries are ready. service names the service of each agent.
func (w *world) startFleet(entries int, services []string, speed []float64) {
	l, err := net.Listen("tcp4", w.addr(netStore, 0, portStore).String())
	must(err)
	go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
	for i := range entries {
		w.entries = append(w.entries, w.newProcess("crocus-entry", "entry.json", netEntry, i, nil))
	}
	for i, s := range services {
		w.agents = append(w.agents, w.newProcess("crocus-agent", "agent.json", netAgent, i, map[string]any{
			"Service": s, "app": w.addr(netAgent, i, portApp).String(),
			"Listen.outbound": w.addr(netAgent, i, portOutbound).String(), "Listen.Control": w.addr(netAgent, i, portAnnounce).String(),
		}))
	}
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.start()
	}
	time.Sleep(300 * time.Millisecond)
	for i, s := range services {
		w.endpoints = append(w.endpoints, newEndpoint(w, i, s, speed[i]))
	}
	w.inRota, w.misses = make([]bool, entries), make([]int, entries)
	go w.checkReadiness()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		up := 0
		for _, in := range w.inRota {
			if in {
				up++
			}
		}
		w.mu.Unlock()
		if up == entries {
			break
		}
		if time.Now().After(end) {
			panic(cannotRun{fmt.Errorf("%d of %d entries became ready", up, entries)})
		}
	}
	time.Sleep(3 * time.Second)
	w.log("the fleet is ready")
}

// checkReadiness polls the entries twice a second, as the platform's routers do.
func (w *world) checkReadiness() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for i := range w.entries {
			ok := false
			if res, err := client.Get("http://" + w.addr(netEntry, i, portReady).String() + "/ready"); err == nil {
				ok = res.StatusCode == http.StatusOK
				_ = res.Body.Close()
			}
			w.mu.Lock()
			if ok {
				w.inRota[i], w.misses[i] = true, 0
			} else if w.misses[i]++; w.misses[i] >= 2 {
				w.inRota[i] = false
			}
			w.mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the entry that the routers select for a flow: by a hash of its addresses
// and ports over the entries in rotation, of which only those of an entry that leaves move.
func (w *world) route(src, dst netip.AddrPort) *net.UDPAddr {
	w.mu.Lock()
	defer w.mu.Unlock()
	best, bestScore := 0, uint32(0)
	for i, in := range w.inRota {
		score := sumOf(append(make([]byte, headerSize), fmt.Sprintf("%s %s %d", src, dst, i*7919)...))
		if in && score > bestScore {
			best, bestScore = i, score
		}
	}
	return net.UDPAddrFromAddrPort(w.addr(netEntry, best, portDatagram))
}

func (w *world) stop() {
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		p.kill()
	}
}
