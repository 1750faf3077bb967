// Command crocus-agent runs beside one upstream: it ends or passes on the
// callers' flows.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

var version = "devel"

// program returns what the programs of both transports have in common.
func program() daemon.Program {
	return daemon.Program{
		Name:        "crocus-agent",
		Description: "stands before one upstream: ends callers' flows or passes them on",
		Version:     version,
		Role:        "agent",
	}
}

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
