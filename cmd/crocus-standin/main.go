// Command crocus-standin runs one of the stand-ins as a process of its own, so
// that a fleet can be tried by hand: the platform's store, the fabric, an
// upstream, or callers.
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

// standIn is one subcommand.
type standIn struct {
	name, help string
	settings   any
	run        func(context.Context) error
}

func main() {
	all := []standIn{storeStandIn(), fabricStandIn(), upstreamStandIn(), callerStandIn()}
	p := flaggy.NewParser("crocus-standin")
	p.Description = "runs a small stand-in for the platform, an upstream or callers"
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
	exitOn(p.Parse(), exitInvalid)
	for i, s := range all {
		if commands[i].Used {
			start(s, path, check)
			return
		}
	}
	p.ShowHelpAndExit("name a stand-in")
}

func start(s standIn, path string, check bool) {
	exitOn(config.ReadFile(path, s.settings), exitInvalid)
	if check {
		return
	}
	ctx, forget := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer forget()
	exitOn(s.run(ctx), exitFailed)
}

func exitOn(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
