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

func answerTo(id string, size int) []byte {
	b := make([]byte, size)
	_, _ = NewReader(id).Read(b)
	return b
}

func TestCheck(t *testing.T) {
	const size = 100_001
	own := answerTo("own", size)
	changed := bytes.Clone(own)
	changed[size-1] ^= 1
	cut := io.MultiReader(bytes.NewReader(own[:size/2]), iotest.ErrReader(errors.New("reset")))
	cases := []struct {
		name string
		body io.Reader
		want CheckResult
	}{
		{"whole", bytes.NewReader(own), Complete},
		{"one byte at a time", iotest.OneByteReader(bytes.NewReader(own)), Complete},
		{"data with the error", iotest.DataErrReader(bytes.NewReader(own)), Complete},
		{"another's", bytes.NewReader(answerTo("other", size)), Mismatched},
		{"last byte differs", bytes.NewReader(changed), Mismatched},
		{"too long", bytes.NewReader(append(bytes.Clone(own), 0)), Mismatched},
		{"short", bytes.NewReader(own[:size-1]), Truncated},
		{"empty", bytes.NewReader(nil), Truncated},
		{"reset", cut, ReadFailed},
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
