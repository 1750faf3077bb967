// Command crocusctl changes the fleet's configuration and queries the state of
// its processes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"crocusnotch/internal/config"
	"crocusnotch/internal/ctl"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

var version = "devel"

// Exit codes.
const (
	exitFailed   = 1
	exitInvalid  = 2
	exitConflict = 3
)

const commandTimeout = 30 * time.Second

// errUsage is returned if the command line selects no subcommand.
var errUsage = errors.New("no subcommand given; see crocusctl --help")

func main() {
	c := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	os.Exit(exitCode(os.Stderr, c.run(ctx)))
}

func exitCode(w io.Writer, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(w, err)
	var invalid *config.InvalidError
	if errors.As(err, &invalid) || errors.Is(err, errUsage) || errors.Is(err, errInvalidAddress) {
		return exitInvalid
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return exitConflict
	}
	return exitFailed
}

// command is the parsed command line.
type command struct {
	settingsPath string
	check        bool
	prune        bool
	dryRun       bool
	force        bool
	file         string
	name         string
	key          string
	caller       string
	entry        string
	json         bool
	subs         []subcommand
	run          func(context.Context) error
	settings     config.Control
	store        *platform.Client
	call         ctl.CallFunc
}

func parse() *command {
	c := &command{settingsPath: "crocusctl.json"}
	p := flaggy.NewParser("crocusctl")
	p.Description = "changes the fleet's configuration and queries the state of its processes"
	p.Version = version
	p.String(&c.settingsPath, "s", "settings", "JSON file with the store's URL, seeds and TLS files")
	p.Bool(&c.check, "", "check", "check the settings and exit")
	for _, s := range c.subcommands() {
		p.AttachSubcommand(s.cmd, 1)
	}
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalid)
	}
	c.run = c.selected(p)
	return c
}

// selected returns the function of the subcommand that was given.
func (c *command) selected(p *flaggy.Parser) func(context.Context) error {
	for _, s := range c.subs {
		if s.cmd.Used {
			return c.withSettings(c.checkTransport(s))
		}
	}
	if c.check {
		return c.withSettings(func(context.Context) error { return nil })
	}
	p.ShowHelp()
	return func(context.Context) error { return errUsage }
}

// errPlatformConfig is returned for commands that need the store on a passthrough
// fleet, whose configuration the platform keeps.
var errPlatformConfig = errors.New("the platform keeps the configuration of passed-through flows; change it there")

// checkTransport returns a function that runs the subcommand unless the fleet is
// a passthrough fleet and the subcommand needs the store.
func (c *command) checkTransport(s subcommand) func(context.Context) error {
	return func(ctx context.Context) error {
		if c.settings.Transport == config.TransportPassthrough && !s.anyTransport {
			return errPlatformConfig
		}
		return s.run(ctx)
	}
}

// withSettings returns a function that reads the settings, sets up the clients
// and calls run. With the check option it only reads the settings.
func (c *command) withSettings(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := config.ReadFile(c.settingsPath, &c.settings); err != nil {
			return err
		}
		if c.check {
			return nil
		}
		if c.settings.Transport == config.TransportPassthrough {
			c.call = ctl.PlainCallFunc()
			return run(ctx)
		}
		mutualTLS, err := wire.LoadMutualTLS(*c.settings.TLS)
		if err != nil {
			return err
		}
		c.store = platform.New(c.settings.Store, platform.Options{})
		c.call = ctl.TLSCallFunc(mutualTLS)
		return run(ctx)
	}
}
