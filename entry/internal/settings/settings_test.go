package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFiles reads each file of testdata and compares the errors with its golden
// file, which is empty for a valid file.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			b, err := os.ReadFile(f)
			assert.NilError(t, err)
			got := ""
			if _, err := Parse(filepath.Base(f), b); err != nil {
				got = err.Error() + "\n"
			}
			golden.Assert(t, got, filepath.Base(f)+".golden")
		})
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, Reference(&b))
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), b.String()), "docs/SETTINGS.md is out of date; want\n%s", b.String())
}

func TestDefaults(t *testing.T) {
	b, err := os.ReadFile("testdata/right.ini")
	assert.NilError(t, err)
	s, err := Parse("right.ini", b)
	assert.NilError(t, err)
	assert.Equal(t, s.Name(), "muscat1a")
	assert.Equal(t, s.MaxRequests(), 4096)
	assert.Equal(t, s.Memory(), int64(256<<20))
	assert.Equal(t, len(s.Seeds()), 1)
	assert.Equal(t, s.PeerAddress(), s.Peer())
}

func TestPeerAddress(t *testing.T) {
	b, err := os.ReadFile("testdata/right.ini")
	assert.NilError(t, err)
	s, err := Parse("right.ini", append(b, "[entry]\npeerAddress = 127.0.0.2:8181\n"...))
	assert.NilError(t, err)
	assert.Equal(t, s.PeerAddress().String(), "127.0.0.2:8181")
	assert.Equal(t, s.Peer().String(), "127.0.0.1:8081")
}

func TestMemoryHasRoomForBodies(t *testing.T) {
	b, err := os.ReadFile("testdata/right.ini")
	assert.NilError(t, err)
	s, err := Parse("right.ini", append(b, "[limits]\nmemory = 2000000\n"...))
	assert.NilError(t, err)
	assert.Equal(t, s.Memory(), 8*s.MaxBody())
	s, err = Parse("right.ini", append(b, "[limits]\nmemory = 2000000\nmaxBodyBytes = 1000\n"...))
	assert.NilError(t, err)
	assert.Equal(t, s.Memory(), int64(2000000))
}
