// Package configtest generates large configurations for tests and benchmarks.
package configtest

import (
	"fmt"
	"net/netip"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// The size of the fleet that Large returns, which is the size the design targets.
const (
	Hosts       = 3300
	Pools       = 261
	SparePools  = 7
	Teams       = 120
	DataCentres = 7

	_sparesPerDataCentre = 10
	_hostsPerRack        = 20
	_batches             = 10
	_regions             = 2
)

// Large returns a fleet of 3,300 hosts in 7 data centres of 2 regions and 261
// pools. Each data centre has a spare pool with 10 hosts. The other pools have 12
// or 13 hosts spread over the data centres. Their budgets allow a tenth of the
// hosts, rounded up, to be unavailable, and they tolerate the loss of a rack.
func Large() (config.Config, error) {
	return config.FromSections(Sections())
}

// Sections returns the sections of the configuration that Large returns.
func Sections() []*record.Section { return Size{Hosts: Hosts, Pools: Pools}.Sections() }

// Size describes a fleet like that of Large with other numbers of hosts and
// pools, to measure how a cost grows with the size of the fleet.
type Size struct {
	// Hosts is the number of hosts, at least 80. Pools is the number of pools
	// including the spare pools, at least 8.
	Hosts, Pools int
}

// Sections returns the sections of a fleet of size s.
func (s Size) Sections() []*record.Section {
	var r []*record.Section
	for i := range DataCentres {
		r = append(r, section(config.KindDataCentre, dataCentre(i), config.KeyRegion, fmt.Sprintf("region%d", i%_regions)))
	}
	r = append(r, section(config.KindClass, "urgent", config.KeyUrgent, "true", config.KeyStartWithin, "1.1s", config.KeyDeadline, "10s", config.KeyMaxRun, "5s"),
		section(config.KindClass, "long", config.KeyDeadline, "24h", config.KeyMaxRun, "2h"))
	for i := range Teams {
		r = append(r, section(config.KindTeam, fmt.Sprintf("team%03d", i), config.KeyWeight, "1", config.KeyQuota, "16"))
	}
	homes := make(map[string]int, s.Pools)
	for i := range s.Hosts {
		h := s.hostSection(i)
		homes[s.home(i)]++
		r = append(r, h)
	}
	return append(r, s.poolSections(homes)...)
}

// poolSections returns the sections of the pools and their services. homes is the
// number of hosts of each pool, from which the budgets follow.
func (s Size) poolSections(homes map[string]int) []*record.Section {
	var r []*record.Section
	for i := range SparePools {
		r = append(r, section(config.KindPool, spare(i), config.KeySpare, "true"))
	}
	for i := range s.Pools - SparePools {
		n := homes[pool(i)]
		r = append(r,
			section(config.KindPool, pool(i), config.KeyMinAvailable, fmt.Sprint(n-(n+9)/10), config.KeyTolerate, "rack"),
			section(config.KindService, fmt.Sprintf("service%03d", i), config.KeyPool, pool(i), config.KeyClass, "urgent"))
	}
	return r
}

// hostSection returns the section of host i. Hosts are assigned to the data
// centres in rotation. Batches are mixed so that each data centre, rack and pool
// has hosts of several batches.
func (s Size) hostSection(i int) *record.Section {
	at := i / DataCentres
	return section(config.KindHost, fmt.Sprintf("host%04d", i),
		config.KeyAddress, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % DataCentres), byte(at >> 8), byte(at)}), 8080).String(),
		config.KeyDataCentre, dataCentre(i%DataCentres),
		config.KeyRack, fmt.Sprintf("r%02d", at/_hostsPerRack),
		config.KeyBatch, fmt.Sprintf("batch%d", (i*7+i/11)%_batches),
		config.KeyHome, s.home(i),
		config.KeySlots, "8",
		config.KeyConnections, "64")
}

// home returns the pool of host i. The first hosts of each data centre belong to
// its spare pool.
func (s Size) home(i int) string {
	if i < SparePools*_sparesPerDataCentre {
		return spare(i % DataCentres)
	}
	return pool((i - SparePools*_sparesPerDataCentre) % (s.Pools - SparePools))
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i) }

func pool(i int) string { return fmt.Sprintf("pool%03d", i) }

func spare(i int) string { return fmt.Sprintf("spare%d", i) }

// section returns a section with the given alternating keys and values.
func section(kind, name string, keysAndValues ...string) *record.Section {
	r := &record.Section{Kind: kind, Name: name}
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		r.Settings = append(r.Settings, &record.Setting{Key: keysAndValues[i], Value: keysAndValues[i+1]})
	}
	return r
}
