package membership

import (
	"encoding/binary"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/keyring"
)

// fataler is the part of testing.TB that rapid.T also implements.
type fataler interface {
	Fatalf(format string, args ...any)
}

func testRing(t fataler) *keyring.Ring {
	ring, err := keyring.New([]keyring.Generation{{ID: 1, Secret: [32]byte{1}}}, 1)
	if err != nil {
		t.Fatalf("key ring: %v", err)
	}
	return ring
}

func fullMessage() *Message {
	a := netip.MustParseAddrPort("127.22.1.1:7000")
	r := Record{
		Addr: a, Control: a, Role: RoleEntry, State: StateReady, Zone: 255,
		Incarnation: 1764800000000, Version: 4000000000, Boot: 1764800000000,
	}
	agent := r
	agent.Role, agent.Relay, agent.Service, agent.Slots, agent.Connections = RoleAgent, a, 65535, 65535, 4000000000
	return &Message{Kind: KindPush, From: a, Control: a, Records: []Record{r, agent}}
}

func TestSealAndOpen(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	m := fullMessage()
	b, err := Seal(ring, m)
	is.NoErr(err)
	got, err := Open(ring, b)
	is.NoErr(err)
	is.Equal(got, m)

	for i := range b {
		changed := append([]byte(nil), b...)
		changed[i] ^= 1
		_, err := Open(ring, changed)
		is.True(err != nil) // the MAC covers every byte
	}
}

func TestPackedMessagesFitIntoADatagram(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	big := fullMessage().Records[1]
	m := &Message{Kind: KindReply, From: big.Addr, Control: big.Control, Epoch: big.Boot, Seq: 1 << 40}
	for p := newPacker(m); p.record(&big); {
	}
	b, err := Seal(ring, m)
	is.NoErr(err)
	is.True(len(m.Records) >= 10)

	m.Records = nil
	o := config.Object{Kind: config.KindService, Name: strings.Repeat("n", 64), Revision: 1 << 40, Value: make([]byte, maxInlineObject)}
	p := newPacker(m)
	is.True(p.object(&o))
	is.True(!p.object(&o))
	_, err = Seal(ring, m)
	is.NoErr(err)
	is.True(len(b) <= MaxDatagram)
}

// A report about the highest incarnation could not be refuted: the member was taken for
// dead from then on, whatever it announced.
func TestReportsBeyondAllIncarnationsAreRefused(t *testing.T) {
	is := is.New(t)
	ring := testRing(t)
	c := testCore(RoleEntry, 1)
	dead := c.Self()
	dead.State, dead.Incarnation = StateDead, 1<<64-1
	from := fullMessage().From
	for _, m := range []*Message{
		{Kind: KindPush, From: from, Control: from, Records: []Record{dead}},
		{Kind: KindPush, From: from, Control: from, FailureReports: appendFailureReport(nil, &dead)},
	} {
		b, err := Seal(ring, m)
		is.NoErr(err)
		_, err = Open(ring, b)
		is.Equal(err, ErrMalformed)
	}
	c.Merge(testStart, []Record{dead}, nil) // from a snapshot
	for _, change := range c.TakeOutput().Changes {
		is.True(change.Cause != CauseRefuted) // with an incarnation that overflows
	}
}

func FuzzOpen(f *testing.F) {
	ring := testRing(f)
	b, err := Seal(ring, fullMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[offBody:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) == 0 || len(body) > MaxDatagram-offBody {
			return
		}
		sum, _ := ring.MAC(1, keyring.PurposeControl, body)
		sealed := binary.BigEndian.AppendUint64([]byte{sealMagic, 1}, sum)
		sealed = append(sealed, body...)
		m, err := Open(ring, sealed)
		if err != nil {
			return
		}
		c := testCore(RoleEntry, 1)
		c.Receive(testStart, m)
		c.TakeOutput()
	})
}
