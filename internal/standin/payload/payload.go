// Package payload defines the requests and answers of the stand-in upstreams
// and callers. An answer's bytes follow from the request's identifier alone,
// so a caller can tell whether the whole answer is its own.
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

// Headers of the stand-in upstream's answers.
const (
	HeaderRequest  = "Standin-Request"  // identifier of the answered request
	HeaderUpstream = "Standin-Upstream" // name of the upstream
	HeaderService  = "Standin-Service"
)

// HeaderAttempt carries the number of the caller's attempt, from 1.
const HeaderAttempt = "Crocus-Attempt"

// ChunkSize is the length of one chunk of a long stream in bytes.
const ChunkSize = 16

const wordSize = 8

// Request is what a caller asks of a stand-in upstream.
type Request struct {
	ID      string
	Attempt int
	Size    int     // bytes of the answer
	Stream  bool    // chunks without end instead of Size bytes
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

// ParseQuery reads what Query wrote.
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

// Reader yields the endless bytes of one request's answer.
type Reader struct{ rnd *rand.PCG }

// NewReader returns the bytes of the answer to the request.
func NewReader(id string) *Reader {
	return &Reader{rnd: rand.NewPCG(xxhash.Sum64String(id), 0)}
}

// Read implements io.Reader. It fills whole words, so that what a sequence of
// reads yields does not depend on their lengths, if all but the last are
// multiples of 8.
func (r *Reader) Read(b []byte) (int, error) {
	var word [wordSize]byte
	for i := 0; i < len(b); i += wordSize {
		binary.LittleEndian.PutUint64(word[:], r.rnd.Uint64())
		copy(b[i:], word[:])
	}
	return len(b), nil
}

// CheckResult is the outcome of checking an answer.
type CheckResult uint8

// Outcomes of Check.
const (
	Complete   CheckResult = iota
	Mismatched             // bytes of another answer
	Truncated              // ended early without an error
	ReadFailed             // ended with an error
)

// Check reads the answer to the request to its end.
func Check(id string, size int, body io.Reader) (CheckResult, error) {
	want := NewReader(id)
	got := make([]byte, 32<<10)
	expected := make([]byte, 32<<10)
	held, total := 0, 0
	for {
		n, err := body.Read(got[held:])
		held += n
		total += n
		whole := held - held%wordSize
		if err != nil {
			whole = held
		}
		_, _ = want.Read(expected[:whole])
		if string(expected[:whole]) != string(got[:whole]) {
			return Mismatched, nil
		}
		copy(got, got[whole:held])
		held -= whole
		if errors.Is(err, io.EOF) {
			return lengthVerdict(total, size), nil
		}
		if err != nil {
			return ReadFailed, err
		}
	}
}

func lengthVerdict(total, size int) CheckResult {
	switch {
	case total < size:
		return Truncated
	case total > size:
		return Mismatched
	}
	return Complete
}
