package request

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// HeaderLoad carries, on responses between agents only, the load report of the
// agent that responds to a relay.
const HeaderLoad = "Crocus-Load"

// loadReportFields is the number of fields in HeaderLoad.
const loadReportFields = 7

var errLoadReport = errors.New("load report must be ref;busy;limit;slots;queued;connections;cold")

// String returns the report as HeaderLoad carries it.
func (r LoadReport) String() string {
	l := r.Load
	return fmt.Sprintf("%s;%d;%d;%d;%d;%d;%t", r.Peer, l.Busy, l.Limit, l.Slots, l.Queued, l.Connections, l.Cold)
}

// ParseLoadReport parses the format of LoadReport.String. It rejects negative
// counts.
func ParseLoadReport(s string) (LoadReport, error) {
	parts := strings.Split(s, ";")
	if len(parts) != loadReportFields {
		return LoadReport{}, errLoadReport
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
			return LoadReport{}, errLoadReport
		}
	}
	r.Load.Cold, err = strconv.ParseBool(parts[loadReportFields-1])
	if err != nil {
		return LoadReport{}, errLoadReport
	}
	return r, nil
}
