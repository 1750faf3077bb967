package passthrough

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
	"crocusnotch/internal/membership"
	"crocusnotch/internal/wire"
)

// excludedAgent is an agent that gets no new flows.
type excludedAgent struct {
	flow.Agent
	reason flow.Exclusion
}

// exclusionOf returns why the agent of a record in the zone gets no new flows, or "".
func exclusionOf(m *membership.Record, zone string, fleet *config.Fleet) flow.Exclusion {
	switch {
	case m.State == membership.StateDraining:
		return flow.ExcludedDraining
	case fleet.ZonesOut[zone]:
		return flow.ExcludedZoneOut
	}
	return ""
}

// Where returns where the flow would go if it were a new one now. It changes no state.
func (r *Router) Where(now time.Time, k flow.Key) wire.WhereResult {
	v := r.view
	w := wire.WhereResult{
		Entry: v.Self.String(), Zone: r.zone, RoutesVersion: v.Fleet.RoutesVersion,
		Address: k.Route().String(), Caller: k.Caller().String(),
	}
	route := v.Fleet.Routes[k.Route().AddrPort()]
	if route == nil {
		w.UnknownRoute = true
		return w
	}
	w.Route, w.Service = route.Name, flow.ServiceOf(route, k)
	for _, c := range route.Choices {
		w.Services = append(w.Services, wire.WhereService{Name: c.Service, Weight: c.Weight})
	}
	id := config.ServiceID(w.Service)
	ranked := r.placement.Rank(now, k, v.Agents[id])
	if len(ranked) > 0 {
		w.Choice = ranked[0].Agent.Addr.String()
	}
	for _, a := range v.excluded[id] {
		ranked = append(ranked, r.placement.Describe(a.Agent, a.reason))
	}
	states := make(map[flow.Endpoint]membership.State, len(v.members))
	for i := range v.members {
		states[flow.EndpointOf(v.members[i].Addr)] = v.members[i].State
	}
	w.Candidates = make([]wire.WhereCandidate, 0, len(ranked))
	for i := range ranked {
		w.Candidates = append(w.Candidates, whereCandidate(now, &ranked[i], states[ranked[i].Agent.Addr]))
	}
	return w
}

func whereCandidate(now time.Time, c *flow.Candidate, state membership.State) wire.WhereCandidate {
	out := wire.WhereCandidate{
		Agent: c.Agent.Addr.String(), Zone: c.Agent.Zone, State: state.String(), Slots: c.Agent.Slots,
		Busy: c.Report.Busy, FailureRate: c.Report.FailureRate, ServiceMillis: float64(c.Report.ServiceTime) / float64(time.Millisecond),
		ReportAgeMillis: -1,
		Openings:        c.Openings, Score: c.Score, Excluded: string(c.Excluded),
	}
	if !c.ReportedAt.IsZero() {
		age := now.Sub(c.ReportedAt)
		out.ReportAgeMillis, out.ReportExpired = age.Milliseconds(), age >= flow.ReportTTL
	}
	return out
}

// where answers wire.MethodWhere.
func (e *Entry) where(p wire.WhereParams) (wire.WhereResult, error) {
	address, err := parseEndpoint(p.Address)
	if err != nil {
		return wire.WhereResult{}, errors.Wrap(err, "address")
	}
	var caller flow.Endpoint
	if p.Caller != "" {
		if caller, err = parseEndpoint(p.Caller); err != nil {
			return wire.WhereResult{}, errors.Wrap(err, "caller")
		}
	}
	verifiedAt := e.fleet.VerifiedAt()
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.router.Where(time.Now(), flow.KeyOf(caller, address))
	w.ConfigAgeMillis = ageMillis(verifiedAt)
	return w, nil
}

var errNotIPv4 = errors.New("not an IPv4 address and port")

func parseEndpoint(s string) (flow.Endpoint, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Unmap().Is4() {
		return flow.Endpoint{}, errNotIPv4
	}
	return flow.EndpointOf(a), nil
}
