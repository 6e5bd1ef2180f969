package timekeeper

import "golang.org/x/sys/unix"

// BootTime returns a clock that goes on while the host is suspended, as leases ask
// for. Where the system has no such clock it is the same as Real.
func BootTime() Clock {
	if _, err := boot(); err != nil {
		return Real()
	}
	return Clock{NowFunc: func() Millis {
		now, _ := boot() // it worked above, with the same arguments
		return now
	}}
}

func boot() (Millis, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return Millis(t.Sec*1000 + t.Nsec/1e6), nil
}
