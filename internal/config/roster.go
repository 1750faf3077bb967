package config

import "net/netip"

// Roster is the value of an object of KindRoster, which has the name of a zone. It
// lists the control addresses of a few entries through which new processes join the
// fleet.
type Roster struct {
	Entries []netip.AddrPort `json:"entries" validate:"max=16,dive,hostport4"`
}
