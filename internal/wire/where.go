package wire

// MethodWhere is served by entries of passed-through flows only. It takes WhereParams
// and returns WhereResult. Other processes, and entries of earlier versions, answer that
// they don't know the method.
const MethodWhere = "fleet.where"

// WhereParams name a new flow.
type WhereParams struct {
	Address string `json:"address"`          // IPv4 address and port of the route
	Caller  string `json:"caller,omitempty"` // IPv4 address and port; empty: 0.0.0.0:0 as an example
}

// WhereResult is where an entry would place a new flow, and why.
type WhereResult struct {
	Entry           string `json:"entry"` // data address
	Zone            string `json:"zone"`  // of the entry
	RoutesVersion   uint64 `json:"routesVersion"`
	ConfigAgeMillis int64  `json:"configAgeMillis"` // since it was last verified, -1 if never
	// UnknownRoute is set if no route has the address; the fields below are then empty.
	UnknownRoute bool             `json:"unknownRoute,omitempty"`
	Route        string           `json:"route"`
	Address      string           `json:"address"`
	Caller       string           `json:"caller"`
	Services     []WhereService   `json:"services"` // among which the route divides new flows
	Service      string           `json:"service"`  // of this flow
	Choice       string           `json:"choice"`   // data address of the agent, empty if there is none
	Candidates   []WhereCandidate `json:"candidates"`
}

// WhereService is one service of a route.
type WhereService struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// WhereCandidate is one agent of the service, in the order of preference.
type WhereCandidate struct {
	Agent string `json:"agent"` // data address
	Zone  string `json:"zone"`
	State string `json:"state"` // of its membership record
	Slots int    `json:"slots"`
	// Busy, FailureRate and ServiceMillis are those of the last report, 0 without one.
	Busy            float64 `json:"busy"`            // unanswered requests, averaged
	FailureRate     float64 `json:"failureRate"`     // share of its latest requests, 0 to 1
	ServiceMillis   float64 `json:"serviceMillis"`   // time that a request takes once it has a slot, 0 if not known
	ReportAgeMillis int64   `json:"reportAgeMillis"` // -1 without a report
	ReportExpired   bool    `json:"reportExpired,omitempty"`
	Openings        int     `json:"openings"`           // flows that the entry placed since the report
	Score           float64 `json:"score"`              // the lowest is chosen; 0 if the agent is not compared
	Excluded        string  `json:"excluded,omitempty"` // why it gets no new flow, or only when no other agent is left
}
