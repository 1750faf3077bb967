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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"crocusnotch/platform/platformtest"
)

// Bounds of the small deployments.
const (
	heartbeatInterval = 1200 * time.Millisecond
	evacuateBound     = 5000 * time.Millisecond
	drainBound        = 3000 * time.Millisecond
	configApplyBound  = 3000 * time.Millisecond
	contactBound      = 4000 * time.Millisecond
	warmupFactor      = 1.5
	warmupSlack       = 5
)

// Third octets of the addresses, by kind of machine.
const (
	kindFront  = 1
	kindSide   = 2
	kindClient = 3
	kindStore  = 4
	kindRoute  = 9 // addresses of routes, which nobody binds
)

// lab is one run of a case: the processes of the system, and the stand-ins of the platform,
// the clients and the endpoints around them.
type lab struct {
	root, dir string // of the repository, and a temporary one
	trouble   bool
	warmup    time.Duration // WarmupS of the services
	staleSeed bool          // the seeds of side machines are stale
	subnet    byte
	ports     map[string]uint16
	zones     []string
	store     *platformtest.Store
	router    *router
	fronts    []*process
	sides     []*process
	endpoints []*endpoint
	clients   []*client
	started   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
}

var portNames = []string{"datagram", "ready", "control", "internal0", "internal1", "app", "outbound", "store"}

func newLab(root, recordPath string, trouble bool, zones []string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{
		root: root, dir: dir, trouble: trouble, warmup: warmupTime, zones: zones, record: record,
		subnet: byte(64 + rand.IntN(128)), store: platformtest.New(), started: time.Now(), ports: map[string]uint16{},
	}
	if err := l.choosePorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", l.addr(kindStore, 0, "store").String())
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: l.store}).Serve(listener) }()
	l.router = &router{lab: l}
	return l, nil
}

// choosePorts picks ports that are free over TCP and UDP on one address of this run.
func (l *lab) choosePorts() error {
	for range 50 {
		base := uint16(20000 + rand.IntN(10000))
		free := true
		for i, name := range portNames {
			l.ports[name] = base + uint16(i)
			a := l.addr(kindFront, 0, name)
			t, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(a))
			if err == nil {
				_ = t.Close()
			}
			u, err2 := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
			if err2 == nil {
				_ = u.Close()
			}
			free = free && err == nil && err2 == nil
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (l *lab) ip(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.subnet, byte(kind), byte(i + 1)})
}

func (l *lab) addr(kind, i int, port string) netip.AddrPort {
	return netip.AddrPortFrom(l.ip(kind, i), l.ports[port])
}

// route returns the address of a route, as it stands in packets.
func (l *lab) route(i int) netip.AddrPort { return netip.AddrPortFrom(l.ip(kindRoute, i), 443) }

func endOf(a netip.AddrPort) (e end) {
	ip := a.Addr().As4()
	copy(e[:4], ip[:])
	e[4], e[5] = byte(a.Port()>>8), byte(a.Port())
	return e
}

func (e end) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", e[0], e[1], e[2], e[3], uint16(e[4])<<8|uint16(e[5]))
}

func (l *lab) since(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(l.started).Seconds()) }

// log writes a line to the record.
func (l *lab) log(format string, args ...any) { l.logAt(time.Now(), format, args...) }

