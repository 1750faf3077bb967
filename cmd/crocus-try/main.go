// Command crocus-try runs a whole fleet with its surroundings in one process
// on loopback, drives load and faults by a scenario, and reports what callers
// saw.
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

// errNet reports a net that is not of loopback.
var errNet = errors.New("net: must be an IPv4 loopback address such as 127.24.0.0")

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
		exitOn(writeCerts(o.writeCerts), exitFailed)
		return
	}
	s, err := o.load()
	exitOn(err, exitInvalid)
	if o.check {
		return
	}
	ctx, forget := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer forget()
	exitOn(try(ctx, s, o), exitFailed)
}

func parse() options {
	o := options{profile: "mtkvari", scale: defaultScale, net: experiment.DefaultNet.String()}
	p := flaggy.NewParser("crocus-try")
	p.Description = "tries a whole fleet on loopback and reports what callers saw"
	p.Version = version
	p.String(&o.profile, "p", "profile", "shipped scenario: mtkvari, huron, hold, steady, overload or drains")
	p.String(&o.scenario, "s", "scenario", "scenario file, instead of a profile")
	p.UInt64(&o.seed, "", "seed", "seed, instead of the scenario's")
	p.Float64(&o.scale, "", "scale", "factor on the number of flows")
	p.String(&o.report, "r", "report", "JSON file for the report")
	p.String(&o.plot, "", "plot", "SVG file for the load of each upstream over time")
	p.String(&o.net, "", "net", "loopback net of the run, so that several can run at once")
	p.Bool(&o.logs, "", "logs", "write the logs of entries and agents to standard error")
	p.Bool(&o.check, "", "check", "check the scenario and exit")
	p.String(&o.writeCerts, "", "write-certs", "write trial certificates into this directory and exit")
	exitOn(p.Parse(), exitInvalid)
	return o
}

func (o *options) load() (*experiment.Scenario, error) {
	s, err := o.read()
	if err == nil && o.seed != 0 {
		s.Seed = o.seed
	}
	return s, err
}

func (o *options) read() (*experiment.Scenario, error) {
	if o.scenario != "" {
		return experiment.ReadScenario(o.scenario)
	}
	return experiment.Profile(o.profile)
}

func try(ctx context.Context, s *experiment.Scenario, o options) error {
	var logs io.Writer = io.Discard
	if o.logs {
		logs = os.Stderr
	}
	network, err := netip.ParseAddr(o.net)
	if err != nil || !network.Is4() || !network.IsLoopback() {
		return errNet
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

func exitOn(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
