package config

import "net/netip"

// Roster is the value of an object of KindRoster, named like the zone: the
// control addresses of a few entries by which new processes find the fleet.
type Roster struct {
	Entries []netip.AddrPort `json:"entries" validate:"max=16,dive,hostport4"`
}
