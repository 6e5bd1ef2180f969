package runner

import "runtime/debug"

const (
	// gcPercent is the heap growth in percent that triggers a garbage collection.
	// It is above Go's default of 100 since garbage collections cause a daemon's
	// longest response times.
	gcPercent = 400
	// memoryLimit is the soft limit of the daemon's memory in bytes. Garbage
	// collections become more frequent near it.
	memoryLimit = 200 << 20
)

// SetGCLimits sets the heap growth that triggers a garbage collection and the
// soft memory limit of the process. A process that runs daemons calls it once.
func SetGCLimits() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
