package membership

import (
	"testing"

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
