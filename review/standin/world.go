package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment mtkvari-bellnet.
const (
	beatInterval = 1200 * time.Millisecond
	drainMs      = 3000
	evacuateMs   = 5000
	graceS       = 6
	probeEvery   = 500 * time.Millisecond
)

// Ports are the same on all machines.
const (
	portDatagram = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8162
	portApp      = 8165
	portStore    = 8169
	portFirst    = 7720
	portLast     = 7735
)

// machine is a front or side machine with one process of the system.
type machine struct {
	w        *world
	name     string
	zone     string
	ip       netip.Addr
	program  string
	settings string
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	misses  int
	inUse   bool // in rotation, front only
	stopped bool // a stop was asked for
}

func (m *machine) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// world is one run: the machines, the platform's stand-ins and the record.
type world struct {
	root, tmp string
	base      byte // second part of all addresses
	started   time.Time
	store     *store
	fronts    []*machine
	sides     []*machine

	mu        sync.Mutex
	out       *os.File
	servers   []*server
	breaks    []string
	onReset   func(f *clientFlow, wasOpen bool)
	onOpening func(k flowKey, s *server, copies uint32)
	onOpened  func(k flowKey, s *server)
	counts    map[string]int
	sent      map[string]bool // requests
	ran       map[string]int
	opening   map[flowKey]bool
	ownerOf   map[flowKey]*server
	resetBy   map[flowKey]bool // by the flow's server
}

func newWorld(root, recordPath string) (*world, error) {
	w := &world{
		root: root, started: time.Now(), store: newStore(), counts: map[string]int{}, sent: map[string]bool{}, ran: map[string]int{},
		opening: map[flowKey]bool{}, ownerOf: map[flowKey]*server{}, resetBy: map[flowKey]bool{},
	}
	var err error
	if w.out, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.tmp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for b := 20; b < 250; b++ { // the first loopback net of which the ports are free
		w.base = byte((b + os.Getpid()) % 230)
		w.base += 20
		if free(w.ip(1, 1), w.ip(2, 1), w.ip(9, 1), w.ip(0, 1)) {
			break
		}
	}
	return w, w.store.serve(netip.AddrPortFrom(w.ip(0, 1), portStore).String())
}

func free(ips ...netip.Addr) bool {
	for _, ip := range ips {
		for _, port := range []uint16{portDatagram, portReady, portControl, portApp, portStore, portFirst} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, port).String())
			if err != nil {
				return false
			}
			_ = l.Close()
			c, err := net.ListenPacket("udp4", netip.AddrPortFrom(ip, port).String())
			if err != nil {
				return false
			}
			_ = c.Close()
		}
	}
	return true
}

func (w *world) ip(class, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.base, class, n}) }

func (w *world) routeAddr(n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(8, n), port)
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.started).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// broken records that a rule was broken.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, s)
	w.recordLocked("BROKEN  %s", s)
}

