package planner_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/heatherhall/heatherhall/planner"
)

// BenchmarkEdit measures the time of Apply and the memory per customer.
func BenchmarkEdit(b *testing.B) {
	for _, customers := range []int{100, 10_000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			file := validFile()
			for i := range customers {
				file.Customers = append(file.Customers, planner.Customer{Name: fmt.Sprint("customer", i), Plan: "gold", Verifier: verifier})
			}
			lists, err := file.Lists()
			if err != nil {
				b.Fatal(err)
			}
			file = planner.File{}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				edit := planner.Edit{ID: fmt.Sprint(i), BaseVersion: lists.Version(), Plans: []planner.Plan{{Name: "gold", Databases: []string{"*"}, RateLimit: i}}}
				if lists, err = lists.Apply(edit); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(customers), "bytes/customer")
		})
	}
}
