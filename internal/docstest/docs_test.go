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

var exampleBlock = regexp.MustCompile("(?s)<!-- example: (\\w+) -->\n```json\n(.*?)```")

// target returns the type that an example of the kind is read into.
func target(kind string) any {
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
	found := 0
	is.NoErr(eachFile(docsDir, ".md", func(path string, text []byte) {
		for _, m := range exampleBlock.FindAllSubmatch(text, -1) {
			found++
			checkExample(t, path, string(m[1]), m[2])
		}
	}))
	is.True(found > 0)
}

func checkExample(t *testing.T, path, kind string, text []byte) {
	v := target(kind)
	if v == nil {
		t.Errorf("%s: unknown kind of example %s", path, kind)
		return
	}
	if err := config.Decode(text, v); err != nil {
		t.Errorf("%s: %s: %v", path, kind, err)
	}
}

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w+`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
)

func TestTestsNamedInDocsExist(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{}
	for _, dir := range []string{codeDir, platformDir} {
		is.NoErr(eachFile(dir, "_test.go", func(_ string, text []byte) {
			for _, m := range testFunc.FindAllSubmatch(text, -1) {
				known[string(m[1])] = true
			}
		}))
	}
	named := 0
	is.NoErr(eachFile(docsDir, ".md", func(path string, text []byte) {
		for _, name := range testName.FindAllString(string(text), -1) {
			named++
			if !known[name] {
				t.Errorf("%s names %s, which does not exist", path, name)
			}
		}
	}))
	is.True(named > 0)
}

// eachFile visits the files below dir whose names end in suffix.
func eachFile(dir, suffix string, visit func(path string, text []byte)) error {
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
