package faker

import (
	"sync"
	"testing"
	"time"

	"github.com/heatherhall/heatherhall/sequencer"
)

// TestWatchTimeout guards against a watch that never returns when nothing
// changes, because it is woken before its deadline and waits again. Each engine
// has a single watch, so that no other watch wakes it.
func TestWatchTimeout(t *testing.T) {
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
		t.Fatal("a watch did not return after its timeout")
	}
}
