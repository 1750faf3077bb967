// Command crocus-entry takes packets from the fabric and hands them to the
// agents of their services.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/config"
	"crocusnotch/internal/entry"
	"crocusnotch/internal/telemetry"
	"crocusnotch/internal/wire"
)

var version = "devel"

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	path, check := parse()
	var s config.Entry
	if err := config.ReadFile(path, &s); err != nil {
		fail(err, exitInvalid)
	}
	material, err := wire.LoadMutualTLS(s.TLS)
	if err != nil {
		fail(err, exitInvalid)
	}
	if check {
		return
	}
	if err := run(s, material); err != nil {
		fail(err, exitFailed)
	}
}

func parse() (path string, check bool) {
	path = "crocus-entry.json"
	p := flaggy.NewParser("crocus-entry")
	p.Description = "takes packets from the fabric and hands them to agents"
	p.Version = version
	p.String(&path, "s", "settings", "JSON file with the addresses, zone, store and TLS files")
	p.Bool(&check, "", "check", "check the settings and exit")
	if err := p.Parse(); err != nil {
		fail(err, exitInvalid)
	}
	return path, check
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}

// run works until a signal stops the entry gracefully.
func run(s config.Entry, material *wire.MutualTLS) error {
	log := telemetry.NewLogger(os.Stdout, "entry", s.Data.String())
	registry := telemetry.NewRegistry()
	listener, err := net.Listen("tcp", s.Metrics.String())
	if err != nil {
		return errors.Wrap(err, "open metrics socket")
	}
	e, err := entry.New(s, entry.Deps{Log: log, Registry: registry, TLS: material})
	if err != nil {
		return err
	}
	stopped, forget := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer forget()
	context.AfterFunc(stopped, e.Stop)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return telemetry.Serve(ctx, listener, registry, e.Health) })
	g.Go(func() error {
		defer cancel()
		return e.Run(ctx)
	})
	return g.Wait()
}
