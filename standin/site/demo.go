package site

import _ "embed" // The calm day is part of the program.

// CalmDay is a session with a job of each kind.
//
//go:embed testdata/calmDay.txt
var DefaultSession string
