package config

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"crocusnotch/internal/keyring"
)

// Object is one object of the platform's store as the processes exchange it.
// Objects are merged by (Kind, Name): the one that supersedes the others wins. A
// deletion is an object with Deleted set, at a higher revision.
type Object struct {
	Kind     string `json:"kind" cbor:"1,keyasint"`
	Name     string `json:"name" cbor:"2,keyasint"`
	Revision uint64 `json:"revision" cbor:"3,keyasint"` // store-wide, rises with every write; see JoinRevision
	Deleted  bool   `json:"deleted,omitempty" cbor:"4,keyasint,omitempty"`
	Value    []byte `json:"value,omitempty" cbor:"5,keyasint,omitempty"`
	// Version is the operators' own version of the content, 0 for a kind without one.
	// It does not go back when the store is restored from a copy.
	Version uint64 `json:"version,omitempty" cbor:"6,keyasint,omitempty"`
}

// Supersedes reports whether o replaces p, an object with the same identity.
func (o *Object) Supersedes(p *Object) bool {
	return cmp.Or(cmp.Compare(o.Version, p.Version), cmp.Compare(o.Revision, p.Revision)) > 0
}

// SetVersion sets the version from the value, for a kind whose value contains one. An
// undecodable value has version 0; Parse reports its fault.
func (o *Object) SetVersion() {
	if o.Kind != KindKeys || o.Deleted {
		return
	}
	var k Keys
	if json.Unmarshal(o.Value, &k) == nil {
		o.Version = k.Version
	}
}

// ID identifies an object across its revisions.
type ID struct{ Kind, Name string }

// ID returns the object's identity.
func (o *Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }

// Problem is an object that was refused because it is invalid or conflicts with
// another one.
type Problem struct {
	ID       ID
	Revision uint64
	Err      error
}

// Fleet is the configuration in force in one process. It is immutable.
type Fleet struct {
	Revision  uint64 // highest revision among the objects
	Services  map[uint16]*Service
	ByAddress map[netip.AddrPort]*Service
	Zones     map[uint8]*Zone
	ByZone    map[string]*Zone
	Keys      *keyring.Ring // nil until a key object is known

	// The configuration of passed-through flows.
	Routes        map[netip.AddrPort]*Route // nil until a route object is known
	RoutesVersion uint64
	FlowIdle      time.Duration // time without packets after which a flow may be removed
	Pools         map[string]*Pool
	ZonesOut      map[string]bool
}

// Empty returns a configuration without objects.
func Empty() *Fleet {
	return &Fleet{
		Services:  map[uint16]*Service{},
		ByAddress: map[netip.AddrPort]*Service{},
		Zones:     map[uint8]*Zone{},
		ByZone:    map[string]*Zone{},
		Pools:     map[string]*Pool{},
		ZonesOut:  map[string]bool{},
	}
}

// ZoneOut reports whether operators took the zone out of service.
func (f *Fleet) ZoneOut(id uint8) bool {
	z := f.Zones[id]
	return z != nil && z.Out
}

// Region returns the region of the zone, empty when the zone is unknown.
func (f *Fleet) Region(id uint8) string {
	z := f.Zones[id]
	if z == nil {
		return ""
	}
	return z.Region
}

// Build returns the configuration that a set of objects makes up. When two objects
// have the same ID or address, the one with the lower revision keeps it, so that
// every process reaches the same result in whatever order the objects arrive.
func Build(objects []Object) (*Fleet, []Problem) { return NewBuilder().Build(objects) }

// Builder builds successive configurations and parses each revision of an object
// only once.
type Builder struct {
	parsed map[ID]parsedObject
}

// parsedObject is the result of Parse for one revision.
type parsedObject struct {
	revision uint64
	value    any
	err      error
}

// NewBuilder returns a builder without parsed objects.
func NewBuilder() *Builder { return &Builder{parsed: map[ID]parsedObject{}} }

// Build is like the function Build, but keeps the parsed objects.
func (c *Builder) Build(objects []Object) (*Fleet, []Problem) {
	b := fleetBuild{fleet: Empty(), parse: c.parse}
	sorted := slices.Clone(objects)
	slices.SortFunc(sorted, func(x, y Object) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Name, y.Name))
	})
	for i := range sorted {
		b.add(&sorted[i])
	}
	return b.fleet, b.problems
}

func (c *Builder) parse(o *Object) (any, error) {
	known, ok := c.parsed[o.ID()]
	if ok && known.revision == o.Revision {
		return known.value, known.err
	}
	v, err := Parse(o)
	c.parsed[o.ID()] = parsedObject{revision: o.Revision, value: v, err: err}
	return v, err
}

