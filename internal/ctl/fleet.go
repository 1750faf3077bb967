package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"crocusnotch/internal/explain"
	"crocusnotch/internal/wire"
)

const (
	queryTimeout         = 3 * time.Second
	maxConcurrentQueries = 64
	stateLeft            = "left"
	stateDead            = "dead"
)

// ErrNoProcess reports that no seed answered.
var ErrNoProcess = errors.New("no process of the fleet answers")

// CallFunc makes one jsonrpc2 call to a process.
type CallFunc func(ctx context.Context, to netip.AddrPort, method string, params, result any) error

// TLSCallFunc calls over mutual TLS.
func TLSCallFunc(m *wire.MutualTLS) CallFunc {
	return func(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
		return wire.Call(ctx, to, m, method, params, result)
	}
}

// PlainCallFunc calls over plain TCP.
func PlainCallFunc() CallFunc { return TLSCallFunc(nil) }

// Reply is the result of a status query to one member.
type Reply struct {
	Member wire.MemberStatus
	Status wire.Status
	Err    error // set when the process did not answer
}

// CollectStatus queries the status of every member of the fleet. The members are
// those that the first answering seed lists.
func CollectStatus(ctx context.Context, call CallFunc, seeds []netip.AddrPort) ([]Reply, error) {
	members, err := Members(ctx, call, seeds)
	if err != nil {
		return nil, err
	}
	replies := make([]Reply, len(members))
	forEachMember(members, func(i int) {
		replies[i].Member = members[i]
		replies[i].Err = query(ctx, call, members[i].Control, wire.MethodStatus, nil, &replies[i].Status)
	})
	return replies, nil
}

// Members returns the members that the first answering seed lists, without those
// that left or are dead.
func Members(ctx context.Context, call CallFunc, seeds []netip.AddrPort) ([]wire.MemberStatus, error) {
	for _, seed := range seeds {
		var s wire.Status
		if err := query(ctx, call, seed.String(), wire.MethodStatus, nil, &s); err != nil {
			continue
		}
		return withSelf(seed.String(), &s, slices.DeleteFunc(s.Peers, departed)), nil
	}
	return nil, ErrNoProcess
}

// withSelf adds the answering process, which does not list itself among its
// peers.
func withSelf(control string, s *wire.Status, peers []wire.MemberStatus) []wire.MemberStatus {
	for i := range peers {
		if peers[i].Control == control {
			return peers
		}
	}
	self := wire.MemberStatus{
		Process: s.Process, Control: control, Role: s.Role, Zone: s.Zone,
		State: s.State, Incarnation: s.Incarnation,
	}
	if s.Agent != nil {
		self.Service = s.Agent.Service
	}
	return append([]wire.MemberStatus{self}, peers...)
}

func departed(m wire.MemberStatus) bool {
	return m.State == stateLeft || m.State == stateDead
}

func query(ctx context.Context, call CallFunc, control, method string, params, result any) error {
	to, err := netip.ParseAddrPort(control)
	if err != nil {
		return errors.Wrap(err, "control address")
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return call(ctx, to, method, params, result)
}

func forEachMember(members []wire.MemberStatus, do func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for i := range members {
		g.Go(func() error {
			do(i)
			return nil
		})
	}
	_ = g.Wait()
}

// Explain collects the events about name from all processes, oldest first,
// and counts the processes that did not answer.
func Explain(ctx context.Context, call CallFunc, seeds []netip.AddrPort, name string) (events []explain.Event, unanswered int, err error) {
	members, err := Members(ctx, call, seeds)
	if err != nil {
		return nil, 0, err
	}
	var mu sync.Mutex
	forEachMember(members, func(i int) {
		var r wire.ExplainResult
		err := query(ctx, call, members[i].Control, wire.MethodExplain, wire.ExplainParams{Name: name}, &r)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unanswered++
			return
		}
		events = append(events, r.Events...)
	})
	slices.SortStableFunc(events, func(a, b explain.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Process, b.Process))
	})
	return events, unanswered, nil
}

// CheckKeyUnused returns an error if a process signs with the key generation, has
// flows that use it or did not answer.
func CheckKeyUnused(replies []Reply, generation uint8) error {
	name := fmt.Sprint(generation)
	for _, r := range replies {
		if r.Err != nil {
			return errors.Wrapf(r.Err, "%s does not answer, so its flows are not known", r.Member.Process)
		}
		if r.Status.SigningKey == generation {
			return errors.Errorf("%s still signs with generation %d", r.Status.Process, generation)
		}
		if a := r.Status.Agent; a != nil && a.FlowsByKey[name] > 0 {
			return errors.Errorf("%s has %d flows with generation %d", r.Status.Process, a.FlowsByKey[name], generation)
		}
	}
	return nil
}