// settingsOf fills the project's template for a machine, as the platform does.
func (w *world) settingsOf(template string, m *machine, service string) (string, error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", template))
	if err != nil {
		return "", err
	}
	seeds := []string{}
	for _, f := range w.fronts[:min(3, len(w.fronts))] {
		seeds = append(seeds, f.addr(portControl).String())
	}
	values := map[string]any{
		"Zone": m.zone, "Zones": map[string]string{"poti-pier": "adjara-coast", "batumi-quay": "adjara-coast"}, "Ip": m.ip.String(),
		"Listen.DatagramAddr": m.addr(portDatagram).String(), "Listen.ReadyAddr": m.addr(portReady).String(),
		"Listen.Control": m.addr(portControl).String(), "Listen.outbound": m.addr(portOutbound).String(),
		"InternalPortRange.0": portFirst, "InternalPortRange.1": portLast,
		"platform.Address": netip.AddrPortFrom(w.ip(0, 1), portStore).String(), "Seeds": seeds,
		"Bounds.FlowMaxS": 60, "Bounds.GraceS": graceS, "Bounds.ContactMs": 4000,
		"HeartbeatIntervalMs": beatInterval.Milliseconds(), "Service": service, "app": m.addr(portApp).String(),
	}
	var missing error
	filled := regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`).ReplaceAllStringFunc(string(text), func(hole string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(hole, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			missing = errors.New("the template names " + name)
		}
		if !asJSON {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	if missing != nil {
		return "", missing
	}
	path := filepath.Join(w.tmp, m.name+".json")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// addFront adds a front machine; all are added before the first is started.
func (w *world) addFront(zone string) *machine {
	n := byte(len(w.fronts) + 1)
	m := &machine{w: w, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: w.ip(1, n), program: "crocus-entry"}
	w.fronts = append(w.fronts, m)
	return m
}

func (w *world) addSide(zone string) *machine {
	n := byte(len(w.sides) + 1)
	m := &machine{w: w, name: fmt.Sprintf("side-%s-%d", zone, n), zone: zone, ip: w.ip(2, n), program: "crocus-agent"}
	w.sides = append(w.sides, m)
	return m
}

// prepare writes the settings and opens the log of a machine.
func (w *world) prepare(m *machine, template, service string) (err error) {
	if m.settings, err = w.settingsOf(template, m, service); err != nil {
		return err
	}
	m.log, err = os.Create(filepath.Join(w.tmp, m.name+".log"))
	return err
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(filepath.Join(m.w.root, "target", m.program), "--settings", m.settings)
	cmd.Dir = m.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSNOTCH_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.stopped = cmd, make(chan struct{}), false
	done := m.done
	m.w.record("%s: process started", m.name)
	go func() {
		_ = cmd.Wait()
		m.mu.Lock()
		asked := m.stopped
		m.mu.Unlock()
		if !asked {
			m.w.broken("Fault: the process on %s ended by itself: %v", m.name, cmd.ProcessState)
		}
		close(done)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = m.stopped || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	if m.cmd != nil && m.cmd.ProcessState == nil {
		_ = m.cmd.Process.Signal(sig)
	}
}

// stop sends SIGTERM, and SIGKILL after GraceS, and returns when the process has ended.
func (m *machine) stop() {
	m.w.record("%s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(graceS * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.done
	}
	m.w.record("%s: process ended", m.name)
}

// restart stops the process and starts it again after a short delay.
func (m *machine) restart(delay time.Duration) error {
	m.stop()
	time.Sleep(delay)
	return m.start()
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, m := range append(append([]*machine{}, w.sides...), w.fronts...) {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGKILL)
		<-m.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	} else {
		fmt.Println("kept", w.tmp)
	}
}

// probes asks the readiness of each front node twice a second; after two misses it is out
// of rotation until it answers 200.
func (w *world) probes() {
	for _, m := range w.fronts {
		go func() {
			client := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				res, err := client.Get("http://" + m.addr(portReady).String() + "/ready")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				m.mu.Lock()
				if ok {
					m.misses, m.inUse = 0, true
				} else if m.misses++; m.misses >= 2 {
					m.inUse = false
				}
				m.mu.Unlock()
				time.Sleep(probeEvery)
			}
		}()
	}
}

// route selects the front node for a packet: by a steady hash over the nodes in rotation in
// the zone, over all of the zone's if fewer than half are, over all others if none is.
func (w *world) route(zone string, k flowKey) (netip.AddrPort, bool) {
	var all, ready, elsewhere []*machine
	for _, m := range w.fronts {
		m.mu.Lock()
		inUse := m.inUse
		m.mu.Unlock()
		switch {
		case m.zone != zone && inUse:
			elsewhere = append(elsewhere, m)
		case m.zone == zone && inUse:
			ready = append(ready, m)
			fallthrough
		case m.zone == zone:
			all = append(all, m)
		}
	}
	from := ready
	switch {
	case len(ready) == 0 && len(elsewhere) > 0:
		from = elsewhere
	case 2*len(ready) < len(all):
		from = all
	}
	var best *machine
	var most uint64
	for _, m := range from {
		h := fnv.New64a()
		fmt.Fprint(h, k.String(), m.name)
		if s := h.Sum64() * 0x9E3779B97F4A7C15; best == nil || s > most {
			best, most = m, s
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.addr(portDatagram), true
}

// awaitReady waits until all front nodes are in rotation.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range w.fronts {
			m.mu.Lock()
			if m.inUse {
				n++
			}
			m.mu.Unlock()
		}
		if n == len(w.fronts) {
			return nil
		}
	}
	return errors.New("the front nodes did not get ready")
}

func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

func (w *world) sentOpening(k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["flows tried"]++
	w.opening[k] = true
	delete(w.ownerOf, k)
	delete(w.resetBy, k)
	w.recordLocked("flow %s: opening sent", k)
}

func (w *world) openingArrived(k flowKey, s *server, copies uint32) {
	w.mu.Lock()
	if !w.opening[k] {
		w.mu.Unlock()
		w.broken("UNASKED: server %s got the opening of %s, which no client sent", s.id, k)
		return
	}
	w.counts["openings that reached servers"]++
	w.recordLocked("flow %s: opening (copy %d) reached server %s at %s", k, copies, s.id, s.app)
	on := w.onOpening
	w.mu.Unlock()
	if on != nil {
		on(k, s, copies)
	}
}

func (w *world) opened(k flowKey, s *server) {
	w.mu.Lock()
	w.ownerOf[k] = s
	w.counts["flows opened"]++
	w.recordLocked("flow %s: open at server %s at %s", k, s.id, s.app)
	w.mu.Unlock()
}

// elsewhere counts a packet that reached a server that doesn't hold its flow.
func (w *world) elsewhere(k flowKey, s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["packets that reached a server without the flow"]++
	w.recordLocked("flow %s: a packet reached server %s at %s, which does not hold it", k, s.id, s.app)
}

func (w *world) serverReset(k flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetBy[k] = true
	w.recordLocked("flow %s: reset by a server", k)
}

func (w *world) systemReset(f *clientFlow, wasOpen bool) {
	w.mu.Lock()
	w.counts["resets by the system"]++
	w.recordLocked("flow %s: its client got a reset by the system (flow open: %v)", f.key, wasOpen)
	on := w.onReset
	w.mu.Unlock()
	if on != nil {
		on(f, wasOpen)
	}
}

func (w *world) owner(k flowKey) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ownerOf[k]
}

func (w *world) sentRequest(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = true
	w.counts["requests sent"]++
	w.recordLocked("request %s sent", id)
}

func (w *world) answeredRequest(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["requests answered"]++
	w.recordLocked("request %s answered", id)
}

func (w *world) ranRequest(id string, s *server) {
	w.mu.Lock()
	w.ran[id]++
	n, sent := w.ran[id], w.sent[id]
	w.counts["requests run"]++
	w.recordLocked("request %s runs at server %s at %s", id, s.id, s.app)
	w.mu.Unlock()
	if n > 1 {
		w.broken("request %s ran %d times", id, n)
	}
	if !sent {
		w.broken("UNASKED: request %s ran, which no client sent", id)
	}
}