// fleetBuild is one run of Builder.Build.
type fleetBuild struct {
	fleet    *Fleet
	problems []Problem
	parse    func(o *Object) (any, error)
}

func (b *fleetBuild) add(o *Object) {
	b.fleet.Revision = max(b.fleet.Revision, o.Revision)
	if o.Deleted {
		return
	}
	if err := b.apply(o); err != nil {
		b.problems = append(b.problems, Problem{ID: o.ID(), Revision: o.Revision, Err: err})
	}
}

func (b *fleetBuild) apply(o *Object) error {
	v, err := b.parse(o)
	if err != nil {
		return err
	}
	switch v := v.(type) {
	case *Service:
		return b.addService(v)
	case *Zone:
		return b.addZone(v)
	case *keyring.Ring:
		b.fleet.Keys = v
	case *Routes:
		b.setRoutes(v)
	case *Pool:
		b.fleet.Pools[v.Name] = v
	case *ZoneOut:
		b.fleet.ZonesOut[v.Name] = true
	}
	return nil
}

func (b *fleetBuild) setRoutes(r *Routes) {
	b.fleet.RoutesVersion = r.Version
	b.fleet.FlowIdle = r.Idle()
	b.fleet.Routes = make(map[netip.AddrPort]*Route, len(r.Routes))
	for i := range r.Routes {
		b.fleet.Routes[r.Routes[i].Address] = &r.Routes[i]
	}
}

func (b *fleetBuild) addService(s *Service) error {
	if other := b.fleet.Services[s.ID]; other != nil {
		return FieldError{Path: "id", Reason: fmt.Sprintf("%d belongs to service %s", s.ID, other.Name)}
	}
	for i, a := range s.Addresses {
		if other := b.fleet.ByAddress[a]; other != nil {
			path := fmt.Sprintf("addresses[%d]", i)
			return FieldError{Path: path, Reason: fmt.Sprintf("%s belongs to service %s", a, other.Name)}
		}
	}
	b.fleet.Services[s.ID] = s
	for _, a := range s.Addresses {
		b.fleet.ByAddress[a] = s
	}
	return nil
}

func (b *fleetBuild) addZone(z *Zone) error {
	if other := b.fleet.Zones[z.ID]; other != nil {
		return FieldError{Path: "id", Reason: fmt.Sprintf("%d belongs to zone %s", z.ID, other.Name)}
	}
	b.fleet.Zones[z.ID] = z
	b.fleet.ByZone[z.Name] = z
	return nil
}

// Parse returns the checked value of an object: *Service, *Zone,
// *keyring.Ring, *Routes, *Pool or *ZoneOut. It returns nil for other kinds.
func Parse(o *Object) (any, error) {
	switch o.Kind {
	case KindService:
		s := &Service{}
		return parseNamed(o, s, func() string { return s.Name })
	case KindZone:
		z := &Zone{}
		return parseNamed(o, z, func() string { return z.Name })
	case KindRoutes:
		r := &Routes{}
		return r, Decode(o.Value, r)
	case KindPool:
		p := &Pool{}
		return parseNamed(o, p, func() string { return p.Name })
	case KindZoneOut:
		z := &ZoneOut{}
		return parseNamed(o, z, func() string { return z.Name })
	case KindKeys:
		k := &Keys{}
		if err := Decode(o.Value, k); err != nil {
			return nil, err
		}
		return k.Ring()
	}
	return nil, nil
}

// parseNamed decodes an object whose value contains its own name.
func parseNamed[T any](o *Object, v *T, name func() string) (any, error) {
	if err := Decode(o.Value, v); err != nil {
		return nil, err
	}
	if name() != o.Name {
		return nil, FieldError{Path: "name", Reason: fmt.Sprintf("must be %q, the name of the object", o.Name)}
	}
	return v, nil
}

// Ring returns the keys derived from the secrets.
func (k *Keys) Ring() (*keyring.Ring, error) {
	generations := make([]keyring.Generation, len(k.Generations))
	for i, g := range k.Generations {
		generations[i].ID = g.ID
		raw, err := hex.DecodeString(g.Secret)
		if err != nil || len(raw) != keyring.SecretSize {
			return nil, FieldError{Path: fmt.Sprintf("generations[%d].secret", i), Reason: "must be 32 bytes in hexadecimal"}
		}
		copy(generations[i].Secret[:], raw)
	}
	ring, err := keyring.New(generations, k.Signing)
	if errors.Is(err, keyring.ErrNoSigningKey) {
		return nil, FieldError{Path: "signing", Reason: "must name a generation"}
	}
	return ring, err
}
