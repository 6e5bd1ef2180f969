package proxier

import (
	"context"
	"testing"
	"time"
)

// TestGate answers the pattern of a store that refuses everybody for a while: a
// daemon's loops wait for the first answer that one of them gets.
func TestGate(t *testing.T) {
	g := newGate()
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	waiting := []<-chan struct{}{g.next(), g.next(), g.next()}
	for i, c := range waiting {
		if closed(c) {
			t.Errorf("loop %d goes on before the store's answer", i)
		}
	}
	g.pass()
	for i, c := range waiting {
		if !closed(c) {
			t.Errorf("loop %d waits on after the store's answer", i)
		}
	}
	if closed(g.next()) {
		t.Error("an answer in the past lets a loop go on")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if g.wait(ctx, 0, time.Hour) {
		t.Error("a loop goes on after its context has ended")
	}
}
