package proxier

import (
	"context"
	"sync"
	"time"
)

// gate holds back the loops whose calls to the store fail, until the store answers
// any of them. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	passed chan struct{}
}

func newGate() *gate {
	return &gate{passed: make(chan struct{})}
}

// pass tells that the store answered.
func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.passed)
	g.passed = make(chan struct{})
}

// next returns a channel that is closed at the store's next answer.
func (g *gate) next() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passed
}

// wait waits for least, and then for the store's next answer or until most has
// passed in all. It reports false when ctx ends.
func (g *gate) wait(ctx context.Context, least, most time.Duration) bool {
	passed := g.next()
	if !sleep(ctx, least) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-passed:
	case <-time.After(most - least):
	}
	return true
}
