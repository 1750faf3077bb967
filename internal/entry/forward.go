package entry

import (
	"crocusnotch/internal/routing"
	"crocusnotch/internal/wire"
)

// forwarder forwards packets from the fabric to agents. Each forwarder has its
// own buffers.
type forwarder struct {
	entry  *Entry
	header wire.Header
}

func newForwarder(e *Entry) *forwarder { return &forwarder{entry: e} }

func (f *forwarder) run() error {
	e := f.entry
	return transfer(e.fabric, e.data, newBatch(wire.HeaderSize), e.counters, f.handle)
}

// handle routes a datagram from the fabric, which starts after headroom for a
// wire header in the buffer.
func (f *forwarder) handle(m *message) {
	end := wire.HeaderSize + m.size
	datagram := m.buffer[wire.HeaderSize:end]
	proxy, ok := parseProxy(datagram)
	if !ok {
		f.entry.counters.countPacket(routing.DropMalformed)
		return
	}
	table := f.entry.table.Load()
	d := table.Decide(datagram[proxy.size:], proxy.caller, proxy.destination)
	f.entry.counters.countPacket(d.Verdict)
	if d.Verdict.Dropped() {
		return
	}
	f.header = wire.Header{
		Kind:            wire.KindToAgent,
		Service:         d.Service,
		Caller:          proxy.caller,
		Destination:     proxy.destination,
		Entry:           f.entry.settings.Data,
		SecondCandidate: d.SecondCandidate,
	}
	// The wire header is written directly in front of the packet, over the
	// PROXY header.
	m.out = m.buffer[proxy.size:end]
	m.to = d.Agent
	wire.PutHeader(m.out, table.Keys(), &f.header)
}
