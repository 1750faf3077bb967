package fleet

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// An object that can't be read lies in every list until somebody removes it: a line for each
// list would fill the log.
func TestUnreadableObjectsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	problem := func(kind, name, reason string) config.Problem {
		return config.Problem{ID: config.ID{Kind: kind, Name: name}, Err: errors.New(reason)}
	}
	zones, rosters := []string{config.KindRoutes, config.KindZoneOut}, []string{config.KindRoster}
	var u unreadableObjects
	odd := problem(config.KindZoneOut, "odd", "cut")
	is.Equal(len(u.set(zones, []config.Problem{odd})), 1)
	is.Equal(len(u.set(zones, []config.Problem{odd})), 0)
	is.Equal(len(u.set(rosters, []config.Problem{problem(config.KindRoster, "odd", "cut")})), 1)
	is.Equal(u.texts(), []string{"roster odd: cut", "zone-out odd: cut"})
	is.Equal(len(u.set(zones, []config.Problem{problem(config.KindZoneOut, "odd", "too deep")})), 1) // another reason
	is.Equal(len(u.set(zones, nil)), 0)
	is.Equal(u.texts(), []string{"roster odd: cut"})
	is.Equal(len(u.set(zones, []config.Problem{odd})), 1) // it is back

	long := u.set(rosters, []config.Problem{problem(config.KindRoster, "odd", strings.Repeat("x", 1<<20))})
	is.Equal(len(long[config.ID{Kind: config.KindRoster, Name: "odd"}]), maxProblemSize)
}
