package multiplexer

import (
	"testing"

	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// TestSuspects guards against reads that go on to a replica of the own domain that
// fails, drops answers while its connections open, or is far behind: after the
// first few only single reads show whether it works, and clients notice none of
// them.
func TestSuspects(t *testing.T) {
	for name, test := range map[string]struct {
		fault, mend func(*fakeServer)
		// most is how many reads the replica may get in 10 s of the fault.
		most int
	}{
		"failing": {
			func(s *fakeServer) { s.failing = true },
			func(s *fakeServer) { s.failing = false }, 20,
		},
		"drops answers": {
			func(s *fakeServer) { s.dropAnswers = true },
			func(s *fakeServer) { s.dropAnswers = false }, 25,
		},
		"flapping": {
			func(s *fakeServer) { s.flapping = 300 },
			func(s *fakeServer) { s.flapping = 0 }, 60,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newBalanced(t, 8, "b")
			var before, during, after counts
			h.stream("standard", aRead, 10, 1000, &before)
			h.run(1200)
			test.fault(h.servers["s1"])
			h.stream("standard", aRead, 10, 10_000, &during)
			if ran := h.ranIn(10_000)["s1"]; ran > test.most {
				t.Errorf("the replica got %d reads in 10 s, want %d or fewer", ran, test.most)
			}
			h.run(500)
			if during.failed > 0 || during.served < 990 {
				t.Errorf("reads: %+v, want 990 of 1000 served and none failed", during)
			}
			test.mend(h.servers["s1"])
			h.run(17_000)
			h.stream("standard", aRead, 10, 5000, &after)
			h.run(3000)
			if ran := h.ranIn(2000)["s1"]; ran < 180 {
				t.Errorf("the replica ran %d reads in 2 s after it had recovered, want 180 or more", ran)
			}
		})
	}
}

// TestReplicaFarBehind guards against reads that go in numbers to a replica that
// stays behind what they allow, each time its lag was not measured for a while.
func TestReplicaFarBehind(t *testing.T) {
	h := newBalanced(t, 8, "b")
	h.stream("urgent", aRead, 5, 20_000, &counts{})
	for at := timekeeper.Millis(0); at < 20_000; at += 20 {
		h.After(at, func() {
			h.servers["s0"].applied++
			h.servers["s2"].applied = h.servers["s0"].applied
		})
	}
	h.run(8000)
	var reads counts
	h.stream("standard", aRead, 5, 10_000, &reads)
	ran := h.ranIn(10_000)["s1"]
	if ran > 3 {
		t.Errorf("the replica got %d of 2000 reads in 10 s, want 3 or fewer", ran)
	}
	h.run(500)
	if reads.served < 1990 {
		t.Errorf("reads: %+v, want 1990 of 2000 served", reads)
	}
}

// TestWarmup guards against a server that has just started and gets as much work
// at once as one that is warm.
func TestWarmup(t *testing.T) {
	h := newBalanced(t, 8, "b")
	h.execute(h.m.SetServers(h.Now(), []cataloger.Server{
		{ID: "s0", Group: testGroup, Address: "s0", Domain: "a", Slots: 4, Primary: true},
		{ID: "s1", Group: testGroup, Address: "s1", Domain: "b", Slots: 4, Started: 5, Warmup: 3000},
		{ID: "s2", Group: testGroup, Address: "s2", Domain: "c", Slots: 4},
	}))
	h.run(100)
	h.servers["s1"].service = 60
	h.After(3000, func() { h.servers["s1"].service = 8 })
	var reads counts
	most := 0
	h.stream("standard", aRead, 5, 6000, &reads)
	for at := timekeeper.Millis(0); at < 900; at += 10 {
		h.After(at, func() { most = max(most, h.m.groups[testGroup].byID["s1"].running) })
	}
	h.run(3500)
	if most > 1 {
		t.Errorf("%d statements ran at once in the first third of the warm-up, want 1", most)
	}
	if ran := h.ranIn(2000)["s1"]; ran < 350 {
		t.Errorf("the server ran %d reads in 2 s after its warm-up, want 350 or more", ran)
	}
	h.run(1000)
	if reads.served < 1190 {
		t.Errorf("reads: %+v, want 1190 of 1200 served", reads)
	}
}
