package routing

import "net/netip"

// Verdict is the outcome of routing a packet from a caller.
type Verdict uint8

// Verdicts. The set is fixed because each verdict has its own counter.
const (
	ForwardOwner       Verdict = iota // to the agent in its token
	ForwardCandidates                 // to the first candidate, with the second one in the header
	DropMalformed                     // not a QUIC packet with a connection ID
	DropUnknownAddress                // the destination belongs to no service
	DropBadToken                      // a short-header packet whose token has a wrong MAC
	DropUnknownKey                    // a token of an unknown key generation, or no keys loaded yet
	DropWrongService                  // the token belongs to another service than the destination
	DropZoneOut                       // the owner's zone is out of service
	DropNotAgent                      // the token identifies a process that is not an agent
	DropNoUpstream                    // the service has no candidate
	verdictCount
)

var verdictNames = [verdictCount]string{
	ForwardOwner:       "owner",
	ForwardCandidates:  "candidates",
	DropMalformed:      "malformed",
	DropUnknownAddress: "unknown-address",
	DropBadToken:       "bad-token",
	DropUnknownKey:     "unknown-key",
	DropWrongService:   "wrong-service",
	DropZoneOut:        "zone-out",
	DropNotAgent:       "not-an-agent",
	DropNoUpstream:     "no-upstream",
}

// Verdicts returns all verdicts.
func Verdicts() []Verdict {
	all := make([]Verdict, verdictCount)
	for i := range all {
		all[i] = Verdict(i)
	}
	return all
}

// String returns the verdict's name for metrics and logs.
func (v Verdict) String() string { return verdictNames[v] }

// Dropped reports whether the packet is dropped.
func (v Verdict) Dropped() bool { return v > ForwardCandidates }

// Decision is a verdict and the agents to forward to.
type Decision struct {
	Verdict         Verdict
	Service         uint16
	Agent           netip.AddrPort // the owner or the first candidate; zero when dropped
	SecondCandidate netip.AddrPort // the second candidate; zero when there is none
}
