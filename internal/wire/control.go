package wire

import "crocusnotch/internal/explain"

// Methods of the jsonrpc2 service that every entry and agent serves on its
// control address over mutual TLS. Entries of passed-through flows also serve
// MethodWhere.
const (
	MethodStatus   = "fleet.status"   // no parameters, returns Status
	MethodExplain  = "fleet.explain"  // ExplainParams, returns ExplainResult
	MethodSnapshot = "fleet.snapshot" // SnapshotParams, returns SnapshotResult
)

// Status is the state of a process as it reports it.
type Status struct {
	Process         string            `json:"process"` // data address
	Role            string            `json:"role"`    // "entry" or "agent"
	Zone            string            `json:"zone"`
	State           string            `json:"state"`
	Incarnation     uint64            `json:"incarnation"`
	ConfigRevision  uint64            `json:"configRevision"`
	ConfigProblems  []string          `json:"configProblems,omitempty"`
	SigningKey      uint8             `json:"signingKey"`
	Members         int               `json:"members"`
	StoreReachable  bool              `json:"storeReachable"`
	Agent           *AgentStatus      `json:"agent,omitempty"`
	ControlBytesIn  uint64            `json:"controlBytesIn"`
	ControlBytesOut uint64            `json:"controlBytesOut"`
	Peers           []MemberStatus    `json:"peers,omitempty"`
	Counters        map[string]uint64 `json:"counters,omitempty"`
	Observations    []Observation     `json:"beliefs,omitempty"`
}

// Observation is a value that the process acts on, with its age.
type Observation struct {
	Subject   string `json:"about"`
	Value     string `json:"value"`
	AgeMillis int64  `json:"ageMillis"` // since it was last confirmed; -1 if never confirmed
}

// MemberStatus is one member in the view of the responding process.
type MemberStatus struct {
	Process     string `json:"process"`
	Control     string `json:"control"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Service     string `json:"service,omitempty"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

// AgentStatus is the part of Status that only agents have. Flows and LongStreams
// count what a forced stop would break.
type AgentStatus struct {
	Service     string         `json:"service"`
	Upstream    string         `json:"upstream"`
	Slots       int            `json:"slots"`
	Limit       int            `json:"limit"` // current concurrency limit
	Busy        int            `json:"busy"`
	Queued      int            `json:"queued"`
	Flows       int            `json:"flows"`
	LongStreams int            `json:"longStreams"`
	FlowsByKey  map[string]int `json:"flowsByKey,omitempty"` // number of flows by key generation
}

// ExplainParams selects events by the name of their subject; an empty name
// selects all.
type ExplainParams struct {
	Name string `json:"name"`
}

// ExplainResult is the result of MethodExplain, oldest event first.
type ExplainResult struct {
	Events []explain.Event `json:"events"`
}
