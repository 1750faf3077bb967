// Command crocus-entry takes packets from the fabric and hands them to the
// agents of their services.
package main

import (
	"log/slog"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
	"crocusnotch/internal/daemon"
	"crocusnotch/internal/entry"
	"crocusnotch/internal/wire"
)

var version = "devel"

func main() {
	var s config.Entry
	var material *wire.MutualTLS
	p := daemon.Program{
		Name:        "crocus-entry",
		Description: "takes packets from the fabric and hands them to agents",
		Version:     version,
		Role:        "entry",
		Settings:    &s,
		Shared:      &s.Process,
		Load: func() (err error) {
			material, err = wire.LoadMutualTLS(s.TLS)
			return err
		},
		New: func(log *slog.Logger, r *prometheus.Registry) (daemon.Process, error) {
			return entry.New(s, entry.Deps{Log: log, Registry: r, TLS: material})
		},
	}
	os.Exit(p.Main())
}
