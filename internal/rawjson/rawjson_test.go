package rawjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var tooDeep = strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)

// A part that decoders refuse must not hide the others.
func TestPartsThatCannotBeDecodedHideNoOther(t *testing.T) {
	for name, part := range map[string]string{
		"deep":            tooDeep,
		"large number":    "1e999999",
		"long number":     strings.Repeat("9", 5000),
		"unknown literal": "nope",
		"escape":          `"\q\"]},"`,
		"not UTF-8":       "\"\xff\"",
		"control":         "\"\x01\"",
		"mixed brackets":  `[}`,
		"object":          `{"a":{"b":[1,"}"]}}`,
		"empty":           `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			elements, err := Elements([]byte(" [ 1 , " + part + ",\n{\"a\":2}] "))
			is.NoErr(err)
			is.Equal(len(elements), 3)
			is.Equal(string(elements[0]), "1")
			is.Equal(string(elements[1]), part)
			is.Equal(string(elements[2]), `{"a":2}`)
			members, err := Members([]byte(`{"x":` + part + ` , "y" : "z"}`))
			is.NoErr(err)
			is.Equal(string(members["x"]), part)
			is.Equal(string(members["y"]), `"z"`)
		})
	}
}

func TestMalformedDocuments(t *testing.T) {
	for _, tt := range []struct {
		text string
		want error
	}{
		{``, ErrKind},
		{`5`, ErrKind},
		{`[1]`, ErrKind},
		{`{`, ErrSyntax},
		{`{"a"`, ErrSyntax},
		{`{"a":`, ErrSyntax},
		{`{"a":}`, ErrSyntax},
		{`{"a":1`, ErrSyntax},
		{`{"a":1,}`, ErrSyntax},
		{`{"a":1 "b":2}`, ErrSyntax},
		{`{a:1}`, ErrSyntax},
		{`{"\q":1}`, ErrSyntax},
		{`{"a":"cut}`, ErrSyntax},
		{`{"a":[[1]}`, ErrSyntax},
		{`{"a":1}{}`, ErrSyntax},
		{`{"a":1,"a":2}`, ErrDuplicate},
	} {
		t.Run(tt.text, func(t *testing.T) {
			is := is.New(t)
			_, err := Members([]byte(tt.text))
			is.True(errors.Is(err, tt.want))
		})
	}
	for _, text := range []string{`[1,]`, `[,1]`, `[1 2]`, `[1`, `[`, `[1]]`, `[1:2]`} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := Elements([]byte(text))
			is.True(errors.Is(err, ErrSyntax))
		})
	}
}

// What the decoder accepts must be split into the same parts.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":[1,{"b":"]"}],"c":null}`, `[{"a":"\\\""},[[]],-1e5,true]`, `[1,`, `{"a":1,"a":2}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		elements, err := Elements(b)
		var want []json.RawMessage
		if json.Unmarshal(b, &want) == nil && want != nil {
			if err != nil || len(elements) != len(want) {
				t.Fatalf("%d elements, want %d: %v", len(elements), len(want), err)
			}
			for i := range want {
				if !bytes.Equal(bytes.TrimSpace(want[i]), elements[i]) {
					t.Fatalf("element %d is %s, want %s", i, elements[i], want[i])
				}
			}
		}
		members, err := Members(b)
		var object map[string]json.RawMessage
		if json.Unmarshal(b, &object) == nil && object != nil && !errors.Is(err, ErrDuplicate) {
			if err != nil || len(members) != len(object) {
				t.Fatalf("%d members, want %d: %v", len(members), len(object), err)
			}
			for name, v := range object {
				if !bytes.Equal(bytes.TrimSpace(v), members[name]) {
					t.Fatalf("member %q is %s, want %s", name, members[name], v)
				}
			}
		}
	})
}
