// Package capacity measures what the control of an entry costs, with real
// processes on loopback: processor time, memory and bytes a second, by number
// of hosts and of entries, and the time until a change of the configuration is
// in force on every entry.
//
//	go test ./standin/capacity -run xxx -bench . -benchtime 1x
//
// It has benchmarks only; docs/CAPACITY.md keeps their figures.
package capacity
