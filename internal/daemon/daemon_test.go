package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"crocusnotch/internal/config"
)

const controlSettings = `{"store":"http://127.0.0.1:1","tls":{"cert":"a","key":"b","ca":"c"}}`

func TestReportSettings(t *testing.T) {
	for name, tt := range map[string]struct {
		data string
		want string
	}{
		"same":    {controlSettings, "settings unchanged"},
		"changed": {strings.Replace(controlSettings, ":1", ":2", 1), "take effect at the next start"},
		"invalid": {`{"store":5}`, "settings refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var current config.Control
			is.NoErr(config.Decode([]byte(controlSettings), &current))
			var out bytes.Buffer
			p := Program{Settings: &current}
			p.reportSettings(slog.New(slog.NewTextHandler(&out, nil)), "signal", []byte(tt.data))
			is.True(strings.Contains(out.String(), tt.want))
			is.Equal(current.Store, "http://127.0.0.1:1") // the settings in use do not change
		})
	}
}

func TestSelectProgramByTransport(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "s.json")
	programs := []*Program{{Role: "a"}, {Role: "b", Transport: "passthrough"}}
	// Invalid JSON selects the default program, which reports the error when it decodes the file.
	for data, want := range map[string]string{
		`{}`: "a", `{"transport":"passthrough"}`: "b", `{`: "a", `{"transport":"tcp"}`: "",
	} {
		is.NoErr(os.WriteFile(path, []byte(data), 0o600))
		p, err := selectProgram(path, programs)
		var fieldErr config.FieldError
		switch {
		case want == "":
			is.True(errors.As(err, &fieldErr))
			is.Equal(fieldErr.Path, "transport")
		default:
			is.NoErr(err)
			is.Equal(p.Role, want)
		}
	}
	_, err := selectProgram(path+"x", programs)
	is.True(err != nil)
}

// noopProcess returns from Run at once.
type noopProcess struct{ ran bool }

func (p *noopProcess) Run(context.Context) error { p.ran = true; return nil }
func (p *noopProcess) Stop()                     {}
func (p *noopProcess) Health() (bool, string)    { return true, "" }

// A program whose metrics port is in use must still run and serve its callers.
func TestProgramRunsWithoutMetricsServer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	path := filepath.Join(t.TempDir(), "s.json")
	is.NoErr(os.WriteFile(path, []byte(controlSettings), 0o600))
	var out bytes.Buffer
	var process noopProcess
	p := Program{
		Settings:  &config.Control{},
		Addresses: func() (data, metrics netip.AddrPort) { return address, address },
		New:       func(*slog.Logger, *prometheus.Registry) (Process, error) { return &process, nil },
	}
	is.NoErr(p.serve(slog.New(slog.NewTextHandler(&out, nil)), path))
	is.True(process.ran)
	is.True(strings.Contains(out.String(), "metrics are not served"))
}
