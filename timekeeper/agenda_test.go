package timekeeper_test

import (
	"fmt"

	"github.com/heatherhall/heatherhall/timekeeper"
)

func ExampleTimerQueue() {
	a := timekeeper.NewTimerQueue(100)
	a.After(20, func() { fmt.Println(a.Now(), "second") })
	a.After(10, func() {
		fmt.Println(a.Now(), "first")
		a.After(10, func() { fmt.Println(a.Now(), "third, added later") })
	})
	a.After(50, func() { fmt.Println(a.Now(), "too late") })
	a.RunUntil(130, nil)
	fmt.Println(a.Now())
	// Output:
	// 110 first
	// 120 second
	// 120 third, added later
	// 130
}
