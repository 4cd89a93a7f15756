// Package config defines the configuration of a fleet: its data centres, hosts,
// pools, services, classes and teams, as operators declare them. It parses,
// validates, prints and compares configurations.
//
// The text form is INI. Each object has a section whose header gives its kind
// and its name:
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
// Durations are Go durations ("30s"). Names consist of letters, digits, '.', '_'
// and '-'. Parse reads the text and Config.Text prints it; equal configurations
// print equal bytes. Programs exchange configurations as record sections:
// Config.Diff returns the sections that changed, and Config.With applies them:
//
//	c, err := config.Parse(text)
//	if err != nil {
//		return err
//	}
//	change := current.Diff(c)
//	next, err := current.With(change)
//
// Parse, FromSections and Config.With validate the whole configuration, so a
// Config that was obtained without an error is consistent. Their errors are of
// type *Invalid and list each Problem with its section, its key, the expected
// value and, for parsed text, the line.
//
// A Config is immutable and cheap to copy; its zero value is an empty fleet
// with the default policy.
package config
