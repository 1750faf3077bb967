package request

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// HeaderTarget carries, between agents only, the AgentRef of the agent that a
// relay is addressed to. An agent that was restarted since, or that receives
// the relay too late, rejects it.
const HeaderTarget = "Crocus-Target"

// HeaderAttempt carries the caller's attempt number, from 1.
const HeaderAttempt = "Crocus-Attempt"

// AgentRef identifies one incarnation of an agent and, optionally, a time of
// its own clock.
type AgentRef struct {
	Addr        netip.AddrPort // relay address
	Incarnation uint64
	// ClockMillis is a time of the agent's own clock in milliseconds since its
	// start, at least 1; 0 if no time is given.
	ClockMillis int64
}

// SameIncarnation reports whether both refer to the same incarnation of the
// same agent.
func (r AgentRef) SameIncarnation(other AgentRef) bool {
	return r.Addr == other.Addr && r.Incarnation == other.Incarnation
}

// String returns ip:port/incarnation, followed by /clock if ClockMillis is set.
func (r AgentRef) String() string {
	s := r.Addr.String() + "/" + strconv.FormatUint(r.Incarnation, 10)
	if r.ClockMillis == 0 {
		return s
	}
	return s + "/" + strconv.FormatInt(r.ClockMillis, 10)
}

// ParseAgentRef parses the format of AgentRef.String.
func ParseAgentRef(s string) (AgentRef, error) {
	parts := strings.Split(s, "/")
	if len(parts) < 2 || len(parts) > 3 {
		return AgentRef{}, errors.New("agent reference must be ip:port/incarnation")
	}
	var r AgentRef
	var err error
	if r.Addr, err = netip.ParseAddrPort(parts[0]); err != nil {
		return AgentRef{}, errors.Wrap(err, "agent reference")
	}
	if r.Incarnation, err = strconv.ParseUint(parts[1], 10, 64); err != nil {
		return AgentRef{}, errors.Wrap(err, "agent reference: incarnation")
	}
	if len(parts) == 2 {
		return r, nil
	}
	if r.ClockMillis, err = strconv.ParseInt(parts[2], 10, 64); err != nil || r.ClockMillis < 1 {
		return AgentRef{}, errors.New("agent reference: clock must be a positive number")
	}
	return r, nil
}

// FormatVia returns the value of Crocus-Relays for the addresses.
func FormatVia(via []netip.AddrPort) string {
	parts := make([]string, len(via))
	for i, a := range via {
		parts[i] = a.String()
	}
	return strings.Join(parts, ",")
}

// ParseVia parses the format of FormatVia.
func ParseVia(s string) ([]netip.AddrPort, error) {
	if s == "" {
		return nil, nil
	}
	parts := strings.Split(s, ",")
	if len(parts) > MaxRelays {
		return nil, errors.Errorf("more than %d relays", MaxRelays)
	}
	via := make([]netip.AddrPort, len(parts))
	for i, part := range parts {
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, errors.Wrap(err, "relays")
		}
		via[i] = a
	}
	return via, nil
}

// MarshalText implements encoding.TextMarshaler.
func (r AgentRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *AgentRef) UnmarshalText(b []byte) error {
	parsed, err := ParseAgentRef(string(b))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}
