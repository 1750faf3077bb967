package ctl

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
	"crocusnotch/internal/explain"
	"crocusnotch/internal/platform"
	"crocusnotch/internal/wire"
)

// memoryStore is an in-memory Store with conditional writes.
type memoryStore struct {
	objects  map[config.ID]config.Object
	revision uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[config.ID]config.Object{}}
}

func (m *memoryStore) Get(_ context.Context, id config.ID) (config.Object, error) {
	o, ok := m.objects[id]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) List(_ context.Context, kinds ...string) (platform.Snapshot, error) {
	s := platform.Snapshot{Revision: m.revision}
	for id, o := range m.objects {
		if strings.Contains(strings.Join(kinds, " "), id.Kind) {
			s.Objects = append(s.Objects, o)
		}
	}
	return s, nil
}

func (m *memoryStore) put(id config.ID, expected uint64, value []byte) (config.Object, error) {
	current, ok := m.objects[id]
	if current.Revision != expected {
		conflict := &platform.ConflictError{ID: id, Expected: expected}
		if ok {
			conflict.Current = &current
		}
		return config.Object{}, conflict
	}
	m.revision++
	o := config.Object{Kind: id.Kind, Name: id.Name, Revision: m.revision, Value: value}
	m.objects[id] = o
	return o, nil
}

func (m *memoryStore) Create(_ context.Context, id config.ID, value []byte) (config.Object, error) {
	return m.put(id, 0, value)
}

func (m *memoryStore) Update(_ context.Context, id config.ID, expected uint64, value []byte) (config.Object, error) {
	return m.put(id, expected, value)
}

func (m *memoryStore) Delete(_ context.Context, id config.ID, expected uint64) (config.Object, error) {
	o, err := m.put(id, expected, nil)
	if err == nil {
		delete(m.objects, id)
	}
	return o, err
}

// file returns a configuration with one zone and the services, whose IDs and
// addresses follow from their order.
func file(zone string, services ...string) *config.File {
	f := &config.File{Zones: []config.Zone{{Name: zone, ID: 1, Region: "r"}}}
	for i, name := range services {
		id := uint16(i + 1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(id)}), 7443)
		f.Services = append(f.Services, config.Service{
			Name: name, ID: id, Addresses: []netip.AddrPort{address},
			Classes: []config.Class{{Name: "all", PathPrefix: "/", DeadlineMillis: 1000}},
			Targets: config.Targets{FreshShare: 0.5, FreshSteps: 1, FreshIntervalMillis: 100, RetentionMillis: 1000},
		})
	}
	return f
}

// apply plans and executes the changes of the file and returns them as text.
func apply(is *is.I, s *memoryStore, f *config.File, prune bool) string {
	is.Helper()
	ctx := context.Background()
	stored, err := ListServicesAndZones(ctx, s)
	is.NoErr(err)
	changes, err := Plan(f, stored, prune)
	is.NoErr(err)
	var done []string
	for _, c := range changes {
		_, err := Execute(ctx, s, c)
		is.NoErr(err)
		done = append(done, string(c.Action)+" "+c.ID.Name)
	}
	return strings.Join(done, ", ")
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	is.Equal(apply(is, s, file("z", "a", "b"), false), "create z, create a, create b")
	is.Equal(apply(is, s, file("z", "a", "b"), false), "")
	is.Equal(apply(is, s, file("z", "a"), false), "")        // b is kept without prune
	is.Equal(apply(is, s, file("z", "a"), true), "delete b") // and deleted with it
	f := file("z", "a")
	f.Services[0].Targets.FreshShare = 0.25
	is.Equal(apply(is, s, f, false), "update a")
}

func TestPlanKeepsZoneOut(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newMemoryStore()
	apply(is, s, file("z", "a"), false)
	changes, err := PlanZone(ctx, s, "z", true)
	is.NoErr(err)
	_, err = Execute(ctx, s, changes[0])
	is.NoErr(err)
	is.Equal(apply(is, s, file("z", "a"), true), "")
	changes, err = PlanZone(ctx, s, "z", true)
	is.NoErr(err)
	is.Equal(len(changes), 0)
	_, err = PlanZone(ctx, s, "y", true)
	is.Equal(err, ErrUnknownZone)
}

func TestPlanRejectsDuplicateIDs(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	apply(is, s, file("z", "a"), false)
	stored, err := ListServicesAndZones(context.Background(), s)
	is.NoErr(err)
	_, err = Plan(file("z", "b"), stored, false) // has the ID and address of a
	var invalid *config.InvalidError
	is.True(errors.As(err, &invalid))
	is.True(strings.Contains(err.Error(), "service b: id: 1 belongs to service a"))
}

// TestConcurrentUpdateConflicts checks that a change planned before another
// operator's update fails with that operator's object.
func TestConcurrentUpdateConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newMemoryStore()
	apply(is, s, file("z", "a"), false)
	stored, err := ListServicesAndZones(ctx, s)
	is.NoErr(err)
	mine := file("z", "a")
	mine.Services[0].Targets.FreshShare = 0.25
	changes, err := Plan(mine, stored, false)
	is.NoErr(err)

	theirs := file("z", "a")
	theirs.Services[0].Targets.FreshShare = 0.75
	is.Equal(apply(is, s, theirs, false), "update a")

	_, err = Execute(ctx, s, changes[0])
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(strings.Contains(string(conflict.Current.Value), "0.75"))
}

