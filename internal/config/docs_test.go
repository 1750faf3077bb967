package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	docsDir = "../../docs"
)

var exampleBlock = regexp.MustCompile("(?s)<!-- example: (\\w+) -->\n```json\n(.*?)```")

// target returns the type that an example of the kind is read into.
func target(kind string) any {
	switch kind {
	case "fleet":
		return &File{}
	case "entry":
		return &Entry{}
	case "agent":
		return &Agent{}
	case "control":
		return &Control{}
	}
	return nil
}

func TestExamplesInDocsAreValid(t *testing.T) {
	is := is.New(t)
	found := 0
	is.NoErr(filepath.WalkDir(docsDir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := os.ReadFile(path)
		is.NoErr(err)
		for _, m := range exampleBlock.FindAllSubmatch(text, -1) {
			v := target(string(m[1]))
			if v == nil {
				t.Errorf("%s: unknown kind of example %s", path, m[1])
				continue
			}
			if err := Decode(m[2], v); err != nil {
				t.Errorf("%s: %s: %v", path, m[1], err)
			}
			found++
		}
		return nil
	}))
	is.True(found >= 4)
}
