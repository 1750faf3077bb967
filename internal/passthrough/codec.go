package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

// Codec reads and writes packets of flows.
type Codec interface {
	// Decode reads the header of a packet.
	Decode(packet []byte) (flow.Segment, error)
	// SetMetadata writes a note into the fields that the two ends of a flow do not
	// read.
	SetMetadata(packet []byte, n flow.Metadata)
	// Note reads it.
	Metadata(packet []byte) flow.Metadata
	// Clear removes notes and marks, as the sender wrote the packet.
	Clear(packet []byte)
	// AppendQuery makes a packet without data with the header and a note.
	AppendQuery(b, packet []byte, n flow.Metadata) []byte
	// AppendReset makes a packet that resets the caller's end of a flow.
	AppendReset(b []byte, k flow.Key, seq uint32) []byte
}

// Decision is one decision about a flow, for logs and counters.
type Decision struct {
	Kind   string // fixed set, see docs/OPERATIONS.md
	Reason string // fixed set
	Key    flow.Key
	Agent  flow.Endpoint
	Tries  int
	Age    time.Duration // since the flow was first seen here
	// Version is that of the routes the decision was made with; agents have no
	// routes.
	Version uint64
}

// Decisions of entries.
const (
	DecisionPlace    = "place"     // a new flow is offered to an agent
	DecisionOwned    = "owned"     // an agent took it
	DecisionRefused  = "refused"   // an agent did not take it
	DecisionNoRoute  = "no-route"  // the address belongs to no route
	DecisionNoAgent  = "nobody"    // no agent takes a new flow
	DecisionLookup   = "lookup"    // a home is asked for the owner
	DecisionSearch   = "search"    // all agents are asked for the owner
	DecisionFound    = "found"     // the owner was found
	DecisionNotFound = "not-found" // nobody said that it owns the flow
	DecisionNoOwner  = "lost"      // every agent denied that it owns the flow: reset
	DecisionMoved    = "moved"     // the owner does not hold the flow any more
)

// Decisions of agents.
const (
	DecisionAdmit           = "admit"
	DecisionReject          = "reject"
	DecisionProbe           = "probe"   // the upstream is asked whether it holds a flow
	DecisionLearn           = "learn"   // the upstream holds a flow that was not known
	DecisionNotHeld         = "gone"    // the upstream does not hold the flow
	DecisionUpstreamEnded   = "ended"   // the upstream that held the flow has ended: reset
	DecisionReturned        = "bounced" // the upstream returned an opening packet
	DecisionUpstreamTimeout = "silent"  // the upstream gives no sign of life: its flows are reset
	DecisionFailing         = "failing" // requests fail at the upstream, so that others are preferred; Tries has the share in percent
	DecisionRecovered       = "works"   // they no longer do
)

// Observer takes decisions. It must not block.
type Observer func(Decision)
