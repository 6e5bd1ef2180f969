package placer

// Resources are what a host gives its daemon. A figure of 0 is unknown.
type Resources struct {
	// Cores is how many seconds of processor time the daemon may use in a second.
	Cores float64
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps float64
	// MemoryMB is the host's memory in MiB.
	MemoryMB int64
	// MaxFDs is the limit of open file descriptors.
	MaxFDs int64
}

// What a daemon uses for itself, and for a statement that it runs as a carrier. The
// ratios matter, since a capacity is compared with those of other hosts only.
const (
	// reservedCores is what a daemon uses without carrying: the middle daemon of a
	// fleet of 100 used 0.116 of a core, see docs/CAPACITY.md.
	reservedCores = 0.1
	// minCoresDivisor keeps a share of the processor for carrying where reservedCores
	// leaves less, so that fleets of small hosts only still differ by their size.
	minCoresDivisor = 8
	// statementCores is the processor time in seconds and statementBytes the traffic
	// in each direction of a carried statement.
	statementCores, statementBytes = 150e-6, 2000
	// reservedMB is the memory of a daemon without carried work, of the half of the
	// host's memory that the runtime may fill, and statementKB the memory of the
	// statements that wait and run for each carried statement a second.
	reservedMB, statementKB = 32, 32
	// reservedFDs are the file descriptors of files, the store and other daemons, and
	// statementFDs the connections for each carried statement a second.
	reservedFDs, statementFDs = 400, 1
)

// Capacity returns how many statements a second a host can carry for other daemons
// with the resource that it has least of, at least 1. It is 0 if the processor's share
// is unknown: the other figures alone say little.
func (r Resources) Capacity() int64 {
	if r.Cores <= 0 {
		return 0
	}
	capacity := max(r.Cores-reservedCores, r.Cores/minCoresDivisor) / statementCores
	if r.LinkMbps > 0 {
		capacity = min(capacity, r.LinkMbps*1e6/8/statementBytes)
	}
	if r.MemoryMB > 0 {
		capacity = min(capacity, float64(r.MemoryMB/2-reservedMB)*1024/statementKB)
	}
	if r.MaxFDs > 0 {
		capacity = min(capacity, float64(r.MaxFDs-reservedFDs)/statementFDs)
	}
	return max(int64(capacity), 1)
}