func (l *lab) logAt(t time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%s %s\n", l.since(t), fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (l *lab) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.log("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// process is one program of the system, started with the command of the deploy file.
type process struct {
	l        *lab
	name     string
	program  string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
	startedAt,
	exitedAt time.Time
}

func (p *process) start() error {
	cmd := exec.Command(filepath.Join(p.l.root, "target", p.program), "--settings", p.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.l.root, p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.startedAt = cmd, make(chan struct{}), time.Now()
	p.l.log("start %s", p.name)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		p.exitedAt = time.Now()
		p.l.log("exit %s: %s", p.name, cmd.ProcessState)
		close(done)
	}(p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.l.log("signal %s: %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// wait waits for the exit; after the grace period the process is killed, as the platform does.
func (p *process) wait() {
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// render fills the settings template of the repository in, as the platform does.
func render(template string, fields map[string]any) (string, error) {
	var failed error
	out := placeholder.ReplaceAllStringFunc(template, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		v, ok := fields[parts[1]]
		if !ok {
			failed = fmt.Errorf("no field %s", parts[1])
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(v)
		}
		b, err := json.Marshal(v)
		if err != nil {
			failed = err
		}
		return string(b)
	})
	return out, failed
}

func (l *lab) newProcess(kind, i int, program, template, zone string, more map[string]any) (*process, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", template))
	if err != nil {
		return nil, err
	}
	regions := map[string]string{}
	for _, z := range l.zones {
		regions[z] = "region"
	}
	fields := map[string]any{
		"Zone": zone, "Zones": regions, "Ip": l.ip(kind, i).String(),
		"Listen.DatagramAddr": l.addr(kind, i, "datagram").String(), "Listen.ReadyAddr": l.addr(kind, i, "ready").String(),
		"Listen.Control": l.addr(kind, i, "control").String(), "Listen.outbound": l.addr(kind, i, "outbound").String(),
		"InternalPortRange.0": l.ports["internal0"], "InternalPortRange.1": l.ports["internal1"],
		"platform.Address": l.addr(kindStore, 0, "store").String(),
		"Seeds":            []string{l.addr(kindFront, 0, "control").String(), l.addr(kindFront, 1, "control").String()},
		"Bounds.FlowMaxS":  60, "Bounds.GraceS": 6, "Bounds.ContactMs": contactBound.Milliseconds(),
		"HeartbeatIntervalMs": heartbeatInterval.Milliseconds(), "app": l.addr(kind, i, "app").String(),
	}
	if kind == kindSide && l.staleSeed {
		fields["Seeds"] = []string{l.addr(kindFront, 20, "control").String(), l.addr(kindFront, 21, "control").String()}
	}
	for k, v := range more {
		fields[k] = v
	}
	settings, err := render(string(text), fields)
	if err != nil {
		return nil, err
	}
	p := &process{l: l, name: fmt.Sprintf("%s-%d", strings.TrimPrefix(program, "crocus-"), i+1), program: program}
	p.settings = filepath.Join(l.dir, p.name+".json")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(l.dir, p.name+".log"))
	return p, err
}

// side describes one side machine.
type side struct {
	zone, service string
	later         bool // it is added during traffic
}

// build creates one front machine a zone and the side machines with their endpoints.
func (l *lab) build(frontZones []string, sides []side, o endpointOptions) error {
	for i, z := range frontZones {
		p, err := l.newProcess(kindFront, i, "crocus-entry", "entry.json", z, nil)
		if err != nil {
			return err
		}
		l.fronts = append(l.fronts, p)
		l.router.fronts = append(l.router.fronts, &front{index: i, zone: z})
	}
	for i, s := range sides {
		p, err := l.newProcess(kindSide, i, "crocus-agent", "agent.json", s.zone, map[string]any{"Service": s.service})
		if err != nil {
			return err
		}
		l.sides = append(l.sides, p)
		e, err := newEndpoint(l, i, s, o)
		if err != nil {
			return err
		}
		l.endpoints = append(l.endpoints, e)
	}
	return nil
}

// start starts all processes and endpoints and waits until the fronts are ready.
func (l *lab) start() error {
	started := append([]*process(nil), l.fronts...)
	for i, p := range l.sides {
		if !l.endpoints[i].later {
			started = append(started, p)
		}
	}
	for _, p := range started {
		if err := p.start(); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	for i, e := range l.endpoints {
		if !e.later {
			e.begin(time.Duration(i)*heartbeatInterval/time.Duration(len(l.endpoints)), 0) // at different times
		}
	}
	go l.router.check()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if l.router.readyCount() == len(l.fronts) {
			time.Sleep(2 * heartbeatInterval)
			return nil
		}
	}
	return fmt.Errorf("the fronts did not become ready")
}

// finish ends the processes that this run started.
func (l *lab) finish() {
	for _, p := range append(append([]*process(nil), l.fronts...), l.sides...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", l.dir)
	}
}

// service is a service of the configuration.
type service struct {
	name       string
	warmupPerS float64
}

type routeSpec struct {
	address netip.AddrPort
	service string
	kind    string // safe or unsafe
}

// configure writes a version of the configuration and returns the time of the store's
// acknowledgement.
func (l *lab) configure(version int, routes []routeSpec, services []service) time.Time {
	var list, pools []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("r-%d", i), "Host": r.address.Addr().String(), "PathPrefix": fmt.Sprintf("/%d/", r.address.Port()),
			"Type": r.kind, "TimeoutMs": 1200, "TargetLatencyMs": 200, "Priority": 1, "Service": r.service, "Attempts": 2,
		})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{
			"Name": s.name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false,
			"WarmupS": l.warmup.Seconds(), "WarmupPerS": s.warmupPerS,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": list, "Services": pools,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	l.store.Put("config", "main", string(b))
	l.log("configuration %d acknowledged", version)
	return time.Now()
}

// evacuate takes a zone out and returns the time of the acknowledgement.
func (l *lab) evacuate(zone string) time.Time {
	l.store.Put("evacuations", zone, "{}")
	l.log("evacuation of %s acknowledged", zone)
	return time.Now()
}

func (l *lab) takeBack(zone string) time.Time {
	now := time.Now()
	l.store.Delete("evacuations", zone)
	l.log("zone %s taken back", zone)
	return now
}
