package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/record"
)

func TestLargeSize(t *testing.T) {
	c, err := configtest.Large()
	assert.NilError(t, err)
	assert.Equal(t, len(c.Hosts()), configtest.Hosts)
	assert.Equal(t, len(c.Pools()), configtest.Pools)
	assert.Equal(t, len(c.Teams()), configtest.Teams)
	assert.Equal(t, len(c.DataCentres()), configtest.DataCentres)
}

func BenchmarkParseLarge(b *testing.B) {
	c, err := configtest.Large()
	assert.NilError(b, err)
	text := c.Text()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := config.Parse(text)
		assert.NilError(b, err)
	}
}

func BenchmarkWithLarge(b *testing.B) {
	c, err := configtest.Large()
	assert.NilError(b, err)
	changes := map[string]*record.ConfigChange{
		"team": {Set: []*record.Section{{Kind: "team", Name: "team007", Settings: []*record.Setting{{Key: "weight", Value: "2"}}}}},
		"pool": {Set: []*record.Section{{Kind: "pool", Name: "pool007", Settings: []*record.Setting{{Key: "minAvailable", Value: "2"}}}}},
		"host": {Set: c.Sections()[len(c.Sections())-1:]},
	}
	for name, change := range changes {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := c.With(change)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkHost(b *testing.B) {
	c, err := configtest.Large()
	assert.NilError(b, err)
	for b.Loop() {
		_, ok := c.Host("host2048")
		assert.Assert(b, ok)
	}
}
