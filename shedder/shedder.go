// Package shedder decides when a daemon gives up the roles that it has for other
// daemons, because its own host is overloaded. It does no I/O.
package shedder

import "github.com/heatherhall/heatherhall/timekeeper"

// Settings configures a Shedder. Where two values are given, the first one starts the
// shedding and the second one, which is lower, lets it end.
type Settings struct {
	// HighLag and LowLag are average delays of the daemon's timer.
	HighLag, LowLag timekeeper.Millis
	// HighMemory and LowMemory are shares of the host's memory in percent.
	HighMemory, LowMemory int64
	// HighDelay and LowDelay are round-trip times to other hosts.
	HighDelay, LowDelay timekeeper.Millis
	// StartAfter is how long the host must be overloaded before the daemon sheds, and
	// StopAfter how long it must not be before the daemon takes roles again. StopAfter
	// doubles, up to MaxStopAfter, each time that the overload returns within
	// MaxStopAfter: then it was the roles that overloaded the host.
	StartAfter, StopAfter, MaxStopAfter timekeeper.Millis
	// Smoothing is the time over which delays are averaged, and MaxSample the longest
	// delay and time that one sample counts for. A host that was frozen once is not slow.
	Smoothing, MaxSample timekeeper.Millis
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		// Urgent operations have latency objectives of 120 ms and more, and pass the
		// timers of a gateway and a carrier.
		HighLag: 40, LowLag: 15,
		// The collector of the runtime works harder from half of the memory on.
		HighMemory: 75, LowMemory: 60,
		// An acknowledgement may be delayed by 40 ms without a queue on the link.
		HighDelay: 100, LowDelay: 60,
		StartAfter: 5000, StopAfter: 30_000, MaxStopAfter: 480_000,
		Smoothing: 5000, MaxSample: 250,
	}
}

// Shedder holds what a daemon measures about its host. It is not safe for concurrent use.
type Shedder struct {
	settings Settings
	// lag is the average delay of the timer in milliseconds.
	lag float64
	// memory is the share of the host's memory that is in use, in percent.
	memory int64
	// delay is the round-trip time to other hosts; 0 if unknown.
	delay    timekeeper.Millis
	shedding bool
	// overSince is since when the host has been overloaded, and underSince since when it
	// has been neither overloaded nor near; 0 if it is not so.
	overSince, underSince timekeeper.Millis
	// stopAfter is the present value of Settings.StopAfter, and stopped when the daemon
	// last took roles again.
	stopAfter, stopped timekeeper.Millis
}

// New returns a Shedder of a host that is not overloaded.
func New(settings Settings) *Shedder {
	return &Shedder{settings: settings, stopAfter: settings.StopAfter}
}

// ObserveTimer records that a timer which was set for a duration fired late. The average
// moves towards it by the time's part of Smoothing.
func (s *Shedder) ObserveTimer(duration, late timekeeper.Millis) {
	late = min(max(late, 0), s.settings.MaxSample)
	weight := float64(min(max(duration+late, 1), s.settings.MaxSample)) / float64(s.settings.Smoothing)
	s.lag += (float64(late) - s.lag) * min(weight, 1)
}

// ObserveLink records the median round-trip time to other hosts, or 0 if it is unknown.
// It rises for most of them at once if this host's link is the narrow one.
func (s *Shedder) ObserveLink(delay timekeeper.Millis) {
	s.delay = delay
}

// ObserveMemory records the memory in use and the host's memory; a limit of 0 is unknown.
func (s *Shedder) ObserveMemory(used, limit int64) {
	s.memory = 0
	if limit > 0 {
		s.memory = 100 * used / limit
	}
}

// Update decides whether the daemon sheds its roles and reports whether that changed.
// others is how many other daemons of its failure domain shed theirs and limit how many
// may do so at the same time.
func (s *Shedder) Update(now timekeeper.Millis, others, limit int) bool {
	over := s.lag >= float64(s.settings.HighLag) || s.memory >= s.settings.HighMemory || s.delay >= s.settings.HighDelay
	under := s.lag < float64(s.settings.LowLag) && s.memory < s.settings.LowMemory && s.delay < s.settings.LowDelay
	s.overSince, s.underSince = since(now, over, s.overSince), since(now, under, s.underSince)
	switch {
	case !s.shedding && over && now-s.overSince >= s.settings.StartAfter && others < limit:
		s.shedding = true
		if s.stopped > 0 && now-s.stopped < s.settings.MaxStopAfter {
			s.stopAfter = min(2*s.stopAfter, s.settings.MaxStopAfter)
		} else {
			s.stopAfter = s.settings.StopAfter
		}
		return true
	case s.shedding && under && now-s.underSince >= s.stopAfter:
		s.shedding, s.stopped = false, now
		return true
	}
	return false
}

// Stop makes the daemon take roles again at once.
func (s *Shedder) Stop() {
	s.shedding, s.overSince = false, 0
}

// since returns since when a condition holds, or 0 if it does not hold.
func since(now timekeeper.Millis, holds bool, before timekeeper.Millis) timekeeper.Millis {
	if !holds {
		return 0
	}
	if before == 0 {
		return now
	}
	return before
}

// Shedding reports whether the daemon sheds its roles.
func (s *Shedder) Shedding() bool {
	return s.shedding
}

// Lag returns the average delay of the daemon's timer.
func (s *Shedder) Lag() timekeeper.Millis {
	return timekeeper.Millis(s.lag)
}

// Memory returns the share of the host's memory in use, in percent.
func (s *Shedder) Memory() int64 {
	return s.memory
}

// LinkDelay returns the median round-trip time to other hosts, or 0 if it is unknown.
func (s *Shedder) LinkDelay() timekeeper.Millis {
	return s.delay
}
