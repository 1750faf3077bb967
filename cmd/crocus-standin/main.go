// Command crocus-standin runs one simulated component as a separate process, for
// manual tests of a fleet: the platform's store, the fabric, an upstream or
// callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"crocusnotch/internal/config"
)

var version = "devel"

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

// standIn is the subcommand of one simulated component.
type standIn struct {
	name, help string
	settings   any
	run        func(context.Context) error
}

func main() {
	all := []standIn{storeStandIn(), fabricStandIn(), upstreamStandIn(), callerStandIn()}
	p := flaggy.NewParser("crocus-standin")
	p.Description = "runs a simulated store, fabric, upstream or group of callers"
	p.Version = version
	var path string
	var check bool
	commands := make([]*flaggy.Subcommand, len(all))
	for i, s := range all {
		commands[i] = flaggy.NewSubcommand(s.name)
		commands[i].Description = s.help
		commands[i].String(&path, "s", "settings", "JSON file with the settings")
		commands[i].Bool(&check, "", "check", "check the settings and exit")
		p.AttachSubcommand(commands[i], 1)
	}
	exitOnError(p.Parse(), exitInvalid)
	for i, s := range all {
		if commands[i].Used {
			runStandIn(s, path, check)
			return
		}
	}
	p.ShowHelpAndExit("specify a subcommand")
}

func runStandIn(s standIn, path string, check bool) {
	exitOnError(config.ReadFile(path, s.settings), exitInvalid)
	if check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exitOnError(s.run(ctx), exitFailed)
}

func exitOnError(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
