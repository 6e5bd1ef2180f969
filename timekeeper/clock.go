// Package timekeeper provides the time and clock types that all of heatherhall
// uses, in milliseconds, and virtual clocks and timers for simulations.
package timekeeper

import "time"

// Millis is a point in time or a length of time, in milliseconds. Points are
// comparable only when they come from the same clock.
type Millis int64

// Duration converts a length of time to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock returns the current time by calling NowFunc, which virtual clocks
// replace.
type Clock struct {
	NowFunc func() Millis
}

// Real returns a clock that never goes backwards: it adds the monotonic time
// since the call of Real to the wall time of that call.
func Real() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{NowFunc: func() Millis {
		return base + Millis(time.Since(start)/time.Millisecond)
	}}
}

// Now returns the current time.
func (c Clock) Now() Millis {
	return c.NowFunc()
}

// Virtual is a clock that changes only through Advance and Set. It is not safe
// for concurrent use.
type Virtual struct {
	now Millis
}

// NewVirtual returns a virtual clock with the given current time.
func NewVirtual(now Millis) *Virtual {
	return &Virtual{now: now}
}

// Advance moves the clock forward by d.
func (v *Virtual) Advance(d Millis) {
	v.now += d
}

// Set sets the clock to the given time. Times before the current one are ignored.
func (v *Virtual) Set(now Millis) {
	if now > v.now {
		v.now = now
	}
}

// Now returns the current time.
func (v *Virtual) Now() Millis {
	return v.now
}

// Clock returns the virtual clock as a Clock.
func (v *Virtual) Clock() Clock {
	return Clock{NowFunc: v.Now}
}
