package experiment

import (
	"net/netip"

	"crocusnotch/internal/config"
)

// DefaultNet is the default loopback network of a run.
var DefaultNet = netip.MustParseAddr("127.24.0.0")

// Ports of the processes of a run.
const (
	servicePort      = 7443
	storePort        = 7000
	fabricReturnPort = 7001
	fabricPort       = 7100
	dataPort         = 7101
	controlPort      = 7102
	metricsPort      = 7103
	relayPort        = 7104
	announcePort     = 7105
	upstreamPort     = 7200
)

// Third octets of the addresses, relative to the network's own third octet.
const (
	platformOctet = 0
	entryOctet    = 1
	agentOctet    = 2
)

const (
	storeHost        = 1
	fabricHost       = 2
	firstServiceHost = 10
	firstHost        = 1
	hostsPerSubnet   = 250
)

// Service targets in the generated configuration.
const (
	freshSteps      = 10
	queuePerSlot    = 4
	retryShare      = 0.1
	retentionMillis = 60_000
	freshRampFactor = 1.5 // ratio of the fleet's ramp-up time to the upstream's warm-up time
)

const sessionPath = "/session"

// layout assigns addresses to the processes of a run.
type layout struct{ base netip.Addr }

// host returns the address of a host. Hosts beyond hostsPerSubnet continue two
// subnets higher, so that entries have the odd and agents the even subnets.
func (l layout) host(octet, host int) netip.Addr {
	b := l.base.As4()
	b[2] += byte(octet + host/hostsPerSubnet*agentOctet)
	b[3] = byte(host % hostsPerSubnet)
	return netip.AddrFrom4(b)
}

func (l layout) store() netip.AddrPort {
	return netip.AddrPortFrom(l.host(platformOctet, storeHost), storePort)
}

func (l layout) fabricReturn() netip.AddrPort {
	return netip.AddrPortFrom(l.host(platformOctet, fabricHost), fabricReturnPort)
}

func (l layout) service(i int) netip.AddrPort {
	return netip.AddrPortFrom(l.host(platformOctet, firstServiceHost+i), servicePort)
}

func (l layout) process(ip netip.Addr, zone, store string) config.Process {
	return config.Process{
		Zone:    zone,
		Data:    netip.AddrPortFrom(ip, dataPort),
		Control: netip.AddrPortFrom(ip, controlPort),
		Metrics: netip.AddrPortFrom(ip, metricsPort),
		Store:   store,
	}
}

func (l layout) entry(host int, zone, store string) config.Entry {
	ip := l.host(entryOctet, host)
	return config.Entry{
		Process:      l.process(ip, zone, store),
		Fabric:       netip.AddrPortFrom(ip, fabricPort),
		FabricReturn: l.fabricReturn(),
	}
}

func (l layout) agent(host int, zone, store string) config.Agent {
	ip := l.host(agentOctet, host)
	return config.Agent{
		Process:  l.process(ip, zone, store),
		Relay:    netip.AddrPortFrom(ip, relayPort),
		Announce: netip.AddrPortFrom(ip, announcePort),
	}
}

// configuration returns the configuration that operators would apply for the scenario.
func (l layout) configuration(s *Scenario) *config.File {
	f := &config.File{}
	for i, name := range s.Zones {
		f.Zones = append(f.Zones, config.Zone{Name: name, ID: uint8(i + 1), Region: s.Region})
	}
	for i := range s.Services {
		f.Services = append(f.Services, l.serviceConfig(i, &s.Services[i]))
	}
	return f
}

func (l layout) serviceConfig(i int, s *Service) config.Service {
	out := config.Service{
		Name: s.Name, ID: uint16(i + 1),
		Addresses: []netip.AddrPort{l.service(i)},
		Targets: config.Targets{
			FreshShare:          s.ColdShare,
			FreshSteps:          freshSteps,
			FreshIntervalMillis: max(10, int(float64(s.WarmUpMillis)*freshRampFactor)/freshSteps),
			QueuePerSlot:        queuePerSlot,
			RetryShare:          retryShare,
			RetentionMillis:     retentionMillis,
		},
	}
	out.Classes = append(out.Classes, config.Class{Name: "session", PathPrefix: sessionPath, StayConnected: true})
	for i := range s.Classes {
		c := &s.Classes[i]
		out.Classes = append(out.Classes, config.Class{
			Name: c.Name, PathPrefix: c.path(), RunAtMostOnce: c.RunAtMostOnce,
			Bulk: c.Bulk, DeadlineMillis: c.DeadlineMillis,
		})
	}
	return out
}

func (c *Class) path() string { return "/" + c.Name }
