// Package daemon has the parts that all long-running programs of the fleet share:
// command line, settings, logging, metrics, signals and exit codes.
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
	ExitInvalid = 2 // the command line or the settings are invalid
)

// Process is the running part of a program.
type Process interface {
	// Run runs until ctx ends or a graceful stop is complete.
	Run(ctx context.Context) error
	// Stop starts a graceful stop. It may be called repeatedly.
	Stop()
	// Health reports whether the process can do its work and, if not, the reason.
	Health() (ok bool, reason string)
}

// Program describes a program for one transport.
type Program struct {
	Name        string
	Description string
	Version     string
	Role        string // attribute of all log lines
	// Transport is the value of the settings key "transport" for which this program
	// is selected; empty for HTTP/3.
	Transport string
	Settings  any // pointer to the settings, decoded from the file
	// Addresses returns the data address, which identifies the process in the log,
	// and the metrics address from the settings.
	Addresses func() (data, metrics netip.AddrPort)
	// Load reads the files that the settings refer to. It opens no sockets.
	Load func() error
	// New opens the process's sockets.
	New func(log *slog.Logger, r *prometheus.Registry) (Process, error)
}

// Main parses the process's arguments, runs the program for the transport in the
// settings and returns its exit code. All programs must have the same name.
func Main(programs ...*Program) int {
	path := programs[0].Name + ".json"
	check := false
	if err := programs[0].parse(&path, &check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	p, err := selectProgram(path, programs)
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

// selectProgram returns the program for the transport in the settings.
func selectProgram(path string, programs []*Program) (*Program, error) {
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

// serveMetrics serves the metrics. If it cannot listen it only logs a warning, so that
// callers are still served.
func (p *Program) serveMetrics(ctx context.Context, log *slog.Logger, r *prometheus.Registry, health telemetry.Health) error {
	_, address := p.Addresses()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		log.Warn("metrics are not served", "address", address.String(), "err", err)
		return nil
	}
	return telemetry.Serve(ctx, l, r, health)
}

// stopOnSignal starts a graceful stop at SIGTERM or SIGINT. Further signals do not
// shorten the stop. The returned function restores the signal handling.
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
