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
	return receive(f.entry.fabric, wire.HeaderSize, f.entry.counters.readFailed, f.handle)
}

// handle forwards the datagram of the given size that lies behind the space
// for a wire header.
func (f *forwarder) handle(buffer []byte, size int) {
	datagram := buffer[wire.HeaderSize : wire.HeaderSize+size]
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
		Kind:        wire.KindToAgent,
		Service:     d.Service,
		Caller:      proxied.caller,
		Destination: proxied.destination,
		Entry:       f.entry.settings.Data,
		Second:      d.Second,
	}
	// The wire header takes the place in front of the packet, where the PROXY
	// header was.
	out := buffer[proxied.size : wire.HeaderSize+size]
	wire.PutHeader(out, table.Keys(), &f.header)
	if _, err := f.entry.data.WriteToUDPAddrPort(out, d.Agent); err != nil {
		f.entry.counters.sendFailed()
	}
}
