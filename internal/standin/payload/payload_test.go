package payload

import (
	"bytes"
	"io"
	"net/url"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func responseTo(id string, size int) []byte {
	b := make([]byte, size)
	_, _ = NewReader(id).Read(b)
	return b
}

func TestCheck(t *testing.T) {
	const size = 100_001
	expected := responseTo("own", size)
	changed := bytes.Clone(expected)
	changed[size-1] ^= 1
	reset := io.MultiReader(bytes.NewReader(expected[:size/2]), iotest.ErrReader(errors.New("reset")))
	cases := []struct {
		name string
		body io.Reader
		want CheckResult
	}{
		{"complete", bytes.NewReader(expected), Complete},
		{"one byte at a time", iotest.OneByteReader(bytes.NewReader(expected)), Complete},
		{"data with the error", iotest.DataErrReader(bytes.NewReader(expected)), Complete},
		{"another request", bytes.NewReader(responseTo("other", size)), Mismatched},
		{"last byte differs", bytes.NewReader(changed), Mismatched},
		{"too long", bytes.NewReader(append(bytes.Clone(expected), 0)), Mismatched},
		{"truncated", bytes.NewReader(expected[:size-1]), Truncated},
		{"empty", bytes.NewReader(nil), Truncated},
		{"reset", reset, ReadFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, _ := Check("own", size, c.body)
			is.Equal(got, c.want)
		})
	}
}

func TestQueryRoundTrip(t *testing.T) {
	is := is.New(t)
	want := Request{ID: "a", Attempt: 2, Size: 3, Stream: true, Work: 0.5}
	v, err := url.ParseQuery(want.Query())
	is.NoErr(err)
	got, err := ParseQuery(v)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = ParseQuery(url.Values{})
	is.True(err != nil)
}
