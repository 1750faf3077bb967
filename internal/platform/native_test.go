package platform

import (
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

const validObject = `{"kind":"zone","name":"pier","revision":7,"value":"e30="}`

// One object that can't be read failed the list or the watch that contained it.
func TestUnreadableObjectHidesNoOther(t *testing.T) {
	for name, tt := range map[string]struct {
		object  string
		unknown []config.ID
	}{
		"too deep":             {`{"kind":"zone","name":"odd","value":` + strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000) + `}`, nil},
		"revision too large":   {`{"kind":"zone","name":"odd","revision":99999999999999999999}`, []config.ID{{Kind: "zone", Name: "odd"}}},
		"revision is a string": {`{"kind":"zone","name":"odd","revision":"7"}`, []config.ID{{Kind: "zone", Name: "odd"}}},
		"value is a number":    {`{"kind":"zone","name":"odd","revision":8,"value":5}`, []config.ID{{Kind: "zone", Name: "odd"}}},
		"name is a number":     {`{"kind":"zone","name":9,"revision":8}`, nil},
		"a number":             {`5`, nil},
		"a list":               {`[]`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			res := Response{Status: http.StatusOK, Body: []byte(`{"revision":9,"objects":[` + tt.object + `,` + validObject + `]}`)}
			page, next, err := nativeProtocol{}.Page("zone", res)
			is.NoErr(err)
			is.Equal(next, "")
			is.Equal(page.Revision, uint64(9))
			is.Equal(len(page.Objects), 1)
			is.Equal(page.Objects[0].Name, "pier")
			is.Equal(len(page.Problems), 1)
			is.Equal(page.Unknown, tt.unknown)
			changes, err := nativeProtocol{}.Changes(1, res)
			is.NoErr(err)
			is.Equal(len(changes.Objects), 1)
		})
	}
}

func TestCutResponseIsNoList(t *testing.T) {
	is := is.New(t)
	whole := `{"revision":9,"objects":[` + validObject + `]}`
	for size := range len(whole) {
		_, _, err := nativeProtocol{}.Page("zone", Response{Status: http.StatusOK, Body: []byte(whole[:size])})
		is.True(errors.Is(err, ErrUnavailable))
	}
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add([]byte(`{"revision":9,"objects":[` + validObject + `]}`))
	f.Add([]byte(`{"revision":1e400,"objects":[{"name":5},17,null]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSnapshot(Response{Status: http.StatusOK, Body: b})
		if err != nil && !errors.Is(err, ErrUnavailable) {
			t.Fatal(err)
		}
		if err == nil && len(s.Unknown) > len(s.Problems) {
			t.Fatalf("%d unknown of %d problems", len(s.Unknown), len(s.Problems))
		}
	})
}
