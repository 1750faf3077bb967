package processtest

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build compiles crocus-entry and crocus-agent, and returns the directory of the programs.
func Build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{"crocus-entry", "crocus-agent"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "crocusnotch/cmd/"+program).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	return dir
}
