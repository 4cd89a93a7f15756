package config_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// drawSection draws a section whose references, budget or address are often
// invalid. It uses few names so that sections often refer to each other.
func drawSection(t *rapid.T) *record.Section {
	name := func(kind string) string { return fmt.Sprint(kind, rapid.IntRange(0, 2).Draw(t, kind)) }
	kind := rapid.SampledFrom([]string{"dataCentre", "class", "pool", "service", "host"}).Draw(t, "kind")
	set := map[string][]string{
		"dataCentre": {"region", "r"},
		"class":      {"deadline", "10s", "maxRun", "5s"},
		"pool":       {"minAvailable", fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "min")), "spare", fmt.Sprint(rapid.Bool().Draw(t, "spare"))},
		"service":    {"pool", name("pool"), "class", name("class")},
		"host": {
			"address", fmt.Sprint("10.0.0.", rapid.IntRange(1, 3).Draw(t, "address"), ":80"), "dataCentre", name("dataCentre"),
			"rack", "r", "home", name("pool"), "slots", "8", "connections", "64",
		},
	}[kind]
	s := &record.Section{Kind: kind, Name: name(kind)}
	for i := 0; i < len(set); i += 2 {
		s.Settings = append(s.Settings, &record.Setting{Key: set[i], Value: set[i+1]})
	}
	return s
}

// TestWithJudgesAsWhole checks that With, which validates only what a change can
// have invalidated, accepts a change if and only if FromSections accepts the
// resulting configuration, and that both return equal configurations.
func TestWithJudgesAsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c config.Config
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := drawChange(t, c)
			next, err := c.With(change)
			whole, wholeErr := config.FromSections(merge(c, change))
			assert.Equal(t, err == nil, wholeErr == nil, "%v against %v", err, wholeErr)
			if err != nil {
				continue
			}
			assert.Assert(t, next.Equal(whole))
			back, err := next.With(next.Diff(c))
			assert.NilError(t, err)
			assert.Assert(t, back.Equal(c))
			c = next
		}
	})
}

// drawChange draws a change that removes only sections of c.
func drawChange(t *rapid.T, c config.Config) *record.ConfigChange {
	r := new(record.ConfigChange)
	seen := map[string]bool{}
	for range rapid.IntRange(0, 6).Draw(t, "sections") {
		s := drawSection(t)
		if !seen[s.GetName()] {
			r.Set = append(r.Set, s)
		}
		seen[s.GetName()] = true
	}
	for _, s := range c.Sections() {
		if !seen[s.GetName()] && rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
			r.Removed = append(r.Removed, &record.SectionRef{Kind: s.GetKind(), Name: s.GetName()})
		}
	}
	return r
}

// merge returns the sections of c with a change applied.
func merge(c config.Config, change *record.ConfigChange) []*record.Section {
	gone := map[string]bool{}
	for _, s := range change.GetRemoved() {
		gone[s.GetName()] = true
	}
	for _, s := range change.GetSet() {
		gone[s.GetName()] = true
	}
	r := slices.Clone(change.GetSet())
	for _, s := range c.Sections() {
		if !gone[s.GetName()] {
			r = append(r, s)
		}
	}
	return r
}
