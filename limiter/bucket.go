package limiter

import "github.com/heatherhall/heatherhall/timekeeper"

// Bucket is a token bucket. It may be overdrawn by tokens that are granted for later.
type Bucket struct {
	Tokens     float64
	RefilledAt timekeeper.Millis
}

// Refill adds the tokens of the time since the last refill, at rate tokens a second,
// up to capacity.
func (b *Bucket) Refill(now timekeeper.Millis, rate, capacity float64) {
	if elapsed := now - b.RefilledAt; elapsed > 0 {
		b.Tokens += rate * float64(elapsed) / 1000
	}
	b.RefilledAt = max(now, b.RefilledAt)
	b.Tokens = min(b.Tokens, capacity)
}

// Take takes n tokens, or as many as there are down to -debt, and returns how many.
func (b *Bucket) Take(n int, debt float64) int {
	n = max(0, min(n, int(b.Tokens+debt)))
	b.Tokens -= float64(n)
	return n
}

// Due returns how long a bucket with the given rate needs to hold a number of tokens, at
// most maxRetry.
func (b *Bucket) Due(tokens, rate float64) timekeeper.Millis {
	switch {
	case b.Tokens >= tokens:
		return 0
	case rate <= 0:
		return maxRetry
	}
	return min(maxRetry, timekeeper.Millis((tokens-b.Tokens)*1000/rate)+1)
}
