package docstest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"crocusnotch/internal/config"
)

const (
	docsDir = "../../docs"
	codeDir = ".."

	platformDir = "../../platform"
)

var examplePattern = regexp.MustCompile("(?s)<!-- example: (\\w+) -->\n```json\n(.*?)```")

// newExample returns a value to decode an example of the kind into, or nil if the
// kind is unknown.
func newExample(kind string) any {
	switch kind {
	case "fleet":
		return &config.File{}
	case "entry":
		return &config.Entry{}
	case "agent":
		return &config.Agent{}
	case "control":
		return &config.Control{}
	case "passthrough-entry":
		return &config.PassthroughEntry{}
	case "passthrough-agent":
		return &config.PassthroughAgent{}
	}
	return nil
}

func TestExamplesInDocsAreValid(t *testing.T) {
	is := is.New(t)
	count := 0
	is.NoErr(walkFiles(docsDir, ".md", func(path string, text []byte) {
		for _, m := range examplePattern.FindAllSubmatch(text, -1) {
			count++
			checkExample(t, path, string(m[1]), m[2])
		}
	}))
	is.True(count > 0)
}

func checkExample(t *testing.T, path, kind string, text []byte) {
	v := newExample(kind)
	if v == nil {
		t.Errorf("%s: unknown kind of example %s", path, kind)
		return
	}
	if err := config.Decode(text, v); err != nil {
		t.Errorf("%s: %s: %v", path, kind, err)
	}
}

var (
	testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`)
	testFuncPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
)

func TestTestsNamedInDocsExist(t *testing.T) {
	is := is.New(t)
	defined := map[string]bool{}
	for _, dir := range []string{codeDir, platformDir} {
		is.NoErr(walkFiles(dir, "_test.go", func(_ string, text []byte) {
			for _, m := range testFuncPattern.FindAllSubmatch(text, -1) {
				defined[string(m[1])] = true
			}
		}))
	}
	count := 0
	is.NoErr(walkFiles(docsDir, ".md", func(path string, text []byte) {
		for _, name := range testNamePattern.FindAllString(string(text), -1) {
			count++
			if !defined[name] {
				t.Errorf("%s names %s, which does not exist", path, name)
			}
		}
	}))
	is.True(count > 0)
}

// walkFiles calls visit with each file below dir whose path ends in suffix.
func walkFiles(dir, suffix string, visit func(path string, text []byte)) error {
	return filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		visit(path, text)
		return nil
	})
}
