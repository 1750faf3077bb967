package passthrough

import (
	"time"

	"crocusnotch/internal/flow"
)

// Codec decodes and encodes the packets of flows.
type Codec interface {
	// Decode decodes the header of a packet.
	Decode(packet []byte) (flow.Segment, error)
	// SetMetadata writes metadata into header fields that neither the caller nor the
	// upstream reads.
	SetMetadata(packet []byte, meta flow.Metadata)
	// Metadata returns the metadata of a packet.
	Metadata(packet []byte) flow.Metadata
	// Clear removes the metadata and the mark of a returned packet, which restores
	// the packet as its sender wrote it.
	Clear(packet []byte)
	// AppendQuery appends a packet with the header of the given one, the metadata
	// and no data.
	AppendQuery(b, packet []byte, meta flow.Metadata) []byte
	// AppendReset appends a packet that resets a flow at its caller.
	AppendReset(b []byte, k flow.Key, seq uint32) []byte
}

// Decision is one decision about a flow, for logs and metrics.
type Decision struct {
	Kind   string // fixed set, see docs/OPERATIONS.md
	Reason string // fixed set
	Key    flow.Key
	Agent  flow.Endpoint
	Tries  int
	Age    time.Duration // since the flow was first seen here
	// Version is the version of the routes that the decision was made with; 0 at
	// agents, which have no routes.
	Version uint64
}

// Decisions of entries.
const (
	DecisionPlace    = "place"     // a new flow is offered to an agent
	DecisionOwned    = "owned"     // an agent accepted the new flow
	DecisionRefused  = "refused"   // an agent refused the new flow
	DecisionNoRoute  = "no-route"  // no route has the address
	DecisionNoAgent  = "nobody"    // no agent accepts a new flow
	DecisionLookup   = "lookup"    // a replica is queried for the owner
	DecisionSearch   = "search"    // all agents that may own the flow are queried
	DecisionFound    = "found"     // the owner was found
	DecisionNotFound = "not-found" // no agent confirmed that it owns the flow
	DecisionNoOwner  = "lost"      // every queried agent denied that it owns the flow: reset in its turn
	DecisionReset    = "reset"     // a flow without an owner is reset
	DecisionMoved    = "moved"     // the owner no longer holds the flow
	DecisionSettled  = "settled"   // the set of agents counts as complete; Tries is the number of new ones, Age the time without another
	DecisionOrphan   = "orphan"    // an idle flow has lost its owner, by the answers of all agents
	DecisionHedge    = "hedge"     // an opening is offered to a second agent, or the outcome of that
)

// reasonOtherService is the reason of DecisionPlace when the agents of the flow's service
// are busy and it is offered to one of another service of its route.
const reasonOtherService = "other-service"

// DecisionProbeRelay is a decision of entries and agents: a packet of a search goes to
// Tries more agents through a relay. With the reason "unanswered" an entry sends it to
// Tries agents directly, since they did not answer after an earlier relay.
const DecisionProbeRelay = "probe-relay"

// Decisions of agents.
const (
	DecisionAdmit           = "admit"
	DecisionReject          = "reject"
	DecisionWait            = "wait"        // the opening waits for free capacity of the upstream; Tries is the number of waiting openings
	DecisionProbe           = "probe"       // a packet is sent to the upstream to find out whether it holds the flow
	DecisionLearn           = "learn"       // the upstream sent a packet of a flow that was unknown
	DecisionNotHeld         = "gone"        // the upstream does not hold the flow
	DecisionUpstreamEnded   = "ended"       // the upstream that held the flow has ended: reset
	DecisionReturned        = "bounced"     // the upstream returned an opening packet
	DecisionUpstreamTimeout = "silent"      // the upstream timed out: its flows are reset
	DecisionUpstreamRefused = "no-listener" // the upstream's instance refused a connection: no upstream is running
	DecisionFailing         = "failing"     // the upstream's failure rate is high, so that others are preferred; Tries is the rate in percent
	DecisionRecovered       = "works"       // the failure rate is low again; Tries is the rate in percent
)

// Observer records a decision. It must not block.
type Observer func(Decision)
