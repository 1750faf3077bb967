// Command crocus-entry takes packets from the fabric and hands them to the
// agents of their services.
package main

import (
	"os"

	"crocusnotch/internal/daemon"
)

const (
	name        = "crocus-entry"
	description = "takes packets from the fabric and hands them to agents"
	role        = "entry"
)

var version = "devel"

func main() { os.Exit(daemon.Main(http3Program(), passthroughProgram())) }
