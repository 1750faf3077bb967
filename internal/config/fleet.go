// Package config defines the types of the fleet's configuration, which operators
// keep in the platform's store, and of the settings files of the processes. It
// decodes and validates both, so users of its values need not check them again.
package config

import (
	"net/netip"
	"strings"
	"time"
)

// Object kinds in the platform's store.
const (
	KindService = "service"
	KindZone    = "zone"
	KindKeys    = "keys"
	KindRoster  = "roster"
	KindFlows   = "flows" // checkpoints of the flows of each entry, see package checkpoint
	KindRoutes  = "routes"
	KindPool    = "pool"
	KindZoneOut = "zone-out"
)

// KeysName is the name of the single object of KindKeys.
const KeysName = "fleet"

// Service is one class of upstreams behind one or more addresses.
type Service struct {
	Name      string           `json:"name" validate:"required,max=64,objectname"`
	ID        uint16           `json:"id" validate:"required"`
	Addresses []netip.AddrPort `json:"addresses" validate:"required,min=1,dive,hostport"`
	Classes   []Class          `json:"classes" validate:"required,min=1,unique=Name,dive"`
	Targets   Targets          `json:"targets"`
}

// Targets limit the load of the service's upstreams.
type Targets struct {
	// FreshShare is the share of its announced slots that an upstream in cold
	// start uses at first, above 0 and up to 1.
	FreshShare float64 `json:"freshShare" validate:"gt=0,lte=1"`
	// FreshSteps is the number of healthy intervals from FreshShare to all
	// slots.
	FreshSteps int `json:"freshSteps" validate:"min=1,max=1000"`
	// FreshIntervalMillis is the length of one interval.
	FreshIntervalMillis int `json:"freshIntervalMillis" validate:"min=10,max=600000"`
	// QueuePerSlot is the largest number of waiting requests per announced slot.
	QueuePerSlot int `json:"queuePerSlot" validate:"min=0,max=100"`
	// RetryShare is the share of successes that may be spent on retries.
	RetryShare float64 `json:"retryShare" validate:"gte=0,lte=1"`
	// RetentionMillis is how long outcomes of non-idempotent requests are
	// kept.
	RetentionMillis int `json:"retentionMillis" validate:"min=1000,max=86400000"`
}

// Class is one kind of request to a service. The first class whose prefix and
// methods match a request applies.
type Class struct {
	Name       string   `json:"name" validate:"required,max=64,objectname"`
	PathPrefix string   `json:"pathPrefix" validate:"required,startswith=/"`
	Methods    []string `json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	// RunAtMostOnce marks non-idempotent requests; they need an
	// Idempotency-Key.
	RunAtMostOnce bool `json:"runAtMostOnce,omitempty"`
	// StayConnected marks long-lived streams, which have no deadline.
	StayConnected bool `json:"stayConnected,omitempty"`
	// Bulk marks requests of the lowest priority for slots.
	Bulk bool `json:"bulk,omitempty"`
	// DeadlineMillis is the time limit of a request without StayConnected.
	DeadlineMillis int `json:"deadlineMillis,omitempty" validate:"min=0,max=3600000,required_without=StayConnected"`
}

// Deadline returns the class's time limit; 0 means none.
func (c *Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMillis) * time.Millisecond
}

// Matches reports whether the class applies to a request.
func (c *Class) Matches(method, path string) bool {
	if !strings.HasPrefix(path, c.PathPrefix) {
		return false
	}
	if len(c.Methods) == 0 {
		return true
	}
	for _, m := range c.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// ClassOf returns the first class that matches, or nil.
func (s *Service) ClassOf(method, path string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Matches(method, path) {
			return &s.Classes[i]
		}
	}
	return nil
}

// Zone is one availability zone.
type Zone struct {
	Name   string `json:"name" validate:"required,max=64,objectname"`
	ID     uint8  `json:"id" validate:"required"`
	Region string `json:"region" validate:"required,max=64,objectname"`
	// Out is true while operators keep the zone out of service.
	Out bool `json:"out"`
}

// Keys are the generations of the fleet's secret. Signing is the ID of the one
// that signs.
type Keys struct {
	Signing     uint8        `json:"signing" validate:"required"`
	Generations []Generation `json:"generations" validate:"required,min=1,max=16,unique=ID,dive"`
	// Version rises with every change, so that a generation that was retired does not
	// come back when the store is restored from a copy.
	Version uint64 `json:"version,omitempty"`
}

// Generation is one secret, 32 bytes in hexadecimal.
type Generation struct {
	ID     uint8  `json:"id" validate:"required"`
	Secret string `json:"secret" validate:"required,len=64,hexadecimal"`
}

// File is the file of services and zones that operators apply.
type File struct {
	Zones    []Zone    `json:"zones" validate:"required,min=1,unique=Name,unique=ID,dive"`
	Services []Service `json:"services" validate:"required,min=1,unique=Name,unique=ID,dive"`
}
