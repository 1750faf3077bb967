// Command crocus-try runs a complete fleet in one process on loopback, with
// a simulated platform, upstreams and callers. It applies the load and the faults
// of a scenario and reports the results seen by the callers.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"crocusnotch/internal/devcerts"
	"crocusnotch/internal/experiment"
)

var version = "devel"

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

const defaultScale = 0.05

// errNotLoopback is returned if the net option is not an IPv4 loopback address.
var errNotLoopback = errors.New("net: must be an IPv4 loopback address such as 127.24.0.0")

type options struct {
	profile    string
	scenario   string
	report     string
	plot       string
	writeCerts string
	net        string
	seed       uint64
	scale      float64
	logs       bool
	check      bool
}

func main() {
	o := parse()
	if o.writeCerts != "" {
		exitOnError(writeCerts(o.writeCerts), exitFailed)
		return
	}
	s, err := o.loadScenario()
	exitOnError(err, exitInvalid)
	if o.check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exitOnError(runScenario(ctx, s, o), exitFailed)
}

func parse() options {
	o := options{profile: "mtkvari", scale: defaultScale, net: experiment.DefaultNet.String()}
	p := flaggy.NewParser("crocus-try")
	p.Description = "runs a complete fleet on loopback under a scenario and reports the results seen by callers"
	p.Version = version
	p.String(&o.profile, "p", "profile", "built-in scenario: mtkvari, huron, hold, steady, overload or drains")
	p.String(&o.scenario, "s", "scenario", "scenario file, instead of a profile")
	p.UInt64(&o.seed, "", "seed", "seed, instead of the scenario's")
	p.Float64(&o.scale, "", "scale", "factor on the number of flows")
	p.String(&o.report, "r", "report", "JSON file for the report")
	p.String(&o.plot, "", "plot", "SVG file for the load of each upstream over time")
	p.String(&o.net, "", "net", "IPv4 loopback address of the run's network; runs at the same time need different ones")
	p.Bool(&o.logs, "", "logs", "write the logs of entries and agents to standard error")
	p.Bool(&o.check, "", "check", "check the scenario and exit")
	p.String(&o.writeCerts, "", "write-certs", "write test certificates to this directory and exit")
	exitOnError(p.Parse(), exitInvalid)
	return o
}

func (o *options) loadScenario() (*experiment.Scenario, error) {
	s, err := o.readScenario()
	if err == nil && o.seed != 0 {
		s.Seed = o.seed
	}
	return s, err
}

func (o *options) readScenario() (*experiment.Scenario, error) {
	if o.scenario != "" {
		return experiment.ReadScenario(o.scenario)
	}
	return experiment.Profile(o.profile)
}

func runScenario(ctx context.Context, s *experiment.Scenario, o options) error {
	var logs io.Writer = io.Discard
	if o.logs {
		logs = os.Stderr
	}
	network, err := netip.ParseAddr(o.net)
	if err != nil || !network.Is4() || !network.IsLoopback() {
		return errNotLoopback
	}
	report, err := experiment.Run(ctx, s, experiment.Options{
		Net: network, Scale: o.scale,
		Log: slog.New(slog.NewJSONHandler(logs, nil)), Progress: os.Stderr,
	})
	if report != nil {
		report.Print(os.Stdout)
	}
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := report.WriteJSON(o.report); err != nil {
			return err
		}
	}
	if o.plot != "" {
		return report.Plot(o.plot)
	}
	return nil
}

func writeCerts(dir string) error {
	set, err := devcerts.New(time.Now())
	if err != nil {
		return err
	}
	return set.Write(dir)
}

func exitOnError(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
