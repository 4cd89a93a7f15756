package config_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// files returns the contents of the .ini files of a testdata folder, keyed by file
// name without the extension.
func files(t testing.TB, dir string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", dir, "*.ini"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	r := make(map[string][]byte, len(paths))
	for _, p := range paths {
		text, err := os.ReadFile(p)
		assert.NilError(t, err)
		r[strings.TrimSuffix(filepath.Base(p), ".ini")] = text
	}
	return r
}

func TestInvalid(t *testing.T) {
	for name, text := range files(t, "invalid") {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse(text)
			var e *config.Invalid
			assert.Assert(t, errors.As(err, &e))
			golden.Assert(t, err.Error()+"\n", filepath.Join("invalid", name+".golden"))
		})
	}
}

func TestValidRoundTrip(t *testing.T) {
	for name, text := range files(t, "valid") {
		t.Run(name, func(t *testing.T) {
			c, err := config.Parse(text)
			assert.NilError(t, err)
			golden.Assert(t, string(c.Text()), filepath.Join("valid", name+".golden"))

			again, err := config.Parse(c.Text())
			assert.NilError(t, err)
			assert.Equal(t, string(again.Text()), string(c.Text()))

			s, err := config.FromSections(c.Sections())
			assert.NilError(t, err)
			assert.Assert(t, s.Equal(c))
		})
	}
}

func TestZeroValueIsEmptyFleet(t *testing.T) {
	var c config.Config
	assert.Equal(t, len(c.Text()), 0)
	assert.Equal(t, len(c.Hosts()), 0)
	assert.Equal(t, c.Fleet().MaintenanceEvery(), config.DefaultMaintenanceEvery)
}

func TestWithKeepsOriginal(t *testing.T) {
	a := parseSmall(t)
	before := string(a.Text())
	b, err := a.With(&record.ConfigChange{
		Set:     []*record.Section{{Kind: "team", Name: "qurum", Settings: []*record.Setting{{Key: "weight", Value: "1"}}}},
		Removed: []*record.SectionRef{{Kind: "host", Name: "h2"}, {Kind: "team", Name: "ruwi"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, string(a.Text()), before)
	_, ok := b.Host("h2")
	assert.Assert(t, !ok)
	_, ok = b.Team("qurum")
	assert.Assert(t, ok)

	back, err := b.With(b.Diff(a))
	assert.NilError(t, err)
	assert.Assert(t, back.Equal(a))
	assert.Assert(t, !b.Equal(a))
}

func TestWithRejectsInvalidChange(t *testing.T) {
	tests := []struct {
		give   *record.ConfigChange
		reason error
	}{
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "host", Name: "h9"}}}, config.ErrAbsent},
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "zone", Name: "z"}}}, config.ErrAbsent},
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "pool", Name: "spare"}}}, config.ErrReference},
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "dataCentre", Name: "mct1"}}}, config.ErrReference},
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "class", Name: "counter"}}}, config.ErrReference},
		{&record.ConfigChange{Removed: []*record.SectionRef{{Kind: "host", Name: "h1"}}}, config.ErrBudget},
		{&record.ConfigChange{Set: []*record.Section{{Kind: "team", Name: "a"}, {Kind: "team", Name: "a"}}}, config.ErrDuplicate},
	}
	c := parseSmall(t)
	for i, tt := range tests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			_, err := c.With(tt.give)
			assert.ErrorIs(t, err, tt.reason)
		})
	}
}

func TestProblemLocation(t *testing.T) {
	_, err := config.Parse([]byte("[pool \"fitting\"]\n\nminAvailable = 2\n"))
	var p *config.Problem
	assert.Assert(t, errors.As(err, &p))
	assert.Equal(t, p.Section(), `pool "fitting"`)
	assert.Equal(t, p.Key(), "minAvailable")
	assert.Equal(t, p.Line(), 3)
}

func parseSmall(t *testing.T) config.Config {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "valid", "small.ini"))
	assert.NilError(t, err)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	return c
}
