// Package soak runs real entries on the emulated platform of package site under a random
// schedule of signals, restarts, faults and changes, which come in series and overlap.
// Callers keep using their open connections meanwhile. A seed determines the schedule and
// the jobs, not the timing of the processes.
//
// The entries are checked from outside, by what callers were told and what upstreams ran. In
// pauses without faults, package site finds tasks that run on after their jobs were cancelled.
// After the last fault all accepted jobs must end, and long-running tasks must be at work
// again, within the bounds of the platform's rules.
package soak
