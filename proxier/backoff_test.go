package proxier

import (
	"context"
	"testing"
	"time"
)

// TestStoreBackoff guards against slow recovery from a store outage: all loops of a
// daemon retry as soon as one of them gets an answer from the store.
func TestStoreBackoff(t *testing.T) {
	b := newStoreBackoff()
	closed := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	waiting := []<-chan struct{}{b.nextAnswer(), b.nextAnswer(), b.nextAnswer()}
	for i, c := range waiting {
		if closed(c) {
			t.Errorf("loop %d resumes before the store answers", i)
		}
	}
	b.reset()
	for i, c := range waiting {
		if !closed(c) {
			t.Errorf("loop %d still waits after the store answered", i)
		}
	}
	if closed(b.nextAnswer()) {
		t.Error("an earlier answer ends a later wait")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if b.wait(ctx, 0, time.Hour) {
		t.Error("a loop resumes after its context ended")
	}
}
