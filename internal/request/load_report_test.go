package request

import (
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/admission"
)

func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	r := LoadReport{Peer: agentRef(2, 7), Load: admission.Load{Busy: 1, Limit: 2, Slots: 3, Queued: 4, Connections: 5, Cold: true}}
	r.Peer.ClockMillis = 9
	got, err := ParseLoadReport(r.String())
	is.NoErr(err)
	is.Equal(got, r)
	for _, bad := range []string{"", "x", "127.0.0.1:1/2;1;2;3;4;5", "127.0.0.1:1/2;1;-2;3;4;5;true", "127.0.0.1:1/2;1;2;3;4;5;no", "here;1;2;3;4;5;true"} {
		_, err := ParseLoadReport(bad)
		is.True(err != nil)
	}
}
