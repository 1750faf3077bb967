package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/wire"
)

// Errors of Where.
var (
	// ErrNoWhere reports a process that does not know wire.MethodWhere.
	ErrNoWhere = errors.New("it is of an earlier version, or not an entry of passed-through flows")
	// ErrUnknownRoute reports an address that no route has.
	ErrUnknownRoute = errors.New("no route has this address")
)

// Where asks an entry where a new flow would go: the given one, named by its control or
// data address, or, if entry is the zero value, the first seed that answers.
func Where(ctx context.Context, call CallFunc, seeds []netip.AddrPort, entry netip.AddrPort, p wire.WhereParams) (wire.WhereResult, error) {
	controls := seeds
	if entry.IsValid() {
		controls = []netip.AddrPort{controlOf(ctx, call, seeds, entry)}
	}
	if len(controls) == 0 {
		return wire.WhereResult{}, ErrNoProcess
	}
	var failed error
	for _, control := range controls {
		var r wire.WhereResult
		err := query(ctx, call, control.String(), wire.MethodWhere, p, &r)
		if err == nil {
			return r, checkRoute(&r)
		}
		failed = errors.Join(failed, whereError(control, err))
	}
	return wire.WhereResult{}, failed
}

// controlOf returns the control address of the entry with the given data address, or the
// given address if the fleet does not list it.
func controlOf(ctx context.Context, call CallFunc, seeds []netip.AddrPort, entry netip.AddrPort) netip.AddrPort {
	members, err := Members(ctx, call, seeds)
	if err != nil {
		return entry // without a seed only a control address can be asked
	}
	for i := range members {
		if members[i].Process != entry.String() {
			continue
		}
		if control, err := netip.ParseAddrPort(members[i].Control); err == nil {
			return control
		}
	}
	return entry
}

func whereError(control netip.AddrPort, err error) error {
	var answer *jsonrpc2.Error
	switch {
	case !errors.As(err, &answer):
		return errors.Wrapf(err, "%s can't be reached", control)
	case answer.Code == jsonrpc2.CodeMethodNotFound:
		return errors.Wrapf(ErrNoWhere, "%s can't answer", control)
	}
	return errors.Errorf("%s refused the request: %s", control, answer.Message)
}

func checkRoute(r *wire.WhereResult) error {
	if !r.UnknownRoute {
		return nil
	}
	return errors.Wrapf(ErrUnknownRoute, "%s (version %d of the routes at entry %s, %s)",
		r.Address, r.RoutesVersion, r.Entry, formatVerified(r.ConfigAgeMillis))
}

// formatVerified formats the age of a configuration; a negative one means that it was
// never verified.
func formatVerified(millis int64) string {
	if millis < 0 {
		return "never verified"
	}
	return "verified " + formatAge(millis)
}

// WriteWhereJSON writes the answer of an entry as one JSON object.
func WriteWhereJSON(w io.Writer, r *wire.WhereResult) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteWhere writes the answer of an entry as a table with one line for each agent, in
// the order of preference.
func WriteWhere(w io.Writer, r *wire.WhereResult, callerGiven bool) {
	t := newTable(w)
	_, _ = fmt.Fprintf(t, "route\t%s %s, version %d of the routes, %s\n", r.Route, r.Address, r.RoutesVersion, formatVerified(r.ConfigAgeMillis))
	_, _ = fmt.Fprintf(t, "entry\t%s in %s\n", r.Entry, r.Zone)
	caller := r.Caller
	if !callerGiven {
		caller += " as an example; service and scores depend on the caller"
	}
	_, _ = fmt.Fprintf(t, "caller\t%s\n", caller)
	_, _ = fmt.Fprintf(t, "service\t%s%s\n", r.Service, formatWeights(r.Services))
	choice := r.Choice
	if choice == "" {
		choice = "none: no agent of the service gets new flows"
	}
	_, _ = fmt.Fprintf(t, "choice\t%s\n", choice)
	_ = t.Flush()
	if len(r.Candidates) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w)
	t = newTable(w)
	_, _ = fmt.Fprintln(t, "AGENT\tZONE\tSTATE\tSLOTS\tBUSY\tFAILING\tTIME\tREPORTED\tOPENINGS\tSCORE\tNOTE")
	for i := range r.Candidates {
		writeCandidate(t, &r.Candidates[i], r.Choice)
	}
	_ = t.Flush()
}

// formatWeights formats the weights of the services of a route that has several.
func formatWeights(services []wire.WhereService) string {
	if len(services) < 2 {
		return ""
	}
	parts := make([]string, 0, len(services))
	for _, s := range services {
		parts = append(parts, fmt.Sprintf("%s %d", s.Name, s.Weight))
	}
	return ", by the weights " + strings.Join(parts, ", ")
}

func writeCandidate(w io.Writer, c *wire.WhereCandidate, choice string) {
	busy, failing, serviceTime, reported := "-", "-", "-", "never"
	if c.ReportAgeMillis >= 0 {
		busy, failing = fmt.Sprintf("%.2f", c.Busy), fmt.Sprintf("%.0f %%", 100*c.FailureRate)
		reported = formatAge(c.ReportAgeMillis)
	}
	if c.ServiceMillis > 0 {
		serviceTime = fmt.Sprintf("%.1fms", c.ServiceMillis)
	}
	if c.ReportExpired {
		reported += ", expired"
	}
	score := "-"
	if c.Score > 0 {
		score = fmt.Sprintf("%.3f", c.Score)
	}
	note := c.Excluded
	if c.Agent == choice {
		note = strings.TrimPrefix(note+", chosen", ", ")
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", c.Agent, c.Zone, c.State, c.Slots, busy, failing, serviceTime, reported, c.Openings, score, note)
}
