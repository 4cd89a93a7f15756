// Package capacity measures the resources of entries with real processes on
// loopback. It reports processor time, memory and bytes per second by the number
// of hosts and entries, the time until a configuration change is in force on
// every entry, the latency that an entry adds to a request, and the cost of keyed
// requests.
//
//	go test ./standin/capacity -run xxx -bench . -benchtime 1x
//
// It has benchmarks only; docs/CAPACITY.md records their results.
package capacity
