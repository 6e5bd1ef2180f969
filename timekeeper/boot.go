package timekeeper

import "golang.org/x/sys/unix"

// BootTime returns a clock that continues while the host is suspended, which
// leases require. On systems without such a clock it returns Real.
func BootTime() Clock {
	if _, err := readBootClock(); err != nil {
		return Real()
	}
	return Clock{NowFunc: func() Millis {
		now, _ := readBootClock() // the same call succeeded above
		return now
	}}
}

func readBootClock() (Millis, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return Millis(t.Sec*1000 + t.Nsec/1e6), nil
}
