package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/daemon"
)

const mainEnv = "CROCUS_TEST_MAIN"

// TestMain runs main instead of the tests if mainEnv is set, as by runMain.
func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// runMain runs crocus-entry with the settings as a child process.
func runMain(t *testing.T, settings string) (output string, code int) {
	path := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), mainEnv+"=1")
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func TestInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct {
		settings string
		want     []string // prefix of each output line
	}{
		"no JSON":           {`{`, []string{"unexpected EOF"}},
		"unknown key":       {`{"zones":"a"}`, []string{"zones: unknown key"}},
		"wrong type":        {`{"zone":5}`, []string{"zone: cannot read number"}},
		"bad address":       {`{"data":"here"}`, []string{"data: "}},
		"unknown transport": {`{"transport":"tcp"}`, []string{`transport: "tcp" is not known`}},
		"passthrough": {
			`{"transport":"passthrough","zone":"a","zones":{"a":"r"},"data":"127.0.0.1:1","control":"127.0.0.1:2",` +
				`"metrics":"127.0.0.1:3","ready":"127.0.0.1:4","store":"http://127.0.0.1:5","secret":"short",` +
				`"callerPortOf":"127.0.0.1:6","flowMaxSeconds":0,"graceSeconds":6,"fabric":"127.0.0.1"}`,
			[]string{"fabric: "},
		},
		"passthrough, out of range": {
			`{"transport":"passthrough","zone":"a","zones":{"a":"r"},"data":"127.0.0.1:1","control":"127.0.0.1:2",` +
				`"metrics":"127.0.0.1:3","ready":"127.0.0.1:4","store":"http://127.0.0.1:5","secret":"short",` +
				`"callerPortOf":"127.0.0.1:6","flowMaxSeconds":0,"graceSeconds":6,"fabric":"127.0.0.1:7"}`,
			[]string{"secret: ", "flowMaxSeconds: "},
		},
		"missing fields": {
			`{"zone":"a","store":"http://127.0.0.1:1","data":"127.21.0.1:7001","fabric":"127.21.0.1:0"}`,
			[]string{
				"control: is required", "metrics: is required", "tls.cert: is required", "tls.key: is required",
				"tls.ca: is required", "fabric: must be an IP address and port", "fabricReturn: is required",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, code := runMain(t, c.settings)
			is.Equal(code, daemon.ExitInvalid)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			is.Equal(len(lines), len(c.want)) // number of output lines
			for i, want := range c.want {
				if !strings.HasPrefix(lines[i], want) {
					t.Errorf("line %q, want %q", lines[i], want)
				}
			}
		})
	}
}
