// Package config holds the operators' declaration of a fleet: its data
// centres, hosts, pools, services, classes and teams.
//
// The text is INI with a section for each object, named by kind and name:
//
//	[pool "fitting"]
//	minAvailable = 8
//	tolerate     = rack
//
//	[host "mct1-r1-h1"]
//	address     = 10.1.1.1:8080
//	dataCentre  = mct1
//	rack        = r1
//	home        = fitting
//	slots       = 8
//	connections = 64
//
// Durations are Go durations ("30s"), names are letters, digits, '.', '_' and
// '-'. Parse reads the text and Text prints it, in an order that is stable to
// the byte. Between programs a configuration travels as record sections: Diff
// gives the sections that changed, With applies them.
//
// Every way to a Config validates it whole, so a Config that was obtained
// without an error is consistent. Errors are of type *Invalid and list each
// Problem with its section, key, line where a text was parsed, and what would
// be right.
//
// A Config is immutable and cheap to copy; its zero value is an empty fleet
// with the default policy.
package config
