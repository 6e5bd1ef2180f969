package limiter

import "github.com/heatherhall/heatherhall/timekeeper"

// bucket is a token bucket. It may be overdrawn by tokens that are granted for later.
type bucket struct {
	tokens     float64
	refilledAt timekeeper.Millis
}

// refill adds the tokens of the time since the last refill, at rate tokens a second,
// up to capacity.
func (b *bucket) refill(now timekeeper.Millis, rate, capacity float64) {
	if elapsed := now - b.refilledAt; elapsed > 0 {
		b.tokens += rate * float64(elapsed) / 1000
	}
	b.refilledAt = max(now, b.refilledAt)
	b.tokens = min(b.tokens, capacity)
}

// take takes n tokens, or as many as there are down to -debt, and returns how many.
func (b *bucket) take(n int, debt float64) int {
	n = max(0, min(n, int(b.tokens+debt)))
	b.tokens -= float64(n)
	return n
}

// due returns how long a bucket with the given rate needs to hold a number of tokens.
func (b *bucket) due(tokens, rate float64) timekeeper.Millis {
	switch {
	case b.tokens >= tokens:
		return 0
	case rate <= 0:
		return maxRetry
	}
	return min(maxRetry, timekeeper.Millis((tokens-b.tokens)*1000/rate)+1)
}
