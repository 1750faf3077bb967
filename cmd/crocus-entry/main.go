// Command crocus-entry takes packets from the fabric and hands them to the
// agents of their services.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

var version = "devel"

// program returns what the programs of both transports have in common.
func program() daemon.Program {
	return daemon.Program{
		Name:        "crocus-entry",
		Description: "takes packets from the fabric and hands them to agents",
		Version:     version,
		Role:        "entry",
	}
}

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
