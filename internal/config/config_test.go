package config

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const validFile = `{
  "zones": [{"name": "adjara-1", "id": 1, "region": "adjara", "out": false}],
  "services": [{
    "name": "bell-signalling", "id": 1, "addresses": ["127.1.0.1:7443"],
    "classes": [
      {"name": "departure", "pathPrefix": "/bells/departure", "methods": ["POST"], "runAtMostOnce": true, "deadlineMillis": 2000},
      {"name": "status", "pathPrefix": "/", "stayConnected": true}
    ],
    "targets": {"freshShare": 0.2, "freshSteps": 8, "freshIntervalMillis": 1000, "queuePerSlot": 2, "retryShare": 0.1, "retentionMillis": 600000}
  }]
}`

func TestDecodeFileReportsThePathAndReason(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           string // "" means valid
	}{
		{name: "valid"},
		{"unknown key", `"out": false`, `"weight": 3`, "zones[0].weight: unknown key"},
		{"unknown nested key", `"retryShare"`, `"retries"`, "services[0].targets.retries: unknown key"},
		{"wrong type", `"id": 1, "region"`, `"id": "one", "region"`, "zones[0].id: cannot read"},
		{"number too large", `"id": 1, "region"`, `"id": 300, "region"`, "zones[0].id: "},
		{"missing field", `"region": "adjara", `, ``, "zones[0].region: is required"},
		{"bad share", `"freshShare": 0.2`, `"freshShare": 1.5`, "services[0].targets.freshShare: must satisfy lte 1"},
		{"address without port", `127.1.0.1:7443`, `127.1.0.1`, "services[0].addresses[0]: "},
		{"bad method", `"POST"`, `"SEND"`, "services[0].classes[0].methods[0]: must satisfy oneof"},
		{"no deadline", `"stayConnected": true`, `"bulk": true`, "services[0].classes[1].deadlineMillis: is required"},
		{"bad name", `"adjara-1"`, `"Adjara 1"`, "zones[0].name: must be lower-case"},
		{"repeated class", `"name": "status"`, `"name": "departure"`, "services[0].classes: must not repeat name"},
		{"cut short", `"retentionMillis": 600000}`, `"retentionMillis"`, "services[0].targets"},
		{"no services", `"services"`, `"zones"`, "duplicate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := strings.Replace(validFile, tt.old, tt.new, 1)
			err := Decode([]byte(doc), &File{})
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %q, want it to contain %q", err, tt.want)
			}
		})
	}
}

func TestDecodeReportsAllErrors(t *testing.T) {
	is := is.New(t)
	err := Decode([]byte(`{"zone": "a", "data": "127.0.0.1:1"}`), &Entry{})
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	var paths []string
	for _, f := range invalid.Fields {
		paths = append(paths, f.Path)
	}
	want := "control metrics store tls.cert tls.key tls.ca fabric fabricReturn"
	is.Equal(strings.Join(paths, " "), want)
}

func serviceObject(name string, id uint16, revision uint64, addresses ...string) Object {
	s := Service{
		Name: name, ID: id,
		Classes: []Class{{Name: "all", PathPrefix: "/", DeadlineMillis: 1000}},
		Targets: Targets{FreshShare: 0.5, FreshSteps: 1, FreshIntervalMillis: 100, RetentionMillis: 1000},
	}
	for _, a := range addresses {
		s.Addresses = append(s.Addresses, netip.MustParseAddrPort(a))
	}
	value, err := Encode(s)
	if err != nil {
		panic(err)
	}
	return Object{Kind: KindService, Name: name, Revision: revision, Value: value}
}

func TestBuildIsIndependentOfOrder(t *testing.T) {
	is := is.New(t)
	zone, err := Encode(Zone{Name: "z", ID: 1, Region: "r", Out: true})
	is.NoErr(err)
	objects := []Object{
		serviceObject("first", 1, 5, "127.1.0.1:1"),
		serviceObject("same-id", 1, 6, "127.1.0.2:1"),
		serviceObject("same-address", 2, 7, "127.1.0.1:1"),
		serviceObject("other", 3, 8, "127.1.0.3:1"),
		{Kind: KindService, Name: "gone", Revision: 9, Deleted: true},
		{Kind: KindService, Name: "renamed", Revision: 10, Value: serviceObject("x", 9, 1, "127.1.0.9:1").Value},
		{Kind: KindZone, Name: "z", Revision: 11, Value: zone},
		{Kind: KindKeys, Name: KeysName, Revision: 12, Value: []byte(`{"signing": 1}`)},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		random.Shuffle(len(objects), func(i, j int) { objects[i], objects[j] = objects[j], objects[i] })
		f, problems := Build(objects)
		is.Equal(f.Revision, uint64(12))
		is.Equal(f.Services[1].Name, "first")
		is.Equal(len(f.Services), 2)
		is.True(f.ZoneOut(1))
		is.Equal(f.Region(1), "r")
		is.Equal(f.Keys, nil)
		var names []string
		for _, p := range problems {
			names = append(names, p.ID.Name)
		}
		is.Equal(fmt.Sprint(names), "[same-id same-address renamed fleet]")
	}
}

func TestKeys(t *testing.T) {
	secret := strings.Repeat("ab", 32)
	tests := []struct {
		name, value, want string
	}{
		{"valid", `{"signing":2,"generations":[{"id":1,"secret":"` + secret + `"},{"id":2,"secret":"` + secret + `"}]}`, ""},
		{"signing unknown", `{"signing":3,"generations":[{"id":1,"secret":"` + secret + `"}]}`, "signing: must name a generation"},
		{"short secret", `{"signing":1,"generations":[{"id":1,"secret":"abcd"}]}`, "generations[0].secret"},
		{"repeated generation", `{"signing":1,"generations":[{"id":1,"secret":"` + secret + `"},{"id":1,"secret":"` + secret + `"}]}`, "generations: must not repeat id"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(&Object{Kind: KindKeys, Name: KeysName, Value: []byte(tt.value)})
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		var file File
		if Decode(data, &file) != nil {
			return
		}
		again, err := Encode(file)
		if err != nil {
			t.Fatalf("cannot encode a valid file: %v", err)
		}
		if err := Decode(again, &File{}); err != nil {
			t.Fatalf("an encoded file is not valid: %v", err)
		}
	})
}

func FuzzDecodeSettings(f *testing.F) {
	f.Add([]byte(`{"zone":"a","data":"127.0.0.1:1","control":"127.0.0.1:2","metrics":"127.0.0.1:3","store":"http://127.0.0.1:4","tls":{"cert":"a","key":"b","ca":"c"},"fabric":"127.0.0.1:5","fabricReturn":"127.0.0.1:6"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var e Entry
		if Decode(data, &e) == nil && !e.Data.Addr().Is4() {
			t.Fatalf("accepted data address %v", e.Data)
		}
	})
}

func FuzzBuild(f *testing.F) {
	o := serviceObject("a", 1, 1, "127.1.0.1:1")
	f.Add(o.Value, o.Value)
	f.Fuzz(func(t *testing.T, service, keys []byte) {
		_, _ = Build([]Object{
			{Kind: KindService, Name: "a", Revision: 1, Value: service},
			{Kind: KindKeys, Name: KeysName, Revision: 2, Value: keys},
		})
	})
}
