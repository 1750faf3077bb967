package config

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// manyServices returns n service objects with four addresses each.
func manyServices(n int) []Object {
	var objects []Object
	for i := range n {
		s := Service{
			Name: fmt.Sprintf("s%d", i), ID: uint16(i + 1),
			Classes: []Class{{Name: "all", PathPrefix: "/", DeadlineMillis: 1000}},
			Targets: Targets{FreshShare: 0.2, FreshSteps: 4, FreshIntervalMillis: 1000, RetentionMillis: 60000},
		}
		for a := range 4 {
			ip := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(a)})
			s.Addresses = append(s.Addresses, netip.AddrPortFrom(ip, 443))
		}
		value, err := Encode(s)
		if err != nil {
			panic(err)
		}
		objects = append(objects, Object{Kind: KindService, Name: s.Name, Revision: uint64(i + 1), Value: value})
	}
	return objects
}

func TestBuilderReturnsTheSameAsBuild(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	objects := manyServices(20)
	for revision := uint64(100); revision < 110; revision++ {
		changed := &objects[revision%20]
		changed.Revision = revision
		if revision%3 == 0 {
			changed.Value = []byte(`{}`)
		}
		fleet, problems := b.Build(objects)
		wantFleet, wantProblems := Build(objects)
		is.Equal(fleet, wantFleet)
		is.Equal(len(problems), len(wantProblems))
	}
}

// BenchmarkBuildAfterChange builds the configuration of 4,000 services after one of
// them has changed.
func BenchmarkBuildAfterChange(b *testing.B) {
	objects := manyServices(4000)
	builder := NewBuilder()
	builder.Build(objects)
	revision := uint64(len(objects))
	for b.Loop() {
		revision++
		objects[0].Revision = revision
		builder.Build(objects)
	}
}

// BenchmarkBuildAnew builds it without a Builder, so that all 4,000 are parsed.
func BenchmarkBuildAnew(b *testing.B) {
	objects := manyServices(4000)
	for b.Loop() {
		Build(objects)
	}
}
