package plan_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

// size returns a fleet by name.
func size(t assert.TestingT, name string) config.Config {
	if name == "large" {
		c, err := configtest.Large()
		assert.NilError(t, err)
		return c
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "operator", "testdata", name+".ini"))
	assert.NilError(t, err)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	return c
}

func waveStart(name string) *record.Record {
	return &record.Record{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: name}}}
}

func TestWaveOfBothUsers(t *testing.T) {
	for _, name := range []string{"association", "paddockpick"} {
		w := newWorld(t, size(t, name), plan.Plan)
		w.run(time.Minute)
		w.must(waveStart("w"))
		d := w.runUntil(24*time.Hour, func() bool { return len(w.state.Waves()) == 0 })
		t.Log(name, d, "moves", w.moves, "rejected", w.rejected, "of", w.proposed, "spare", float64(w.spare)/float64(w.ticks))
	}
}
