package main

import (
	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/launch"
	"crocusnotch/internal/passthrough"
)

// passthroughProgram returns the program for passthrough flows.
func passthroughProgram() *daemon.Program {
	var s config.PassthroughEntry
	p := program()
	p.Settings = &s
	return launch.Passthrough(p, &s.Passthrough, func(d passthrough.Deps) (daemon.Process, []daemon.Service, error) {
		e, err := passthrough.NewEntry(s, d)
		return e, nil, err
	})
}
