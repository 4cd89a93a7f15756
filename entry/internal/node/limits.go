package node

import (
	"runtime/debug"
	"time"

	"fescuelanding/entry/internal/intake"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/platform"
)

const (
	// _headerTimeout and _idleTimeout apply to connections of callers.
	_headerTimeout = 3 * time.Second
	_idleTimeout   = 30 * time.Second
	// _maxHeaderBytes limits the size of a request's headers. 16 KiB is the operator's
	// usual limit.
	_maxHeaderBytes = 16 << 10
	// _maxReadyHeaderBytes is that of a request of the load balancer.
	_maxReadyHeaderBytes = 4 << 10

	// _defaultMemoryMB and _defaultFiles apply if the boot file has no limits.
	_defaultMemoryMB = 256
	_defaultFiles    = 4096
	// _maxMemoryMB is the largest limit that is believed.
	_maxMemoryMB = 1 << 20
	// _reservedFiles is how many descriptors are reserved for files.
	_reservedFiles = 200
	// _callerFiles is the inverse of the share of the other descriptors that callers may use.
	// Upstreams, the store and other entries need them too.
	_callerFiles = 2
	// _callerMemory is the inverse of the share of the memory that callers' connections may
	// hold.
	_callerMemory = 4
	// _heapQuarters is the share of the memory, in quarters, from which the garbage collector
	// works harder. The rest is for the kernel's buffers.
	_heapQuarters = 3
	// _readyConns and _readyBytes limit the connections to the address of the health check.
	_readyConns = 64
	_readyBytes = 4 << 20
)

// limits are the process's limits, and what callers may use of them.
type limits struct {
	// heap is zero if the boot file has no limit of memory.
	heap        int64
	callerBytes int64
	callerConns int
}

// limitsOf returns the limits of a boot file.
func limitsOf(b platform.Boot) limits {
	mb, files := b.MemoryMB, b.MaxFiles
	l := limits{}
	if mb > 0 {
		mb = min(mb, _maxMemoryMB)
		l.heap = mb << 20 / 4 * _heapQuarters
	} else {
		mb = _defaultMemoryMB
	}
	if files <= 0 {
		files = _defaultFiles
	}
	l.callerBytes = mb << 20 / _callerMemory
	l.callerConns = max((files-_reservedFiles)/_callerFiles, 1)
	return l
}

// limitHeap sets the memory limit of the garbage collector.
func (l limits) limitHeap() {
	if l.heap > 0 {
		debug.SetMemoryLimit(l.heap)
	}
}

// callers returns the budget of callers' connections.
func (l limits) callers(g *logging.Log) *intake.Budget {
	return &intake.Budget{Name: "callers", MaxBytes: l.callerBytes, MaxConns: l.callerConns, Log: g.Warn}
}

// ready returns the budget of connections to the address of the health check.
func (limits) ready(g *logging.Log) *intake.Budget {
	return &intake.Budget{Name: "ready", MaxBytes: _readyBytes, MaxConns: _readyConns, Log: g.Warn}
}
