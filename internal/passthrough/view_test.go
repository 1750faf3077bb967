package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
)

// A search waits for agents that may come back with their flows, and not for those
// that cannot hold a flow.
func TestOwnersThatASearchWaitsFor(t *testing.T) {
	record := func(state membership.State, slots uint16) membership.Record {
		return membership.Record{
			Addr: addrOf(2, 1), Role: membership.RoleAgent, State: state, Slots: slots, Incarnation: 5,
		}
	}
	for name, tt := range map[string]struct {
		member, departed *membership.Record
		after            time.Duration
		want             bool
	}{
		"ready":                                {member: ptr(record(membership.StateReady, 5)), want: true},
		"suspect":                              {member: ptr(record(membership.StateSuspect, 5)), want: true},
		"upstream not announced yet":           {member: ptr(record(membership.StateDraining, 0)), want: true},
		"never announced":                      {member: ptr(record(membership.StateDraining, 0)), after: firstAnnouncementTimeout + 1},
		"upstream ended, may start anew":       {member: ptr(withoutUpstreamRunning(record(membership.StateDraining, 0))), after: firstAnnouncementTimeout + 1, want: true},
		"no upstream running":                  {member: ptr(withoutUpstreamRunning(record(membership.StateDraining, 0))), want: true},
		"left to restart":                      {departed: ptr(record(membership.StateLeft, 5)), want: true},
		"left long ago":                        {departed: ptr(record(membership.StateLeft, 5)), after: departedOwnerTTL + 1},
		"left after its upstream ended":        {departed: ptr(record(membership.StateLeft, 0))},
		"declared dead":                        {departed: ptr(record(membership.StateDead, 5))},
		"declared dead, back as a new process": {member: ptr(record(membership.StateReady, 5)), departed: ptr(membership.Record{Addr: addrOf(2, 1), Role: membership.RoleAgent, State: membership.StateDead, Incarnation: 4}), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newViewBuilder(&config.Passthrough{Data: addrOf(1, 1), Zones: map[string]string{"z1": "r"}, FlowMaxSeconds: 60})
			var members, departed []membership.Record
			if tt.member != nil {
				members = append(members, *tt.member)
			}
			if tt.departed != nil {
				departed = append(departed, *tt.departed)
			}
			b.build(simStart, config.Empty(), members, departed)
			if tt.member == nil {
				members = nil
			}
			var v *View
			for range 2 { // the second build must not reset the timeouts
				v = b.build(simStart.Add(tt.after), config.Empty(), members, nil)
			}
			o, got := v.Owners[flow.EndpointOf(addrOf(2, 1))]
			is.Equal(got, tt.want)
			is.Equal(o.Departed, got && tt.member == nil)
			is.Equal(o.NoUpstream, tt.member != nil && tt.member.NoUpstream)
		})
	}
}

func withoutUpstreamRunning(r membership.Record) membership.Record {
	r.NoUpstream = true
	return r
}

func ptr[T any](v T) *T { return &v }
