package timekeeper_test

import (
	"fmt"

	"github.com/heatherhall/heatherhall/timekeeper"
)

func ExampleTimerQueue() {
	q := timekeeper.NewTimerQueue(100)
	q.After(20, func() { fmt.Println(q.Now(), "second") })
	q.After(10, func() {
		fmt.Println(q.Now(), "first")
		q.After(10, func() { fmt.Println(q.Now(), "third, added later") })
	})
	q.After(50, func() { fmt.Println(q.Now(), "too late") })
	q.RunUntil(130, nil)
	fmt.Println(q.Now())
	// Output:
	// 110 first
	// 120 second
	// 120 third, added later
	// 130
}
