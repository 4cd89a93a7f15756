package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
)

// FuzzParse checks that Parse doesn't panic on any text, and that a configuration
// that it accepts is equal after it is printed and parsed again.
func FuzzParse(f *testing.F) {
	for _, dir := range []string{"valid", "invalid"} {
		for _, text := range files(f, dir) {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := config.Parse(text)
		if err != nil {
			return
		}
		again, err := config.Parse(c.Text())
		assert.NilError(t, err)
		assert.Assert(t, again.Equal(c))
	})
}
