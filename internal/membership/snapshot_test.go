package membership

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// The number of a page that overflows when it is converted to a bucket ended the process:
// anyone who reaches the control address sends it.
func TestSnapshotPageOutOfRangeIsEmpty(t *testing.T) {
	is := is.New(t)
	c := testCore(RoleEntry, 1)
	for _, page := range []int{-1, Buckets / BucketsPerPage, 1 << 59, 1<<59 + 1, 1 << 60, 1<<60 + 5, math.MaxInt, math.MinInt, math.MinInt + 1} {
		records, objects, next := c.Snapshot(SnapshotQuery{Page: page})
		is.Equal(len(records), 0)
		is.Equal(len(objects), 0)
		is.Equal(next, 0)
	}
	records, _, next := c.Snapshot(SnapshotQuery{Page: 0})
	is.Equal(len(records), 1)
	is.Equal(next, 1)
}
