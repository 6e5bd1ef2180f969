// Package timekeeper holds the one clock type of heatherhall, in milliseconds.
package timekeeper

import "time"

// Millis is a point in time or a length of time, in milliseconds. Points are
// comparable only when they come from the same clock.
type Millis int64

// Duration converts a length of time for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Clock tells the time. Its function field is the seam for virtual clocks.
type Clock struct {
	NowFunc func() Millis
}

// Real returns a clock that never goes backwards: it adds the monotonic time
// passed since the call to the wall time of the call.
func Real() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{NowFunc: func() Millis {
		return base + Millis(time.Since(start)/time.Millisecond)
	}}
}

// Now returns the present time.
func (c Clock) Now() Millis {
	return c.NowFunc()
}

// Virtual is a clock that moves only when told to. It is not safe for use by
// several goroutines.
type Virtual struct {
	at Millis
}

// NewVirtual returns a virtual clock that stands at the given time.
func NewVirtual(at Millis) *Virtual {
	return &Virtual{at: at}
}

// Advance moves the clock on by d.
func (v *Virtual) Advance(d Millis) {
	v.at += d
}

// Set moves the clock to the given time. Earlier times are ignored.
func (v *Virtual) Set(at Millis) {
	if at > v.at {
		v.at = at
	}
}

// Now returns the time the clock stands at.
func (v *Virtual) Now() Millis {
	return v.at
}

// Clock returns the virtual clock as a Clock.
func (v *Virtual) Clock() Clock {
	return Clock{NowFunc: v.Now}
}
