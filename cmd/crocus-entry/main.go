// Command crocus-entry receives packets from the fabric and forwards them to the
// agents of their services.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

var version = "devel"

// program returns the fields shared by the programs of both transports.
func program() daemon.Program {
	return daemon.Program{
		Name:        "crocus-entry",
		Description: "receives packets from the fabric and forwards them to agents",
		Version:     version,
		Role:        "entry",
	}
}

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
