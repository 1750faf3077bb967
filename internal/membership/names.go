package membership

import "strconv"

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleEntry:
		return "entry"
	case RoleAgent:
		return "agent"
	}
	return "role " + strconv.Itoa(int(r))
}

// String returns the name of the state; 0 is "unknown".
func (s State) String() string {
	names := [...]string{"unknown", "ready", "cold", "draining", "suspect", "left", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"", "heartbeat", "reply", "push", "ping", "ack", "ping-request", "digest", "listing", "want", "verified"}
	if int(k) < len(names) {
		return names[k]
	}
	return "kind " + strconv.Itoa(int(k))
}
