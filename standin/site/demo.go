package site

import _ "embed" // For the default session.

// DefaultSession is a session that submits a job of each kind and injects no faults.
//
//go:embed testdata/calmDay.txt
var DefaultSession string
