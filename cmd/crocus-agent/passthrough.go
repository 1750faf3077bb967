package main

import (
	"context"

	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/launch"
	"crocusnotch/internal/passthrough"
	"crocusnotch/platform"
)

// passthroughProgram returns the program for passthrough flows.
func passthroughProgram() *daemon.Program {
	var s config.PassthroughAgent
	p := program()
	p.Settings = &s
	return launch.Passthrough(p, &s.Passthrough, func(d passthrough.Deps) (daemon.Process, []daemon.Service, error) {
		l, err := launch.Listen(s.Announce, "announcements")
		if err != nil {
			return nil, nil, err
		}
		a, err := passthrough.NewAgent(s, d)
		announcements := func(ctx context.Context) error { return platform.ServeAnnouncements(ctx, l, d.Log, a.Announce) }
		return a, []daemon.Service{announcements}, err
	})
}
