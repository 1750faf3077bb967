package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
)

const (
	columnGap     = 2
	statusColumns = 13 // in the table of WriteStatus
	agentColumns  = 7  // of these, filled for agents only
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}

// WriteObjects lists objects with their revisions and values.
func WriteObjects(w io.Writer, objects []config.Object) {
	for _, o := range objects {
		_, _ = fmt.Fprintf(w, "%s %s at revision %s\n  %s\n", o.Kind, o.Name, config.FormatRevision(o.Revision), o.Value)
	}
}

// WriteKeys lists the key generations without their secrets, each with the
// number of flows whose tokens it signed.
func WriteKeys(w io.Writer, k config.Keys, replies []Reply) {
	flows := map[string]int{}
	for _, r := range replies {
		if r.Status.Agent == nil {
			continue
		}
		for generation, n := range r.Status.Agent.FlowsByKey {
			flows[generation] += n
		}
	}
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "GENERATION\tUSE\tFLOWS")
	for _, g := range k.Generations {
		use := "accepted"
		if g.ID == k.Signing {
			use = "signing"
		}
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\n", g.ID, use, flows[fmt.Sprint(g.ID)])
	}
	_ = t.Flush()
}

// WriteStatus lists the processes and, below them, those that did not answer or
// whose configuration is older than expected. The columns FLOWS and STREAMS count
// the flows and long streams that a forced stop would break.
func WriteStatus(w io.Writer, replies []Reply, expected Revisions) {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "PROCESS\tROLE\tZONE\tSTATE\tCONFIG\tKEY\tSERVICE\tBUSY\tLIMIT\tSLOTS\tQUEUED\tFLOWS\tSTREAMS")
	for _, r := range replies {
		writeReply(t, r)
	}
	_ = t.Flush()
	writeOutdated(w, replies, expected)
}

func writeReply(w io.Writer, r Reply) {
	if r.Err != nil {
		m := r.Member
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tno answer (%s)%s\n", m.Process, m.Role, m.Zone, m.State, strings.Repeat("\t", statusColumns-4))
		return
	}
	s := r.Status
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d", s.Process, s.Role, s.Zone, s.State, config.FormatRevision(s.ConfigRevision), s.SigningKey)
	if a := s.Agent; a != nil {
		_, _ = fmt.Fprintf(w, "\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", a.Service, a.Busy, a.Limit, a.Slots, a.Queued, a.Flows, a.LongStreams)
	} else {
		_, _ = fmt.Fprintln(w, strings.Repeat("\t", agentColumns))
	}
	for _, o := range s.Observations {
		_, _ = fmt.Fprintf(w, "  %s: %s (%s)\n", o.Subject, o.Value, formatAge(o.AgeMillis))
	}
	for _, p := range s.ConfigProblems {
		_, _ = fmt.Fprintf(w, "  refused: %s\n", p)
	}
}

// formatAge formats the age of an observation; a negative one means that it was
// never confirmed.
func formatAge(millis int64) string {
	if millis < 0 {
		return "never confirmed"
	}
	return (time.Duration(millis) * time.Millisecond).String() + " ago"
}

func writeOutdated(w io.Writer, replies []Reply, expected Revisions) {
	outdated := expected.Outdated(replies)
	if len(outdated) == 0 {
		_, _ = fmt.Fprintf(w, "revision %s is in force in all %d processes\n", config.FormatRevision(expected.All), len(replies))
		return
	}
	_, _ = fmt.Fprintf(w, "revision %s is missing in %d of %d processes:\n", config.FormatRevision(expected.All), len(outdated), len(replies))
	for _, r := range outdated {
		if r.Err != nil {
			_, _ = fmt.Fprintf(w, "  %s: no answer\n", r.Member.Process)
			continue
		}
		_, _ = fmt.Fprintf(w, "  %s: at revision %s, expected %s\n", r.Status.Process, config.FormatRevision(r.Status.ConfigRevision), config.FormatRevision(expected.revisionFor(&r)))
	}
}

// WriteEvents writes one line for each event, and the number of processes that
// did not answer if there are any.
func WriteEvents(w io.Writer, events []explain.Event, unanswered int) {
	t := newTable(w)
	for _, e := range events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s %s\t%s\t%s\n", e.Time.UTC().Format(time.RFC3339Nano), e.Process, e.Subject, e.Name, e.Change, e.Cause)
	}
	_ = t.Flush()
	if len(events) == 0 {
		_, _ = fmt.Fprintln(w, "no process has an event about this")
	}
	if unanswered > 0 {
		_, _ = fmt.Fprintf(w, "%d processes did not answer\n", unanswered)
	}
}
