package config

import (
	"net/netip"
	"os"

	"github.com/go-faster/errors"

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
	// Seeds are control addresses of entries to ask while the store is out.
	Seeds []netip.AddrPort `json:"seeds,omitempty" validate:"dive,hostport4"`
	// TLS is the material for connections to other processes of the fleet.
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
	// Callers is the certificate that callers see.
	Callers CallerTLS `json:"callers"`
}

// CallerTLS names the PEM files of the certificate for callers.
type CallerTLS struct {
	Cert string `json:"cert" validate:"required"`
	Key  string `json:"key" validate:"required"`
}

// Control are the settings of crocusctl.
type Control struct {
	Store string           `json:"store" validate:"required,url"`
	Seeds []netip.AddrPort `json:"seeds,omitempty" validate:"dive,hostport4"`
	TLS   wire.TLSFiles    `json:"tls"`
}

// ReadFile decodes and checks the JSON file at path into v.
func ReadFile(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(data, v)
}
