// Command crocus-agent runs beside one upstream: it ends or passes on the
// callers' flows.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

const (
	name        = "crocus-agent"
	description = "stands before one upstream: ends callers' flows or passes them on"
	role        = "agent"
)

var version = "devel"

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
