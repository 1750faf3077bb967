package ctl

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"crocusnotch/internal/wire"
)

var (
	deadEntry  = netip.MustParseAddrPort("127.0.0.1:1")
	oldEntry   = netip.MustParseAddrPort("127.0.0.1:2")
	liveEntry  = netip.MustParseAddrPort("127.0.0.1:3")
	whereRoute = "198.18.0.1:443"
)

// whereFleet is a CallFunc to an entry that does not answer, one of an earlier version
// and one that answers for whereRoute. The data address of each is its control address
// with port 700x.
func whereFleet(_ context.Context, to netip.AddrPort, method string, params, result any) error {
	switch {
	case to == deadEntry:
		return errNoAnswer
	case method == wire.MethodStatus:
		s := result.(*wire.Status)
		for _, port := range []string{"1", "2", "3"} {
			s.Peers = append(s.Peers, wire.MemberStatus{Process: "127.0.0.1:700" + port, Control: "127.0.0.1:" + port})
		}
		return nil
	case to == liveEntry:
		p, r := params.(wire.WhereParams), result.(*wire.WhereResult)
		if r.Address = p.Address; p.Address == "refused" {
			return errors.Wrap(&jsonrpc2.Error{Message: "not an address"}, method)
		}
		r.Entry, r.Zone, r.Caller, r.RoutesVersion, r.ConfigAgeMillis = "127.0.0.1:7003", "za", p.Caller, 12, 240
		if r.UnknownRoute = p.Address != whereRoute; r.UnknownRoute {
			return nil
		}
		r.Route, r.Service, r.Choice = "tickets", "bells", "10.0.0.1:7000"
		r.Services = []wire.WhereService{{Name: "bells", Weight: 80}, {Name: "chimes", Weight: 20}}
		r.Candidates = []wire.WhereCandidate{
			{Agent: "10.0.0.1:7000", Zone: "za", State: "ready", Slots: 2, Busy: 1.5, FailureRate: 0.25, ServiceMillis: 22, ReportAgeMillis: 130, Openings: 1, Score: 1.25},
			{Agent: "10.0.0.2:7000", Zone: "zb", State: "suspect", Slots: 2, ReportAgeMillis: 4100, ReportExpired: true, Score: 1e6, Excluded: "suspect"},
			{Agent: "10.0.0.3:7000", Zone: "zb", State: "draining", Slots: 2, ReportAgeMillis: -1, Excluded: "draining"},
		}
		return nil
	}
	return errors.Wrap(&jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}, method)
}

// Guards against a failure that the operator can't tell from another one, and against a
// fleet in an upgrade or with a dead seed that gives no answer.
func TestWhereAsksTheRightEntry(t *testing.T) {
	none := netip.AddrPort{}
	for name, tt := range map[string]struct {
		seeds   []netip.AddrPort
		entry   netip.AddrPort
		address string
		is      error    // the error, nil: any if says is set
		says    []string // parts of the error's text, none: no error
	}{
		"first seed":                {seeds: []netip.AddrPort{liveEntry}, address: whereRoute},
		"first seed that answers":   {seeds: []netip.AddrPort{deadEntry, oldEntry, liveEntry}, address: whereRoute},
		"control address":           {seeds: []netip.AddrPort{oldEntry}, entry: liveEntry, address: whereRoute},
		"data address":              {seeds: []netip.AddrPort{oldEntry}, entry: netip.MustParseAddrPort("127.0.0.1:7003"), address: whereRoute},
		"control address, no seeds": {entry: liveEntry, address: whereRoute},
		"no seeds":                  {entry: none, is: ErrNoProcess, says: []string{"no process"}},
		"unreachable":               {seeds: []netip.AddrPort{liveEntry}, entry: deadEntry, is: errNoAnswer, says: []string{"127.0.0.1:1 can't be reached"}},
		"unreachable seed":          {seeds: []netip.AddrPort{deadEntry}, is: errNoAnswer, says: []string{"127.0.0.1:1 can't be reached"}},
		"earlier version":           {seeds: []netip.AddrPort{liveEntry}, entry: oldEntry, is: ErrNoWhere, says: []string{"127.0.0.1:2", "earlier version"}},
		"no seed can answer":        {seeds: []netip.AddrPort{deadEntry, oldEntry}, is: ErrNoWhere, says: []string{"127.0.0.1:1 can't be reached", "earlier version"}},
		"unknown route":             {seeds: []netip.AddrPort{liveEntry}, address: "198.18.0.9:1", is: ErrUnknownRoute, says: []string{"198.18.0.9:1", "version 12", "240ms ago", "127.0.0.1:7003"}},
		"refused":                   {seeds: []netip.AddrPort{liveEntry}, address: "refused", says: []string{"127.0.0.1:3 refused the request: not an address"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := Where(context.Background(), whereFleet, tt.seeds, tt.entry, wire.WhereParams{Address: tt.address})
			is.Equal(err != nil, len(tt.says) > 0)
			if err == nil {
				is.Equal(r.Choice, "10.0.0.1:7000")
				return
			}
			is.True(tt.is == nil || errors.Is(err, tt.is))
			for _, part := range tt.says {
				is.True(strings.Contains(err.Error(), part)) // the error names the part
			}
		})
	}
}

// Guards against a table or JSON that leaves out why an agent gets no flows, or that shows
// an expired or missing report as a current one.
func TestWriteWhere(t *testing.T) {
	is := is.New(t)
	r, err := Where(context.Background(), whereFleet, []netip.AddrPort{liveEntry}, netip.AddrPort{}, wire.WhereParams{Address: whereRoute, Caller: "100.64.0.7:1"})
	is.NoErr(err)
	var out strings.Builder
	WriteWhere(&out, &r, true)
	is.Equal(out.String(), `route    tickets 198.18.0.1:443, version 12 of the routes, verified 240ms ago
entry    127.0.0.1:7003 in za
caller   100.64.0.7:1
service  bells, by the weights bells 80, chimes 20
choice   10.0.0.1:7000

AGENT          ZONE  STATE     SLOTS  BUSY  FAILING  TIME    REPORTED           OPENINGS  SCORE        NOTE
10.0.0.1:7000  za    ready     2      1.50  25 %     22.0ms  130ms ago          1         1.250        chosen
10.0.0.2:7000  zb    suspect   2      0.00  0 %      -       4.1s ago, expired  0         1000000.000  suspect
10.0.0.3:7000  zb    draining  2      -     -        -       never              0         -            draining
`)
	out.Reset()
	is.NoErr(WriteWhereJSON(&out, &r))
	var decoded wire.WhereResult
	is.NoErr(json.Unmarshal([]byte(out.String()), &decoded))
	is.Equal(decoded, r)

	r.Choice, r.Candidates, r.ConfigAgeMillis = "", nil, -1
	out.Reset()
	WriteWhere(&out, &r, false)
	is.True(strings.Contains(out.String(), "routes, never verified"))
	is.True(strings.Contains(out.String(), "as an example"))
	is.True(strings.Contains(out.String(), "none: no agent of the service gets new flows"))
}
