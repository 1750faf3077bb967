// Package payload defines the requests and responses of the simulated upstreams
// and callers. A response body is derived from the request's ID alone, so a caller
// can check that the whole response belongs to its request.
package payload

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Headers of the simulated upstream's responses.
const (
	HeaderRequest  = "Standin-Request"  // ID of the request that this responds to
	HeaderUpstream = "Standin-Upstream" // name of the upstream
	HeaderService  = "Standin-Service"
)

// HeaderAttempt carries the number of the caller's attempt, from 1.
const HeaderAttempt = "Crocus-Attempt"

// ChunkSize is the size of one chunk of a long stream in bytes.
const ChunkSize = 16

const wordSize = 8

// Request is a request to a simulated upstream.
type Request struct {
	ID      string
	Attempt int
	Size    int     // bytes of the response
	Stream  bool    // an endless stream of chunks instead of Size bytes
	Work    float64 // factor on the upstream's mean work
}

// Query encodes the request as the query of a URL.
func (r Request) Query() string {
	v := url.Values{}
	v.Set("id", r.ID)
	v.Set("attempt", strconv.Itoa(r.Attempt))
	v.Set("size", strconv.Itoa(r.Size))
	v.Set("stream", strconv.FormatBool(r.Stream))
	v.Set("work", strconv.FormatFloat(r.Work, 'g', -1, 64))
	return v.Encode()
}

// ParseQuery decodes the output of Query.
func ParseQuery(v url.Values) (Request, error) {
	r := Request{ID: v.Get("id")}
	if r.ID == "" {
		return r, errors.New("payload: id is missing")
	}
	var err error
	if r.Attempt, err = strconv.Atoi(v.Get("attempt")); err != nil {
		return r, errors.Wrap(err, "payload: attempt")
	}
	if r.Size, err = strconv.Atoi(v.Get("size")); err != nil {
		return r, errors.Wrap(err, "payload: size")
	}
	if r.Stream, err = strconv.ParseBool(v.Get("stream")); err != nil {
		return r, errors.Wrap(err, "payload: stream")
	}
	if r.Work, err = strconv.ParseFloat(v.Get("work"), 64); err != nil {
		return r, errors.Wrap(err, "payload: work")
	}
	return r, nil
}

// Reader generates the endless bytes of the response to one request.
type Reader struct{ rnd *rand.PCG }

// NewReader returns a reader of the response to the request with the ID.
func NewReader(id string) *Reader {
	return &Reader{rnd: rand.NewPCG(xxhash.Sum64String(id), 0)}
}

// Read implements io.Reader. It generates whole words, so that the bytes of a
// sequence of reads don't depend on their lengths if all but the last are
// multiples of wordSize.
func (r *Reader) Read(b []byte) (int, error) {
	var word [wordSize]byte
	for i := 0; i < len(b); i += wordSize {
		binary.LittleEndian.PutUint64(word[:], r.rnd.Uint64())
		copy(b[i:], word[:])
	}
	return len(b), nil
}

// CheckResult is the result of checking a response.
type CheckResult uint8

// Results of Check.
const (
	Complete   CheckResult = iota
	Mismatched             // wrong bytes or too many
	Truncated              // ended early without an error
	ReadFailed             // ended with a read error
)

// Check reads the response to the end and compares it with the one expected for
// the request. It compares whole words, as Reader generates them.
func Check(id string, size int, body io.Reader) (CheckResult, error) {
	want := NewReader(id)
	got := make([]byte, 32<<10)
	expected := make([]byte, 32<<10)
	buffered, total := 0, 0
	for {
		n, err := body.Read(got[buffered:])
		buffered += n
		total += n
		compareLen := buffered - buffered%wordSize
		if err != nil {
			compareLen = buffered
		}
		_, _ = want.Read(expected[:compareLen])
		if string(expected[:compareLen]) != string(got[:compareLen]) {
			return Mismatched, nil
		}
		copy(got, got[compareLen:buffered])
		buffered -= compareLen
		if errors.Is(err, io.EOF) {
			return checkLength(total, size), nil
		}
		if err != nil {
			return ReadFailed, err
		}
	}
}

func checkLength(total, size int) CheckResult {
	switch {
	case total < size:
		return Truncated
	case total > size:
		return Mismatched
	}
	return Complete
}
