package config

import (
	"net/netip"
	"time"
)

// The kinds of section, in the order in which they are printed.
const (
	_kindFleet      = "fleet"
	_kindDataCentre = "dataCentre"
	_kindClass      = "class"
	_kindTeam       = "team"
	_kindPool       = "pool"
	_kindService    = "service"
	_kindHost       = "host"
)

// Keys that validation across sections names.
const (
	_keyAddress      = "address"
	_keyDataCentre   = "dataCentre"
	_keyHome         = "home"
	_keyPool         = "pool"
	_keyClass        = "class"
	_keyMinAvailable = "minAvailable"
	_keyStartWithin  = "startWithin"
)

var _fleetFields = []field[Fleet]{
	durationField("maintenanceEvery", func(f *Fleet) *time.Duration { return &f.maintenanceEvery }),
	durationField("liveListLag", func(f *Fleet) *time.Duration { return &f.liveListLag }),
	durationField("stalenessBound", func(f *Fleet) *time.Duration { return &f.stalenessBound }),
	durationField("keyWindow", func(f *Fleet) *time.Duration { return &f.keyWindow }),
	countField("bufferWeight", 0, func(f *Fleet) *int { return &f.bufferWeight }),
	countField("rollOutWeight", 0, func(f *Fleet) *int { return &f.rollOutWeight }),
	countField("moveWeight", 0, func(f *Fleet) *int { return &f.moveWeight }),
}

var _dataCentreFields = []field[DataCentre]{
	nameField("region", func(d *DataCentre) *string { return &d.region }).need(),
}

var _classFields = []field[Class]{
	flagField("urgent", func(c *Class) *bool { return &c.urgent }),
	durationField(_keyStartWithin, func(c *Class) *time.Duration { return &c.startWithin }),
	durationField("deadline", func(c *Class) *time.Duration { return &c.deadline }).need(),
	durationField("maxRun", func(c *Class) *time.Duration { return &c.maxRun }).need(),
}

var _teamFields = []field[Team]{
	countField("weight", 1, func(t *Team) *int { return &t.weight }).need(),
	countField("quota", 0, func(t *Team) *int { return &t.quota }),
}

var _poolFields = []field[Pool]{
	countField(_keyMinAvailable, 0, func(p *Pool) *int { return &p.minAvailable }),
	domainField("tolerate", func(p *Pool) *Domain { return &p.tolerate }),
	flagField("spare", func(p *Pool) *bool { return &p.spare }),
}

var _serviceFields = []field[Service]{
	nameField(_keyPool, func(s *Service) *string { return &s.pool }).need(),
	nameField(_keyClass, func(s *Service) *string { return &s.class }).need(),
	flagField("idempotent", func(s *Service) *bool { return &s.idempotent }),
}

var _hostFields = []field[Host]{
	addressField(_keyAddress, func(h *Host) *netip.AddrPort { return &h.address }).need(),
	nameField(_keyDataCentre, func(h *Host) *string { return &h.dataCentre }).need(),
	nameField("rack", func(h *Host) *string { return &h.rack }).need(),
	nameField("batch", func(h *Host) *string { return &h.batch }),
	nameField(_keyHome, func(h *Host) *string { return &h.home }).need(),
	countField("slots", 1, func(h *Host) *int { return &h.slots }).need(),
	countField("connections", 1, func(h *Host) *int { return &h.connections }).need(),
}

// _kinds lists the kinds of section in the order of print.
var _kinds = []kind{
	newKind(_kindFleet, _fleetFields, newFleet, func(d *data) *table[Fleet] { return &d.fleet }),
	newKind(_kindDataCentre, _dataCentreFields, func(n string) DataCentre { return DataCentre{name: n} }, func(d *data) *table[DataCentre] { return &d.dataCentres }),
	newKind(_kindClass, _classFields, func(n string) Class { return Class{name: n} }, func(d *data) *table[Class] { return &d.classes }),
	newKind(_kindTeam, _teamFields, func(n string) Team { return Team{name: n} }, func(d *data) *table[Team] { return &d.teams }),
	newKind(_kindPool, _poolFields, func(n string) Pool { return Pool{name: n} }, func(d *data) *table[Pool] { return &d.pools }),
	newKind(_kindService, _serviceFields, func(n string) Service { return Service{name: n} }, func(d *data) *table[Service] { return &d.services }),
	newKind(_kindHost, _hostFields, func(n string) Host { return Host{name: n} }, func(d *data) *table[Host] { return &d.hosts }),
}
