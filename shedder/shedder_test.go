package shedder_test

import (
	"testing"

	"github.com/heatherhall/heatherhall/shedder"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// load is what a host measures for a time.
type load struct {
	lasts  timekeeper.Millis
	late   timekeeper.Millis
	memory int64
	delay  timekeeper.Millis
}

// play feeds the loads to a Shedder, with a tick of 10 ms and a decision each second, and
// returns when its decision changed.
func play(loads []load, others, limit int) []timekeeper.Millis {
	s, now, decided := shedder.New(shedder.DefaultSettings()), timekeeper.Millis(1000), timekeeper.Millis(1000)
	var changes []timekeeper.Millis
	for _, l := range loads {
		for until := now + l.lasts; now < until; {
			now += 10 + l.late
			s.ObserveTimer(10, l.late)
			if now-decided < 1000 {
				continue
			}
			decided = now
			s.ObserveMemory(l.memory, 100)
			s.ObserveLink(l.delay)
			if s.Update(now, others, limit) {
				changes = append(changes, now)
			}
		}
	}
	return changes
}

// TestShedder guards against a host that keeps its roles while it is overloaded, against
// one that sheds them after a single pause, and against roles that come and go.
func TestShedder(t *testing.T) {
	const second = timekeeper.Millis(1000)
	slow := load{lasts: 30 * second, late: 80}
	idle := load{lasts: 120 * second}
	tests := map[string]struct {
		loads         []load
		others, limit int
		want          int
	}{
		"idle":                             {[]load{idle}, 0, 3, 0},
		"a timer that is a little late":    {[]load{{lasts: 60 * second, late: 20}}, 0, 3, 0},
		"slow":                             {[]load{slow}, 0, 3, 1},
		"slow, then idle":                  {[]load{slow, idle}, 0, 3, 2},
		"slow, then a short rest":          {[]load{slow, {lasts: 20 * second}, slow}, 0, 3, 1},
		"slow, then less so":               {[]load{slow, {lasts: 120 * second, late: 25}}, 0, 3, 1},
		"frozen once":                      {[]load{idle, {lasts: 1, late: 20 * second}, idle}, 0, 3, 0},
		"short of memory":                  {[]load{{lasts: 10 * second, memory: 80}}, 0, 3, 1},
		"a throttled link":                 {[]load{{lasts: 10 * second, delay: 150}}, 0, 3, 1},
		"a throttled link for a moment":    {[]load{{lasts: 3 * second, delay: 150}, idle}, 0, 3, 0},
		"others shed already":              {[]load{slow}, 3, 3, 0},
		"alone in its domain":              {[]load{slow}, 0, 0, 0},
		"memory between the two limits":    {[]load{{lasts: 10 * second, memory: 80}, {lasts: 120 * second, memory: 65}}, 0, 3, 1},
		"the roles overload it, six times": {[]load{slow, {lasts: 45 * second}, slow, {lasts: 45 * second}, slow, {lasts: 45 * second}, slow, {lasts: 45 * second}, slow, {lasts: 45 * second}, slow}, 0, 3, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := play(test.loads, test.others, test.limit); len(got) != test.want {
				t.Errorf("changes at %v, want %d", got, test.want)
			}
		})
	}
}
