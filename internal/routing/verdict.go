package routing

import "net/netip"

// Verdict is what becomes of a packet from a caller.
type Verdict uint8

// Verdicts. The set is closed: each has a counter.
const (
	ForwardOwner       Verdict = iota // to the agent that its token names
	ForwardCandidates                 // to the first candidate, with the second one named
	DropMalformed                     // no QUIC packet with a connection ID
	DropUnknownAddress                // the destination belongs to no service
	DropBadToken                      // a packet of an established flow with a wrong MAC
	DropUnknownKey                    // a token of an unknown key generation, or no keys yet
	DropWrongService                  // the token belongs to another service than the destination
	DropZoneOut                       // the owner's zone is out
	DropNotAgent                      // the token names a process that is no agent
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

// Verdicts lists the closed set.
func Verdicts() []Verdict {
	all := make([]Verdict, verdictCount)
	for i := range all {
		all[i] = Verdict(i)
	}
	return all
}

// String returns the verdict's name for metrics and logs.
func (v Verdict) String() string { return verdictNames[v] }

// Dropped reports whether the packet goes nowhere.
func (v Verdict) Dropped() bool { return v > ForwardCandidates }

// Decision is a verdict and the agents that it names.
type Decision struct {
	Verdict         Verdict
	Service         uint16
	Agent           netip.AddrPort // the owner or the first candidate; zero when dropped
	SecondCandidate netip.AddrPort // the second candidate; zero when there is none
}
