// Command crocus-agent runs beside one upstream and terminates the callers'
// flows or passes them through.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

var version = "devel"

// program returns the fields shared by the programs of both transports.
func program() daemon.Program {
	return daemon.Program{
		Name:        "crocus-agent",
		Description: "runs beside one upstream: terminates callers' flows or passes them through",
		Version:     version,
		Role:        "agent",
	}
}

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
