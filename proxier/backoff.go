package proxier

import (
	"context"
	"sync"
	"time"
)

// storeBackoff is the retry backoff that all loops calling the store share: it ends
// for all of them once the store answers any of them. It is safe for concurrent use.
type storeBackoff struct {
	mu sync.Mutex
	// answered is closed at the store's next answer.
	answered chan struct{}
}

func newStoreBackoff() *storeBackoff {
	return &storeBackoff{answered: make(chan struct{})}
}

// reset ends the backoff of all waiting loops because the store answered.
func (b *storeBackoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.answered)
	b.answered = make(chan struct{})
}

// nextAnswer returns a channel that the next call of reset closes.
func (b *storeBackoff) nextAnswer() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answered
}

// wait blocks for at least minWait and at most maxWait. After minWait it returns
// as soon as the store has answered any loop since the call. It reports false if
// ctx ends first.
func (b *storeBackoff) wait(ctx context.Context, minWait, maxWait time.Duration) bool {
	answered := b.nextAnswer()
	if !sleep(ctx, minWait) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-answered:
	case <-time.After(maxWait - minWait):
	}
	return true
}