func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newMemoryStore()
	first, err := AddKey(ctx, s)
	is.NoErr(err)
	second, err := AddKey(ctx, s)
	is.NoErr(err)
	is.Equal(RetireKey(ctx, s, first), ErrSigningKey)
	is.Equal(SetSigningKey(ctx, s, 99), ErrUnknownKey)
	is.NoErr(SetSigningKey(ctx, s, second))
	is.NoErr(RetireKey(ctx, s, first))
	third, err := AddKey(ctx, s)
	is.NoErr(err)
	is.True(third != first) // the retired identifier is not reused immediately
	k, err := Keys(ctx, s)
	is.NoErr(err)
	_, err = k.Ring()
	is.NoErr(err)
	for len(k.Generations) < maxGenerations {
		_, err := AddKey(ctx, s)
		is.NoErr(err)
		k, err = Keys(ctx, s)
		is.NoErr(err)
	}
	_, err = AddKey(ctx, s)
	is.Equal(err, ErrTooManyKeys)
}

var errNoAnswer = errors.New("no answer")

// fakeFleet is a CallFunc to three processes, of which the second does not answer.
func fakeFleet(_ context.Context, to netip.AddrPort, method string, params, result any) error {
	if to.Port() == 2 {
		return errNoAnswer
	}
	switch r := result.(type) {
	case *wire.Status:
		r.Process, r.ConfigRevision, r.SigningKey = to.String(), uint64(to.Port()), 2
		r.Agent = &wire.AgentStatus{FlowsByKey: map[string]int{"1": 3}}
		for _, control := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			if control != to.String() { // a process does not list itself
				r.Peers = append(r.Peers, wire.MemberStatus{Process: control, Control: control, State: "ready"})
			}
		}
		r.Peers = append(r.Peers, wire.MemberStatus{Control: "127.0.0.1:4", State: stateDead})
	case *wire.ExplainResult:
		name := params.(wire.ExplainParams).Name
		r.Events = []explain.Event{{Time: time.Unix(int64(10-to.Port()), 0), Name: name, Change: method}}
	}
	return nil
}

func TestCollectStatusAndExplain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:1")}
	replies, err := CollectStatus(ctx, fakeFleet, seeds)
	is.NoErr(err)
	is.Equal(len(replies), 3)
	expected := Revisions{All: 3, Shared: 3}
	is.Equal(len(expected.Outdated(replies)), 2) // one at revision 1, one without an answer
	var out strings.Builder
	WriteStatus(&out, replies, expected)
	is.True(strings.Contains(out.String(), "revision 3 is missing in 2 of 3 processes"))

	answered := []Reply{replies[0], replies[2]}
	is.True(CheckKeyUnused(replies, 9) != nil)  // the process without an answer may have flows that use it
	is.True(CheckKeyUnused(answered, 1) != nil) // flows use it
	is.True(CheckKeyUnused(answered, 2) != nil) // a process signs with it
	is.NoErr(CheckKeyUnused(answered, 9))

	events, unanswered, err := Explain(ctx, fakeFleet, seeds, "a")
	is.NoErr(err)
	is.Equal(unanswered, 1)
	is.Equal(len(events), 2)
	is.True(events[0].Time.Before(events[1].Time))

	_, err = CollectStatus(ctx, fakeFleet, seeds[:1])
	is.Equal(err, ErrNoProcess)
}

func TestWriteDiff(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	WriteDiff(&out, Change{
		ID: config.ID{Kind: "service", Name: "a"}, Action: ActionUpdate,
		Before: []byte(`{"id":1,"addresses":["x"],"targets":{"freshShare":0.5}}`),
		After:  []byte(`{"id":1,"addresses":["x","y"],"targets":{"freshShare":0.25}}`),
	})
	is.Equal(out.String(), "update service a\n  + addresses[1]: \"y\"\n  - targets.freshShare: 0.5\n  + targets.freshShare: 0.25\n")
}

func TestAgentsNeedOnlyTheirOwnObjects(t *testing.T) {
	is := is.New(t)
	expected := RevisionsOf([]config.Object{
		{Kind: config.KindZone, Name: "z", Revision: 2},
		{Kind: config.KindService, Name: "a", Revision: 4},
		{Kind: config.KindService, Name: "b", Revision: 9},
	})
	agent := func(service string, revision uint64) Reply {
		return Reply{Status: wire.Status{ConfigRevision: revision, Agent: &wire.AgentStatus{Service: service}}}
	}
	entry := func(revision uint64) Reply { return Reply{Status: wire.Status{ConfigRevision: revision}} }
	is.Equal(len(expected.Outdated([]Reply{agent("a", 4), agent("b", 9), entry(9)})), 0)
	is.Equal(len(expected.Outdated([]Reply{agent("a", 3), agent("b", 4), entry(4)})), 3)
	newest := RevisionsOfEntries([]Reply{entry(9), entry(4), agent("a", 4)})
	is.Equal(len(newest.Outdated([]Reply{entry(4), agent("a", 4)})), 1)
}
