package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/heatherhall/heatherhall/scheduler"
)

// BenchmarkWaiting measures the memory of a queued item, and the time to push
// and pop one while many are queued.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			q := scheduler.New(scheduler.DefaultRankPolicies(), waiting+10)
			for i := range waiting {
				if err := q.Push(0, item(fmt.Sprint(i), fmt.Sprint("customer", i%100), scheduler.RankBrowse)); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				got, _ := q.Pop(anyLane, fitsAll)
				q.Done(got, 1)
				if err := q.Push(0, got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting), "bytes/item")
		})
	}
}
