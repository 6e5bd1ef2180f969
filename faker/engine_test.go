package faker

import (
	"sync"
	"testing"
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// TestWatchEnds checks that a watch ends in time when nothing happens. Each engine
// has one watch, so that no other wakes it.
func TestWatchEnds(t *testing.T) {
	var done sync.WaitGroup
	for range 2000 {
		done.Go(func() {
			e := NewEngine(NewPrimary("p"))
			e.Watch(sequencer.Position{}, sequencer.Position{}, 1, 100*time.Microsecond)
		})
	}
	ended := make(chan struct{})
	go func() {
		done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("a watch does not end")
	}
}
