package fleet

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/wire"
)

// fetchFrom lets an entry that runs take a snapshot from a peer with the given answers.
func fetchFrom(t *testing.T, peer func(wire.SnapshotParams) (wire.SnapshotResult, error)) (*Node, error) {
	t.Helper()
	n := idleNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.loop(ctx) }()
	defer func() {
		n.closeSockets()
		cancel()
		<-done
	}()
	n.opts.Call = func(_ context.Context, _ netip.AddrPort, _ string, params, result any) error {
		answer, err := peer(params.(wire.SnapshotParams))
		*result.(*wire.SnapshotResult) = answer
		return err
	}
	time.Sleep(time.Second)
	err := n.fetchSnapshot(ctx, netip.MustParseAddrPort("10.0.0.2:2"))
	time.Sleep(time.Second)
	return n, err
}

// A peer that names a page again, or pages without end, kept the join from ending.
func TestSnapshotOfUnendingPagesFails(t *testing.T) {
	for name, next := range map[string]func(cursor int) int{
		"same":      func(cursor int) int { return max(cursor, 1) },
		"back":      func(cursor int) int { return 3 - cursor%3 },
		"negative":  func(int) int { return -1 },
		"unending":  func(cursor int) int { return cursor + 1 },
		"too large": func(int) int { return math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				content, err := encodePage(page{})
				is.NoErr(err)
				errTooMany := errors.New("too many calls")
				calls := 0
				n, err := fetchFrom(t, func(p wire.SnapshotParams) (wire.SnapshotResult, error) {
					if calls++; calls > 2*maxSnapshotPages {
						return wire.SnapshotResult{}, errTooMany
					}
					return wire.SnapshotResult{Page: content, Next: next(p.Cursor), AgeMillis: 1}, nil
				})
				is.True(err != nil && !errors.Is(err, errTooMany))
				is.True(!n.Joined())
			})
		})
	}
}

// An age that overflows made what a peer had verified long ago look as if it had just been
// verified.
func TestAgeOfAPeersVerificationIsBounded(t *testing.T) {
	for _, age := range []int64{time.Hour.Milliseconds(), 1 << 44, 1<<44 + 12345, math.MaxInt64 / 1_000_000, math.MaxInt64} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			content, err := encodePage(page{})
			is.NoErr(err)
			n, err := fetchFrom(t, func(wire.SnapshotParams) (wire.SnapshotResult, error) {
				return wire.SnapshotResult{Page: content, AgeMillis: age, Revision: 3}, nil
			})
			is.NoErr(err)
			is.True(time.Since(n.core.VerifiedAt()) >= time.Hour)
		})
	}
}

// A page that is cut or of another form is an error, and never more than that.
func FuzzDecodePage(f *testing.F) {
	content, err := encodePage(page{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add(content[:len(content)/2])
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decodePage(b) })
}
