package config

import (
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"

	"crocusnotch/internal/keyring"
	"crocusnotch/internal/wire"
)

// Process are the settings that entries and agents share.
type Process struct {
	// Zone is the name of the availability zone.
	Zone string `json:"zone" validate:"required,objectname"`
	// Data is the UDP address for datagrams between entries and agents.
	Data netip.AddrPort `json:"data" validate:"required,hostport4"`
	// Control is the UDP address for membership and the TCP address for
	// jsonrpc2.
	Control netip.AddrPort `json:"control" validate:"required,hostport4"`
	// Metrics is the TCP address for /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics" validate:"required,hostport"`
	// Store is the URL of the platform's object API.
	Store string `json:"store" validate:"required,url"`
	// Seeds are control addresses of entries through which the process can join
	// while the store is unavailable.
	Seeds []netip.AddrPort `json:"seeds,omitempty" validate:"dive,hostport4"`
	// TLS names the certificates for connections to other processes of the fleet.
	TLS wire.TLSFiles `json:"tls"`
}

// Entry are the settings of crocus-entry.
type Entry struct {
	Process
	// Fabric is the UDP address where packets from the fabric arrive.
	Fabric netip.AddrPort `json:"fabric" validate:"required,hostport"`
	// FabricReturn is the UDP address of the fabric for answers.
	FabricReturn netip.AddrPort `json:"fabricReturn" validate:"required,hostport"`
}

// Agent are the settings of crocus-agent.
type Agent struct {
	Process
	// Relay is the TCP address for requests from peer agents.
	Relay netip.AddrPort `json:"relay" validate:"required,hostport4"`
	// Announce is the TCP address where the upstream announces itself.
	Announce netip.AddrPort `json:"announce" validate:"required,hostport"`
	// Callers is the certificate presented to callers.
	Callers CallerTLS `json:"callers"`
}

// CallerTLS names the PEM files of the certificate for callers.
type CallerTLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
}

// Control are the settings of crocusctl.
type Control struct {
	// Transport is "passthrough" for a fleet of passed-through flows: its control
	// addresses don't use TLS, and the platform keeps its configuration.
	Transport string           `json:"transport,omitempty" validate:"omitempty,eq=passthrough"`
	Store     string           `json:"store,omitempty" validate:"required_without=Transport,omitempty,url"`
	Seeds     []netip.AddrPort `json:"seeds,omitempty" validate:"dive,hostport4"`
	TLS       *wire.TLSFiles   `json:"tls,omitempty" validate:"required_without=Transport"`
}

// ReadFile decodes and checks the JSON file at path into v.
func ReadFile(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(data, v)
}

// TransportPassthrough is the value of Transport in settings for passed-through
// flows.
const TransportPassthrough = "passthrough"

// Transport returns the transport that a settings file names, empty for the
// default, HTTP/3.
func Transport(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	var v struct {
		Transport string `json:"transport"`
	}
	// Other errors in the file are reported when the whole file is decoded.
	if err := json.Unmarshal(data, &v); err != nil {
		return "", nil //nolint:nilerr // see above
	}
	return v.Transport, nil
}

// Passthrough are the settings that entries and agents of passed-through flows
// share.
type Passthrough struct {
	Transport string `json:"transport" validate:"required,eq=passthrough"`
	// Zone is the name of the own availability zone.
	Zone string `json:"zone" validate:"required,max=256"`
	// Zones maps the names of all availability zones to their regions. It is the
	// same on all instances.
	Zones map[string]string `json:"zones" validate:"required,min=1,max=255"`
	// Data is the UDP address for datagrams between entries and agents.
	Data netip.AddrPort `json:"data" validate:"required,hostport4"`
	// Control is the UDP address for membership and the TCP address for
	// jsonrpc2.
	Control netip.AddrPort `json:"control" validate:"required,hostport4"`
	// Metrics is the TCP address for /metrics and /healthz.
	Metrics netip.AddrPort `json:"metrics" validate:"required,hostport"`
	// Ready is the TCP address of the platform's readiness check.
	Ready netip.AddrPort `json:"ready" validate:"required,hostport"`
	// Store is the URL of the platform's object API.
	Store string `json:"store" validate:"required,url"`
	// Seeds are addresses of instances that run an entry. Their ports are not used:
	// the port of Control is the same on all instances.
	Seeds []netip.AddrPort `json:"seeds,omitempty" validate:"dive,hostport4"`
	// Secret signs datagrams between instances, 32 bytes in hexadecimal. It is the
	// same on all instances.
	Secret string `json:"secret" validate:"required,len=64,hexadecimal"`
	// CallerPortAddr is an address whose port is the UDP port of callers to which
	// return packets are sent.
	CallerPortAddr netip.AddrPort `json:"callerPortOf" validate:"required,hostport4"`
	// FlowMaxSeconds is the age after which a flow may be removed.
	FlowMaxSeconds float64 `json:"flowMaxSeconds" validate:"gt=0,lte=86400"`
	// GraceSeconds is the time from the signal to stop until the process is
	// killed.
	GraceSeconds float64 `json:"graceSeconds" validate:"gt=0,lte=3600"`
	// DisruptedMillis is how long after the start of a process operators count what
	// happens to its flows as caused by the start.
	DisruptedMillis int `json:"disruptedMillis" validate:"gte=0,lte=60000"`
}

