package entry

import (
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// forwarder hands packets from the fabric to agents. Each one has its own
// buffer.
type forwarder struct {
	entry  *Entry
	header wire.Header
}

func newForwarder(e *Entry) *forwarder { return &forwarder{entry: e} }

func (f *forwarder) run() error {
	e := f.entry
	return transfer(e.fabric, e.data, newBatch(wire.HeaderSize), e.counters, f.handle)
}

// handle decides on a datagram from the fabric, which lies behind the space
// for a wire header.
func (f *forwarder) handle(m *message) {
	end := wire.HeaderSize + m.size
	datagram := m.buffer[wire.HeaderSize:end]
	proxied, ok := parseProxy(datagram)
	if !ok {
		f.entry.counters.packet(routing.DropMalformed)
		return
	}
	table := f.entry.table.Load()
	d := table.Decide(datagram[proxied.size:], proxied.caller, proxied.destination)
	f.entry.counters.packet(d.Verdict)
	if d.Verdict.Dropped() {
		return
	}
	f.header = wire.Header{
		Kind:            wire.KindToAgent,
		Service:         d.Service,
		Caller:          proxied.caller,
		Destination:     proxied.destination,
		Entry:           f.entry.settings.Data,
		SecondCandidate: d.SecondCandidate,
	}
	// The wire header takes the place in front of the packet, where the PROXY
	// header was.
	m.out = m.buffer[proxied.size:end]
	m.to = d.Agent
	wire.PutHeader(m.out, table.Keys(), &f.header)
}
