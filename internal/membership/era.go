package membership

import (
	"slices"
	"time"

	"crocusnotch/internal/config"
)

// rewriteTimeout is how long after a restore of the store the operators' changes that
// it lost are expected to be written again. Until then an object that the copy lacks
// stays in force, and one that had been replaced or deleted stays so. A copy is some
// seconds old, and whoever wrote is waiting for the store.
const rewriteTimeout = 10 * time.Second

// eraState is what is known of the eras of the store: see config.JoinRevision.
type eraState struct {
	era uint64 // highest known one, 0 before the first
	// restores are those of the last rewriteTimeout and the one before them, oldest first.
	restores []restore
}

// restore is a restore of the store from a copy, which began an era.
type restore struct {
	era    uint64
	seenAt time.Time // when this process first received the era
}

// observeEra records a new era of the store, from an object or from a verification. The
// first one may also follow a restore that this process has not seen.
func (c *Core) observeEra(now time.Time, era uint64) {
	if era <= c.era.era {
		return
	}
	c.out.Restored = c.out.Restored || c.era.era != 0
	c.era.era = era
	for len(c.era.restores) > 1 && !now.Before(c.era.restores[1].rewrittenBy()) {
		c.era.restores = c.era.restores[1:]
	}
	c.era.restores = append(c.era.restores, restore{era: era, seenAt: now})
}

// rewrittenBy returns when the operators have written again what the restore lost.
func (r *restore) rewrittenBy() time.Time { return r.seenAt.Add(rewriteTimeout) }

// Era returns the highest known era of the store, 0 if it reports none.
func (c *Core) Era() uint64 { return c.era.era }

// awaitedRewrite returns the time until which a change of an object may be missing in the
// store because a restore lost it, given the object's last known revision. awaited is
// false if that time is over. It counts from the first restore since the revision:
// otherwise a series of restores would hold back a change for as long as it lasts.
func (c *Core) awaitedRewrite(now time.Time, revision uint64) (until time.Time, awaited bool) {
	era := config.EraOf(revision)
	first := slices.IndexFunc(c.era.restores, func(r restore) bool { return r.era > era })
	if first < 0 {
		return time.Time{}, false
	}
	until = c.era.restores[first].rewrittenBy()
	return until, now.Before(until)
}

// returnedByRestore reports whether an object of a later era is a revision that had been
// superseded before the store was restored, and until when its successor is awaited.
func (c *Core) returnedByRestore(now time.Time, in *config.Object) (until time.Time, returned bool) {
	if !c.objects.wasSuperseded(in) {
		return time.Time{}, false
	}
	return c.awaitedRewrite(now, c.objects.get(in.ID()).latest.Revision)
}

// MergeList merges all objects of the store as listed at the time and the revision. A
// known object that is not listed was deleted, at the latest at that revision, unless it is
// among the unknown ones, which the list may contain in a form that can't be read; one
// without a name stands for all objects of its kind. The list must be repeated at the
// returned time if that is not zero: until then, objects may be missing in it that a
// restored store has lost.
func (c *Core) MergeList(now, at time.Time, listed []config.Object, revision uint64, unknown ...config.ID) (repeatAt time.Time) {
	c.observeEra(now, config.EraOf(revision))
	repeat := func(at time.Time) {
		if repeatAt.IsZero() || at.Before(repeatAt) {
			repeatAt = at
		}
	}
	found := map[config.ID]bool{}
	for i := range listed {
		found[listed[i].ID()] = true
		if until, returned := c.returnedByRestore(now, &listed[i]); returned {
			repeat(until)
		}
	}
	known, _ := c.Objects()
	for _, o := range known {
		if found[o.ID()] || o.Deleted || o.Revision >= revision {
			continue
		}
		if slices.Contains(unknown, o.ID()) || slices.Contains(unknown, config.ID{Kind: o.Kind}) {
			continue
		}
		if until, awaited := c.awaitedRewrite(now, o.Revision); awaited {
			repeat(until)
			continue
		}
		listed = append(listed, config.Object{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Revision: revision, Deleted: true,
		})
	}
	c.Merge(now, nil, listed)
	c.MarkVerified(now, at, revision)
	return repeatAt
}
