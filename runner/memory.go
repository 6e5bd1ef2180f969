package runner

import (
	"cmp"
	"runtime/debug"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/listener"
	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// gcPercent is the heap growth in percent that triggers a garbage collection.
	// It is above Go's default of 100 since garbage collections cause a daemon's
	// longest response times.
	gcPercent = 400
	// memoryLimitDivisor divides the daemon's memory into the soft limit of the Go
	// runtime, near which garbage collections become more frequent. The parser of
	// statements has memory of its own.
	memoryLimitDivisor = 2
	// memoryDivisor divides the daemon's memory into the default budget for clients.
	memoryDivisor = 3
	// stateKB is the default limit of a client's prepared statements in KiB: a
	// statement of the longest message, and some more.
	stateKB = 20 << 10
	// resultMB is the default limit of one result in MiB.
	resultMB = 16
	// messageTimeout is the default limit of the time for the rest of a batch. 16 MB
	// take 13 s at 10 Mbit/s.
	messageTimeout timekeeper.Millis = 60_000
)

// SetGCLimits sets the heap growth that triggers a garbage collection and the
// soft memory limit of the process. A process that runs daemons calls it once.
func SetGCLimits(settings configurer.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cmp.Or(settings.Memory, configurer.DefaultMemory) << 20 / memoryLimitDivisor)
}

// clientLimits returns the limits of clients.
func clientLimits(settings configurer.Settings) rationer.Limits {
	return settings.Limits.WithDefaults(rationer.Host{
		Memory: cmp.Or(settings.Memory, configurer.DefaultMemory), Descriptors: guarder.MaxDescriptors(settings.Descriptors),
		MemoryDivisor: memoryDivisor, MessageCost: 16 << 20 * listener.StatementCopies, State: stateKB, Result: resultMB, Message: messageTimeout,
	})
}
