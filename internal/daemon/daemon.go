// Package daemon is the frame of the fleet's long-running programs: command
// line, settings, log, metrics, signals and exit codes.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/telemetry"
)

// Exit codes.
const (
	ExitFailed  = 1
	ExitInvalid = 2 // the command line or the settings are not valid
)

// Process is what a program runs.
type Process interface {
	// Run works until ctx ends or a graceful stop is done.
	Run(ctx context.Context) error
	// Stop starts a graceful stop. It may be called again.
	Stop()
	// Health reports whether the process can do its work, and why not.
	Health() (ok bool, reason string)
}

// Program describes one program.
type Program struct {
	Name        string
	Description string
	Version     string
	Role        string // in the log
	// Transport is the value of that key in the settings that the program
	// serves; empty for HTTP/3.
	Transport string
	Settings  any // pointer to the settings, filled from the file
	// Addresses returns the data address, which names the process in the log,
	// and the metrics address of the settings.
	Addresses func() (data, metrics netip.AddrPort)
	// Load reads the files that the settings name. It opens no socket.
	Load func() error
	// New opens the process's sockets.
	New func(log *slog.Logger, r *prometheus.Registry) (Process, error)
}

// Main runs the program that serves the transport of the settings, with the
// process's arguments, and returns its exit code. All programs have the same
// name.
func Main(programs ...*Program) int {
	path := programs[0].Name + ".json"
	check := false
	if err := programs[0].parse(&path, &check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	p, err := choose(path, programs)
	if err == nil {
		err = p.load(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	if check {
		return 0
	}
	data, _ := p.Addresses()
	log, flush := telemetry.NewBoundedLogger(os.Stdout, p.Role, data.String())
	defer flush()
	log.Info("started", "program", p.Name, "version", p.Version, "transport", p.Transport, "settings", path)
	if err := p.serve(log, path); err != nil {
		log.Error("stopped", "error", err.Error())
		return ExitFailed
	}
	log.Info("stopped")
	return 0
}

// choose returns the program for the transport that the settings name.
func choose(path string, programs []*Program) (*Program, error) {
	transport, err := config.Transport(path)
	if err != nil {
		return nil, err
	}
	for _, p := range programs {
		if p.Transport == transport {
			return p, nil
		}
	}
	return nil, config.FieldError{Path: "transport", Reason: fmt.Sprintf("%q is not known", transport)}
}

func (p *Program) parse(path *string, check *bool) error {
	f := flaggy.NewParser(p.Name)
	f.Description = p.Description
	f.Version = p.Version
	f.String(path, "s", "settings", "JSON file with the settings")
	f.Bool(check, "", "check", "check the settings and exit")
	return f.Parse()
}

func (p *Program) load(path string) error {
	if err := config.ReadFile(path, p.Settings); err != nil {
		return err
	}
	return p.Load()
}

func (p *Program) serve(log *slog.Logger, path string) error {
	registry := telemetry.NewRegistry()
	process, err := p.New(log, registry)
	if err != nil {
		return err
	}
	defer stopOnSignal(process)()
	defer p.watchSettings(log, path)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.serveMetrics(ctx, log, registry, process.Health) })
	g.Go(func() error {
		defer cancel()
		return process.Run(ctx)
	})
	return g.Wait()
}

// serveMetrics serves the metrics if it can: callers are served without them too.
func (p *Program) serveMetrics(ctx context.Context, log *slog.Logger, r *prometheus.Registry, health telemetry.Health) error {
	_, address := p.Addresses()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		log.Warn("metrics are not served", "address", address.String(), "err", err)
		return nil
	}
	return telemetry.Serve(ctx, l, r, health)
}

// stopOnSignal starts a graceful stop at each signal; a second one does not
// cut it short. The returned function restores the signals.
func stopOnSignal(p Process) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			p.Stop()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
