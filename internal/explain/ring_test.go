package explain

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRingKeepsTheLastEvents(t *testing.T) {
	is := is.New(t)
	r := NewRing("127.0.0.1:1", 3)
	is.Equal(len(r.Find("")), 0)
	for i := range 5 {
		r.Add(time.Unix(int64(i), 0), SubjectZone, strconv.Itoa(i%2), "in to out", "operators")
	}
	all := r.Find("")
	is.Equal(len(all), 3)
	is.Equal(all[0].Time.Unix(), int64(2))
	is.Equal(all[2].Time.Unix(), int64(4))
	odd := r.Find("1")
	is.Equal(len(odd), 1)
	is.Equal(odd[0].Process, "127.0.0.1:1")
}

func TestFindReturnsACopy(t *testing.T) {
	is := is.New(t)
	r := NewRing("p", 2)
	r.Add(time.Unix(1, 0), SubjectFlow, "f", "a", "b")
	found := r.Find("")
	r.Add(time.Unix(2, 0), SubjectFlow, "f", "a", "b")
	r.Add(time.Unix(3, 0), SubjectFlow, "f", "a", "b")
	is.Equal(found[0].Time.Unix(), int64(1))
}
