package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// An entry whose configuration is older and that its peer does not know, as when the
// report of its start was lost, receives the newer objects by its own probes.
func TestUnknownEntryRepairsItsObjects(t *testing.T) {
	is := is.New(t)
	stale, peer := newCore(1, RoleEntry), newCore(2, RoleEntry)
	stale.Merge(startTime, []Record{peer.self}, []config.Object{zoneOut(5)})
	peer.Merge(startTime, nil, []config.Object{zoneOut(9)})
	stale.TakeOutput()
	peer.TakeOutput()
	stale.ping(startTime, stale.table.get(peer.self.Addr))
	exchange(startTime, stale, peer)
	is.Equal(stale.objects.revision(config.ID{Kind: config.KindZoneOut, Name: "z"}), uint64(9))
}

// An agent that restarts learns from the reply to its first heartbeat that a former
// process of it ran until shortly before; one that starts for the first time, or long
// after its predecessor, does not.
func TestRestartedAgentLearnsOfItsFormerProcess(t *testing.T) {
	for name, tt := range map[string]struct {
		former State // 0: none
		ago    time.Duration
		want   bool
	}{
		"first start":         {},
		"killed":              {former: StateReady, want: true},
		"stopped shortly ago": {former: StateLeft, ago: time.Second, want: true},
		"gone for long":       {former: StateLeft, ago: recentProcess},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry, agent := newCore(1, RoleEntry), newCore(2, RoleAgent)
			if tt.former != 0 {
				former := agent.self
				former.Incarnation, former.State = 1, tt.former
				entry.Merge(startTime, []Record{former}, nil)
			}
			now := startTime.Add(tt.ago)
			agent.Merge(now, []Record{entry.self}, nil)
			agent.Tick(now)
			exchange(now, entry, agent)
			is.Equal(agent.Restarted(), tt.want)
		})
	}
}

// An entry that finds its peers by the acknowledgements of its pings, because the requests
// for a snapshot failed, becomes known to them at once.
func TestEntryThatJoinsByPingsIsKnown(t *testing.T) {
	is := is.New(t)
	seed, other := newCore(1, RoleEntry), newCore(2, RoleEntry)
	seed.Merge(startTime, []Record{other.self}, nil)
	other.Merge(startTime, []Record{seed.self}, nil)
	for n := byte(10); n < 90; n++ { // agents that the new entry does not know
		seed.Merge(startTime, []Record{newCore(n, RoleAgent).self}, nil)
	}
	joining := newCore(3, RoleEntry, seed.self.Control)
	now := startTime
	exchange(now, seed, other, joining)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		for _, c := range []*Core{seed, other, joining} {
			c.Tick(now)
		}
		exchange(now, seed, other, joining)
	}
	is.True(seed.table.get(joining.self.Addr) != nil)
	is.True(other.table.get(joining.self.Addr) != nil)
}
