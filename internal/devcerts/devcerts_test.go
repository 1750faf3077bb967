package devcerts

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"crocusnotch/internal/wire"
)

func TestWrittenFilesLoad(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	set, err := New(time.Now())
	is.NoErr(err)
	is.NoErr(set.Write(dir))
	_, err = wire.LoadMutualTLS(wire.TLSFiles{
		Cert: filepath.Join(dir, FileProcessCert),
		Key:  filepath.Join(dir, FileProcessKey),
		CA:   filepath.Join(dir, FileCA),
	})
	is.NoErr(err)
}
