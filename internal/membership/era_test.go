package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// zoneOutObject returns the request to take a zone out, or its end.
func zoneOutObject(name string, era, revision uint64, deleted bool) config.Object {
	o := config.Object{Kind: config.KindZoneOut, Name: name, Revision: config.JoinRevision(era, revision), Deleted: deleted}
	if !deleted {
		o.Value = []byte(`{"name":"` + name + `"}`)
	}
	return o
}

func (c *Core) zonesOut() map[string]bool {
	objects, _ := c.Objects()
	fleet, _ := config.Build(objects)
	return fleet.ZonesOut
}

// What an entry concludes from the first and later lists of a store that was restored
// from a copy.
func TestMergeListAfterRestore(t *testing.T) {
	const zone = "pier"
	live := func(era, revision uint64) config.Object { return zoneOutObject(zone, era, revision, false) }
	ended := func(era, revision uint64) config.Object { return zoneOutObject(zone, era, revision, true) }
	for name, tt := range map[string]struct {
		known, listed []config.Object
		soon, later   bool // out of service at once, and after rewriteTimeout
		repeats       bool // the list must be repeated
		sameEra       bool
	}{
		"lost":                       {known: []config.Object{live(1, 100)}, soon: true, repeats: true},
		"lost and written again":     {known: []config.Object{live(1, 100)}, listed: []config.Object{live(2, 96)}, soon: true, later: true},
		"end lost":                   {known: []config.Object{live(1, 90), ended(1, 100)}, listed: []config.Object{live(2, 90)}, later: true, repeats: true},
		"end lost and written again": {known: []config.Object{live(1, 90), ended(1, 100)}},
		"out again after the end":    {known: []config.Object{live(1, 90), ended(1, 100)}, listed: []config.Object{live(2, 97)}, soon: true, later: true},
		"never known":                {listed: []config.Object{live(2, 90)}, soon: true, later: true},
		"ended in the same era":      {known: []config.Object{live(1, 100)}, sameEra: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testCore(RoleEntry, 1)
			now := testStart
			c.MergeList(now, now, nil, config.JoinRevision(1, 80)) // era 1 is known
			now = now.Add(time.Minute)
			c.Merge(now, nil, tt.known)
			c.TakeOutput()
			era := uint64(2)
			if tt.sameEra {
				era = 1
			}
			repeatAt := c.MergeList(now, now, tt.listed, config.JoinRevision(era, 110))
			is.Equal(c.TakeOutput().Restored, !tt.sameEra)
			is.Equal(c.zonesOut()[zone], tt.soon)
			is.Equal(!repeatAt.IsZero(), tt.repeats)
			now = now.Add(rewriteTimeout)
			is.True(!repeatAt.After(now))
			c.MergeList(now, now, tt.listed, config.JoinRevision(era, 111))
			is.Equal(c.zonesOut()[zone], tt.later)
		})
	}
}

// The revisions of an object that are kept to recognise it in a copy are bounded.
func TestPastRevisionsAreBounded(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	for i := range uint64(10 * maxSuperseded) {
		c.Merge(testStart, nil, []config.Object{zoneOutObject("pier", 1, i+1, false)})
	}
	id := config.ID{Kind: config.KindZoneOut, Name: "pier"}
	is.Equal(len(c.objects.get(id).superseded), maxSuperseded)
	c.Merge(testStart, nil, []config.Object{zoneOutObject("pier", 2, 1, false)})
	is.Equal(len(c.objects.get(id).superseded), 0)
}

// An agent's zone-out object of the earlier era is not reported as deleted by an entry
// that started after the restore, before operators had time to write it again.
func TestHeldZoneOutAfterRestore(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	held := []ObjectRef{{Kind: config.KindZoneOut, Name: "pier", Revision: config.JoinRevision(1, 100)}}
	c.MarkVerified(testStart, testStart, config.JoinRevision(2, 90))
	is.Equal(len(c.newerOrDeleted(testStart.Add(time.Second), held)), 0)
	later := testStart.Add(rewriteTimeout)
	c.MarkVerified(later, later, config.JoinRevision(2, 91))
	deleted := c.newerOrDeleted(later, held)
	is.Equal(len(deleted), 1)
	is.True(deleted[0].Deleted)
}

// A series of restores, each before the operator had time to write again, must not keep a
// zone out of service whose return the copies lack: the time counts from the first one.
func TestSeriesOfRestoresHoldsNoZoneOut(t *testing.T) {
	const gap = 2 * time.Second
	for name, tt := range map[string]struct {
		endKnown bool // the process has seen the end, and the copies have the request
		want     bool // out of service while the change is awaited
	}{
		"end unknown": {want: true},
		"end known":   {endKnown: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testCore(RoleEntry, 1)
			now := testStart
			c.MergeList(now, now, nil, config.JoinRevision(1, 80))
			c.Merge(now, nil, []config.Object{zoneOutObject("pier", 1, 90, false)})
			if tt.endKnown {
				c.Merge(now, nil, []config.Object{zoneOutObject("pier", 1, 100, true)})
			}
			first := now.Add(gap)
			for era := uint64(2); now.Before(testStart.Add(time.Minute)); era++ {
				now = now.Add(gap)
				var listed []config.Object
				if tt.endKnown {
					listed = append(listed, zoneOutObject("pier", era, 90, false))
				}
				c.MergeList(now, now, listed, config.JoinRevision(era, 95))
				if now.Sub(first) < rewriteTimeout {
					is.Equal(c.zonesOut()["pier"], tt.want)
				} else {
					is.Equal(c.zonesOut()["pier"], !tt.want) // the store's word counts
				}
			}
		})
	}
}

// A request that a restore lost and the operator wrote again stays in force when the next
// restore loses it again: the time counts from that one.
func TestRewrittenZoneOutIsAwaitedAgain(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	now := testStart
	c.MergeList(now, now, []config.Object{zoneOutObject("pier", 1, 90, false)}, config.JoinRevision(1, 90))
	for era := uint64(2); era < 12; era++ {
		now = now.Add(6 * time.Second)
		c.MergeList(now, now, nil, config.JoinRevision(era, 80))
		is.True(c.zonesOut()["pier"])
		c.Merge(now.Add(time.Second), nil, []config.Object{zoneOutObject("pier", era, 90, false)})
	}
}

// An object that a list contains in a form that can't be read has not been deleted.
func TestUnknownObjectsStayInForce(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	now := testStart
	listed := []config.Object{zoneOutObject("pier", 1, 90, false), zoneOutObject("quay", 1, 91, false)}
	c.MergeList(now, now, listed, config.JoinRevision(1, 95))
	c.MergeList(now, now, nil, config.JoinRevision(1, 96), config.ID{Kind: config.KindZoneOut, Name: "pier"})
	is.Equal(c.zonesOut(), map[string]bool{"pier": true})
	c.MergeList(now, now, nil, config.JoinRevision(1, 97), config.ID{Kind: config.KindZoneOut})
	is.Equal(c.zonesOut(), map[string]bool{"pier": true})
	c.MergeList(now, now, nil, config.JoinRevision(1, 98), config.ID{Kind: config.KindPool})
	is.Equal(len(c.zonesOut()), 0)
}
