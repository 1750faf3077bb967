package config

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RoutesName is the name of the single object of KindRoutes.
const RoutesName = "main"

// Routes assign the passed-through flows of each address to services.
type Routes struct {
	Version uint64  `json:"version" validate:"required"`
	Routes  []Route `json:"routes" validate:"unique=Address,dive"`
	// IdleMillis is the time without packets after which a flow may be removed.
	IdleMillis int `json:"idleMillis" validate:"min=1,max=86400000"`
}

// Route is one address to which callers send.
type Route struct {
	Name    string         `json:"name" validate:"max=256"`
	Address netip.AddrPort `json:"address" validate:"required,hostport4"`
	// Choices are the services among which new flows are divided.
	Choices []Choice `json:"choices" validate:"required,min=1,max=64,dive"`
	// Repeatable marks idempotent requests, which may be sent to a second upstream.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority orders requests that wait for one upstream, 0 first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=254"`
	// TargetMillis is the time within which a request should be answered; 0 means
	// none is stated.
	TargetMillis int `json:"targetMillis,omitempty" validate:"min=0,max=65535"`
}

// Target returns the time within which a request should be answered, 0 if none is
// stated.
func (r *Route) Target() time.Duration { return time.Duration(r.TargetMillis) * time.Millisecond }

// Choice is one service of a route. Its share of the new flows is in proportion to
// Weight.
type Choice struct {
	Service string `json:"service" validate:"required,max=256"`
	Weight  int    `json:"weight" validate:"min=0,max=1000000"`
}

// Pool limits the load of each upstream of a service of passed-through flows.
type Pool struct {
	Name        string `json:"name" validate:"required,max=256"`
	Connections int    `json:"connections" validate:"min=0,max=10000000"`
	// ColdPerSecond is the number of new flows a second that an upstream in cold
	// start accepts; 0 means no limit.
	ColdPerSecond float64 `json:"coldPerSecond" validate:"gte=0"`
	// IdleMillis is the time without packets after which a flow may be removed.
	IdleMillis int `json:"idleMillis" validate:"min=1,max=86400000"`
}

// ZoneOut is an availability zone that operators took out of service.
type ZoneOut struct {
	Name string `json:"name" validate:"required,max=256"`
}

// Idle returns the time without packets after which a flow may be removed.
func (r *Routes) Idle() time.Duration { return time.Duration(r.IdleMillis) * time.Millisecond }

// Idle returns the time without packets after which a flow may be removed.
func (p *Pool) Idle() time.Duration { return time.Duration(p.IdleMillis) * time.Millisecond }

// ServiceHash hashes the name of a service for records and datagrams. It is never 0.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) | 1 }

// ServiceID is the part of ServiceHash that a membership record holds. Two services
// may share it, so the agent compares the whole hash.
func ServiceID(name string) uint16 { return uint16(ServiceHash(name)) }