// PassthroughEntry are the settings of crocus-entry for passed-through flows.
type PassthroughEntry struct {
	Passthrough
	// Fabric is the UDP address where packets of callers arrive.
	Fabric netip.AddrPort `json:"fabric" validate:"required,hostport4"`
	// CheckpointFlows is the largest number of open flows of routes with non-idempotent
	// requests that the entry has recorded in the store, so that those that end in a loss
	// of power can be reset before their callers use them. 0 means none.
	CheckpointFlows int `json:"checkpointFlows,omitempty" validate:"gte=0,lte=48000"`
	// CheckpointGroups is the number of groups of entries, each with an object in the
	// store that holds up to 48,000 flows. It is the same at all entries; 0 means one.
	CheckpointGroups int `json:"checkpointGroups,omitempty" validate:"gte=0,lte=10000"`
	// Hedge allows opening packets to be offered to a second agent. Without it there
	// are no hedges.
	Hedge *Hedge `json:"hedge,omitempty"`
}

// Hedge limits the extra work that hedged openings may cause.
type Hedge struct {
	// Share is the largest share of extra openings on routes with idempotent requests.
	Share float64 `json:"share" validate:"gt=0,lte=0.2"`
}

// PassthroughAgent are the settings of crocus-agent for passed-through flows.
type PassthroughAgent struct {
	Passthrough
	// Service is the name of the upstream's service.
	Service string `json:"service" validate:"required,max=256"`
	// Upstream is the UDP address where the upstream receives packets.
	Upstream netip.AddrPort `json:"upstream" validate:"required,hostport4"`
	// Outbound is the UDP address to which the upstream sends packets.
	Outbound netip.AddrPort `json:"outbound" validate:"required,hostport4"`
	// Announce is the TCP address where the upstream announces itself.
	Announce netip.AddrPort `json:"announce" validate:"required,hostport4"`
	// AnnounceMillis is the time between two announcements.
	AnnounceMillis int `json:"announceMillis" validate:"min=1,max=60000"`
	// CheckUpstream lets the agent conclude that no upstream is running when a TCP
	// connection to the address in Upstream is refused. It must be set only if upstreams
	// accept TCP connections there: the flows of others would be reset after a restart of
	// all processes.
	CheckUpstream bool `json:"checkUpstream,omitempty"`
	// ScarceSlots is the largest number of slots of an upstream at which new flows are
	// admitted by their expected wait and wait here for free capacity; 0 means never.
	ScarceSlots int `json:"scarceSlots,omitempty" validate:"gte=0,lte=64"`
}

// ZoneID returns the ID of a zone in membership records: its position in ZoneNames,
// counted from 1. It is 0 for an unknown zone.
func (p *Passthrough) ZoneID(name string) uint8 {
	return uint8(slices.Index(p.ZoneNames(), name) + 1)
}

// ZoneNames returns the sorted names of all zones.
func (p *Passthrough) ZoneNames() []string { return slices.Sorted(maps.Keys(p.Zones)) }

// SeedControlAddrs returns the control addresses of the seeds.
func (p *Passthrough) SeedControlAddrs() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(p.Seeds))
	for _, s := range p.Seeds {
		out = append(out, netip.AddrPortFrom(s.Addr(), p.Control.Port()))
	}
	return out
}

// Ring returns the keys derived from the secret.
func (p *Passthrough) Ring() (*keyring.Ring, error) {
	k := Keys{Signing: 1, Generations: []Generation{{ID: 1, Secret: p.Secret}}}
	return k.Ring()
}

// CallerPort returns the UDP port of callers to which return packets are sent.
func (p *Passthrough) CallerPort() uint16 { return p.CallerPortAddr.Port() }

// FlowMax returns the age after which a flow may be removed.
func (p *Passthrough) FlowMax() time.Duration { return seconds(p.FlowMaxSeconds) }

// Disrupted returns how long after the start of a process what happens to its flows
// counts as caused by the start.
func (p *Passthrough) Disrupted() time.Duration {
	return time.Duration(p.DisruptedMillis) * time.Millisecond
}

// Grace returns the time from the signal to stop until the process is killed.
func (p *Passthrough) Grace() time.Duration { return seconds(p.GraceSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
