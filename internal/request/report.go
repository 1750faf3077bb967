package request

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// HeaderLoad carries, on answers between agents only, the load report of the
// agent that answers a relay.
const HeaderLoad = "Crocus-Load"

// reportFields is the number of fields in the form of a report.
const reportFields = 7

var errReport = errors.New("load report must be ref;busy;limit;slots;queued;connections;cold")

// String returns the report as HeaderLoad carries it.
func (r PeerReport) String() string {
	l := r.Load
	return fmt.Sprintf("%s;%d;%d;%d;%d;%d;%t", r.Peer, l.Busy, l.Limit, l.Slots, l.Queued, l.Connections, l.Cold)
}

// ParseReport reads the form that String writes. Negative counts are refused.
func ParseReport(s string) (PeerReport, error) {
	parts := strings.Split(s, ";")
	if len(parts) != reportFields {
		return PeerReport{}, errReport
	}
	peer, err := ParseRef(parts[0])
	if err != nil {
		return PeerReport{}, err
	}
	r := PeerReport{Peer: peer}
	counts := []*int{&r.Load.Busy, &r.Load.Limit, &r.Load.Slots, &r.Load.Queued, &r.Load.Connections}
	for i, count := range counts {
		*count, err = strconv.Atoi(parts[1+i])
		if err != nil || *count < 0 {
			return PeerReport{}, errReport
		}
	}
	r.Load.Cold, err = strconv.ParseBool(parts[reportFields-1])
	if err != nil {
		return PeerReport{}, errReport
	}
	return r, nil
}
