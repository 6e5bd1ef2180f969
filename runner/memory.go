package runner

import "runtime/debug"

const (
	// collectAt is the growth of the heap in percent at which it is collected.
	// Collections are the longest pauses of a daemon's answers.
	collectAt = 400
	// memoryLimit bounds the daemon's memory in bytes; near it the heap is
	// collected more often.
	memoryLimit = 200 << 20
)

// SetGCLimits sets how the process collects its heap. A process that runs
// daemons calls it once.
func SetGCLimits() {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(memoryLimit)
}
