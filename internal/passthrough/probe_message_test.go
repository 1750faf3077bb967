package passthrough

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/flow"
)

// recordingOutbox records what an agent sends.
type recordingOutbox struct {
	discardOutbox
	upstream [][]byte
	messages []Message
	to       []flow.Endpoint
}

func (r *recordingOutbox) ToUpstream(packet []byte) {
	r.upstream = append(r.upstream, bytes.Clone(packet))
}

func (r *recordingOutbox) SendMessage(to flow.Endpoint, m *Message) {
	copied := *m
	copied.Packet = bytes.Clone(m.Packet)
	r.messages, r.to = append(r.messages, copied), append(r.to, to)
}

// A relay sends probes to the other agents only, never another relay message nor one to
// itself, which could circulate without end. A probe for another service, of another flow
// or with an opening packet must not reach the upstream.
func TestAgentRelaysOnce(t *testing.T) {
	self, peer, entry := flow.EndpointOf(addrOf(2, 1)), flow.EndpointOf(addrOf(2, 2)), flow.EndpointOf(addrOf(1, 1))
	other := flow.KeyOf(entry, flow.EndpointOf(routeA))
	packet := makePacket(sampleKey.Caller(), sampleKey.Route(), 16, 8, 9, 100)
	opening := makePacket(sampleKey.Caller(), sampleKey.Route(), 1, 7, 0, 0)
	for name, tt := range map[string]struct {
		kind         Kind
		key          flow.Key
		service      string
		packet       []byte
		wantValid    bool
		wantUpstream int
		wantTo       []flow.Endpoint
	}{
		"relay":               {KindProbeRelay, sampleKey, "alpha", packet, true, 1, []flow.Endpoint{peer}},
		"probe":               {KindProbe, sampleKey, "alpha", packet, true, 1, nil},
		"other service":       {KindProbe, sampleKey, "beta", packet, true, 0, nil},
		"relay other service": {KindProbeRelay, sampleKey, "beta", packet, true, 0, []flow.Endpoint{peer}},
		"other flow":          {KindProbeRelay, other, "alpha", packet, false, 0, nil},
		"opening":             {KindProbeRelay, sampleKey, "alpha", opening, false, 0, nil},
		"malformed":           {KindProbeRelay, sampleKey, "alpha", packet[:20], false, 0, nil},
		"other kind":          {KindOwned, sampleKey, "alpha", packet, false, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := &recordingOutbox{}
			tracker := NewTracker(TrackerOptions{
				Self: self, Upstream: flow.UpstreamIdentity{Service: "alpha"}, Started: simStart, MaxAge: simFlowMax, UpstreamTimeout: simUpstreamTimeout,
				Codec: codec, Out: out, Observe: func(Decision) {}, ObserveAnswer: func(time.Duration) {},
			})
			m := Message{
				Kind: tt.kind, Key: tt.key, Owner: entry, Packet: bytes.Clone(tt.packet),
				Meta: flow.Metadata{Purpose: flow.PurposeSearch, Service: config.ServiceHash(tt.service)},
			}
			if tt.kind == KindProbeRelay {
				m.Agents = []flow.Endpoint{self, peer}
			}
			is.Equal(tracker.Message(simStart, peer, &m), tt.wantValid)
			is.Equal(out.to, tt.wantTo)
			for _, sent := range out.messages {
				is.Equal(sent.Kind, KindProbe)
				is.Equal(sent.Owner, entry)
				is.Equal(sent.Meta, m.Meta)
				is.Equal(sent.Packet, packet)
				is.Equal(len(sent.Agents), 0)
			}
			is.Equal(len(out.upstream), tt.wantUpstream)
			if tt.wantUpstream == 0 {
				return
			}
			is.Equal(out.upstream[0], packet)
			// The upstream returns the packet: the entry learns it, not the relay.
			returned := bytes.Clone(packet)
			returned[30] |= 4 // the mark of a returned packet
			s, err := codec.Decode(returned)
			is.NoErr(err)
			tracker.FromUpstream(simStart, &s, returned, flow.Endpoint{})
			is.Equal(out.to[len(out.to)-1], entry)
			is.Equal(out.messages[len(out.messages)-1].Kind, KindNotHeld)
		})
	}
}

// A relay message that names more agents than a relay may probe, is cut off or has
// another purpose is refused, as is one of a sender without the secret.
func TestInvalidProbesAreRejected(t *testing.T) {
	ring := testRing()
	relayMessage := Message{Kind: KindProbeRelay, Meta: flow.Metadata{Purpose: flow.PurposeSearch}, Agents: make([]flow.Endpoint, maxRelayedProbes)}
	relay := func(edit func(*Message)) []byte {
		m := relayMessage
		edit(&m)
		return m.Append(nil, ring)
	}
	_, err := DecodeMessage(relay(func(*Message) {}), ring)
	is.New(t).NoErr(err)
	otherSecret, err := (&config.Passthrough{Secret: simSecret[1:] + "0"}).Ring()
	is.New(t).NoErr(err)
	noAgents := Message{Kind: KindProbe, Meta: flow.Metadata{Purpose: flow.PurposeSearch}}
	probe := noAgents.Append(nil, ring)
	probe[offKind] = byte(KindProbeRelay) // with the MAC of another kind
	for name, tt := range map[string]struct {
		encoded []byte
		want    error
	}{
		"too many agents": {relay(func(m *Message) { m.Agents = make([]flow.Endpoint, maxRelayedProbes+1) }), ErrMalformed},
		"other purpose":   {relay(func(m *Message) { m.Meta.Purpose = flow.PurposeOpenBusy }), ErrMalformed},
		"other kind":      {probe, ErrBadMAC},
		"other secret":    {relayMessage.Append(nil, otherSecret), ErrBadMAC},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeMessage(tt.encoded, ring)
			is.True(errors.Is(err, tt.want))
		})
	}
}
