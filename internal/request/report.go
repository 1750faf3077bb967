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
func (r LoadReport) String() string {
	l := r.Load
	return fmt.Sprintf("%s;%d;%d;%d;%d;%d;%t", r.Peer, l.Busy, l.Limit, l.Slots, l.Queued, l.Connections, l.Cold)
}

// ParseLoadReport reads the form that String writes. Negative counts are refused.
func ParseLoadReport(s string) (LoadReport, error) {
	parts := strings.Split(s, ";")
	if len(parts) != reportFields {
		return LoadReport{}, errReport
	}
	peer, err := ParseAgentRef(parts[0])
	if err != nil {
		return LoadReport{}, err
	}
	r := LoadReport{Peer: peer}
	counts := []*int{&r.Load.Busy, &r.Load.Limit, &r.Load.Slots, &r.Load.Queued, &r.Load.Connections}
	for i, count := range counts {
		*count, err = strconv.Atoi(parts[1+i])
		if err != nil || *count < 0 {
			return LoadReport{}, errReport
		}
	}
	r.Load.Cold, err = strconv.ParseBool(parts[reportFields-1])
	if err != nil {
		return LoadReport{}, errReport
	}
	return r, nil
}
