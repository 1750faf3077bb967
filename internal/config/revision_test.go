package config

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRevisionsCompareAsPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, MaxEra)
		own := rapid.Uint64Range(0, maxStoreRevision)
		e1, e2 := era.Draw(t, "era1"), era.Draw(t, "era2")
		r1, r2 := own.Draw(t, "revision1"), own.Draw(t, "revision2")
		a, b := JoinRevision(e1, r1), JoinRevision(e2, r2)
		if want := e1 < e2 || e1 == e2 && r1 < r2; (a < b) != want {
			t.Fatalf("%d:%d < %d:%d is %v", e1, r1, e2, r2, a < b)
		}
		if EraOf(a) != e1 || StoreRevision(a) != r1 {
			t.Fatalf("%d:%d became %s", e1, r1, FormatRevision(a))
		}
	})
}

func TestFormatRevision(t *testing.T) {
	is := is.New(t)
	is.Equal(FormatRevision(512), "512")
	is.Equal(FormatRevision(JoinRevision(3, 512)), "3:512")
	is.Equal(JoinRevision(MaxEra+5, 1), JoinRevision(MaxEra, 1))
}

// An object of a versioned kind is superseded by a higher version only, whatever the
// revisions: a restored store lists an older version at a higher revision.
func TestSupersedes(t *testing.T) {
	object := func(version, era, revision uint64) *Object {
		return &Object{Kind: KindRoutes, Name: RoutesName, Version: version, Revision: JoinRevision(era, revision)}
	}
	for name, tt := range map[string]struct {
		newer, older *Object
		want         bool
	}{
		"later version":                          {object(9, 1, 100), object(8, 1, 90), true},
		"earlier version of a restored store":    {object(8, 2, 90), object(9, 1, 100), false},
		"later version at a reused revision":     {object(10, 2, 96), object(9, 1, 100), true},
		"same version written again":             {object(9, 2, 95), object(9, 1, 100), true},
		"same version, earlier era":              {object(9, 1, 100), object(9, 2, 95), false},
		"kind without versions, later revision":  {object(0, 1, 101), object(0, 1, 100), true},
		"kind without versions, later era":       {object(0, 2, 90), object(0, 1, 100), true},
		"kind without versions, the same object": {object(0, 1, 100), object(0, 1, 100), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.newer.Supersedes(tt.older), tt.want)
		})
	}
}
