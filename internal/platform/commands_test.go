package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

// A store may answer 201 to a creation.
func TestCreatedIsSuccess(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	c := New("http://store", Options{HTTP: &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		res, err := f.RoundTrip(r)
		if res != nil && r.Method == http.MethodPut {
			res.StatusCode = http.StatusCreated
		}
		return res, err
	})}})
	o, err := c.Create(context.Background(), zoneA, []byte("v"))
	is.NoErr(err)
	is.Equal(o.Revision, uint64(1))
	is.Equal(len(f.calls), 1)
}

// A conflict whose body can't be read does not mean that the object does not exist.
func TestUnreadableConflictIsReadBack(t *testing.T) {
	is := is.New(t)
	f := &fakeStore{}
	f.write([]byte("other"))
	c := New("http://store", Options{HTTP: &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		res, err := f.RoundTrip(r)
		if res != nil && r.Method == http.MethodPut {
			res.Body = io.NopCloser(strings.NewReader("{"))
		}
		return res, err
	})}})
	_, err := c.Update(context.Background(), zoneA, 7, []byte("mine"))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(conflict.Current != nil)
	is.Equal(*conflict.Current, config.Object{Kind: "zone", Name: "a", Revision: 1, Value: []byte("other")})
}
