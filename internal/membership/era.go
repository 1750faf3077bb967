package membership

import (
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
	era         uint64    // highest known one, 0 before the first
	rewrittenBy time.Time // when the changes that the store lost are written again
}

// observeEra records a new era of the store, from an object or from a verification. The
// first one may also follow a restore that this process has not seen.
func (c *Core) observeEra(now time.Time, era uint64) {
	if era <= c.era.era {
		return
	}
	c.out.Restored = c.out.Restored || c.era.era != 0
	c.era = eraState{era: era, rewrittenBy: now.Add(rewriteTimeout)}
}

// Era returns the highest known era of the store, 0 if it reports none.
func (c *Core) Era() uint64 { return c.era.era }

// awaitingRewrites reports whether changes may still be missing in a restored store.
func (c *Core) awaitingRewrites(now time.Time) bool { return now.Before(c.era.rewrittenBy) }

// awaitingRewrite reports whether an object of the revision may be missing in the store
// because the store was restored, rather than because it was deleted.
func (c *Core) awaitingRewrite(now time.Time, revision uint64) bool {
	return config.EraOf(revision) < c.era.era && c.awaitingRewrites(now)
}

// MergeList merges all objects of the store as listed at the time and the revision. A
// known object that is not listed was deleted, at the latest at that revision. The
// list must be repeated at the returned time if that is not zero: until then, objects
// may be missing in it that a restored store has lost.
func (c *Core) MergeList(now, at time.Time, listed []config.Object, revision uint64) (repeatAt time.Time) {
	c.observeEra(now, config.EraOf(revision))
	found := map[config.ID]bool{}
	for i := range listed {
		found[listed[i].ID()] = true
		if c.awaitingRewrites(now) && c.objects.wasSuperseded(&listed[i]) {
			repeatAt = c.era.rewrittenBy
		}
	}
	known, _ := c.Objects()
	for _, o := range known {
		switch {
		case found[o.ID()] || o.Deleted || o.Revision >= revision:
		case c.awaitingRewrite(now, o.Revision):
			repeatAt = c.era.rewrittenBy
		default:
			listed = append(listed, config.Object{
				Kind: o.Kind, Name: o.Name, Version: o.Version, Revision: revision, Deleted: true,
			})
		}
	}
	c.Merge(now, nil, listed)
	c.MarkVerified(now, at, revision)
	return repeatAt
}
