package watcher_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/heatherhall/heatherhall/watcher"
)

// BenchmarkProbe measures the handling of a ping at several numbers of hosts:
// the time, the size of the ack's datagram, and the memory per host.
func BenchmarkProbe(b *testing.B) {
	for _, count := range []int{5, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var peers []watcher.Member
			for i := range count {
				peers = append(peers, member(fmt.Sprintf("h%03d", i), 1))
			}
			h := watcher.New(watcher.DefaultSettings(), peers[0], peers, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			ping := watcher.Message{Type: watcher.TypePing, From: peers[1], SeqNo: 1, Updates: peers[2:min(5, count)]}
			size := 0
			b.ResetTimer()
			for i := range b.N {
				for j := range ping.Updates {
					ping.Updates[j].Incarnation = int64(i)
				}
				for _, response := range h.HandleMessage(1, ping) {
					data, err := json.Marshal(response.Message)
					if err != nil {
						b.Fatal(err)
					}
					size = max(size, len(data))
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "bytes/host")
			b.ReportMetric(float64(size), "bytes/datagram")
		})
	}
}
