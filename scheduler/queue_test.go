package scheduler_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

var anyLane = [2]bool{true, true}

func fitsAll(scheduler.Item) bool { return true }

func item(id, customer string, rank scheduler.Rank) scheduler.Item {
	return scheduler.Item{ID: id, Customer: customer, Rank: rank, Lane: scheduler.LaneAny, Cost: 1, Deadline: 1 << 40}
}

// serveBacklogged returns a function that serves n items and counts them by
// rank, from a queue in which each of the given ranks always has work.
func serveBacklogged(t *testing.T, ranks ...scheduler.Rank) func(n int) [scheduler.NumRanks]int {
	t.Helper()
	q := scheduler.New(scheduler.DefaultRankPolicies(), 1<<20)
	next := 0
	push := func(rank scheduler.Rank) {
		next++
		if err := q.Push(0, item(fmt.Sprint(next), "c", rank)); err != nil {
			t.Fatal(err)
		}
	}
	return func(n int) [scheduler.NumRanks]int {
		var served [scheduler.NumRanks]int
		for range n {
			for _, rank := range ranks {
				for q.LenByRank(rank) < 5 {
					push(rank)
				}
			}
			got, found := q.Pop(anyLane, fitsAll)
			if !found {
				t.Fatal("nothing to serve")
			}
			served[got.Rank]++
			q.Done(got, 1)
		}
		return served
	}
}

// Guards against a rank getting less than its guaranteed share while others
// have work. Unused shares go to the most urgent rank that has work.
func TestShares(t *testing.T) {
	all := []scheduler.Rank{scheduler.RankUrgent, scheduler.RankStandard, scheduler.RankBrowse}
	tests := map[string]struct {
		ranks []scheduler.Rank
		want  [scheduler.NumRanks]int
	}{
		"all ranks wait":      {all, [scheduler.NumRanks]int{700, 200, 100}},
		"urgent and browse":   {[]scheduler.Rank{scheduler.RankUrgent, scheduler.RankBrowse}, [scheduler.NumRanks]int{900, 0, 100}},
		"standard and browse": {[]scheduler.Rank{scheduler.RankStandard, scheduler.RankBrowse}, [scheduler.NumRanks]int{0, 900, 100}},
		"browse alone":        {[]scheduler.Rank{scheduler.RankBrowse}, [scheduler.NumRanks]int{0, 0, 1000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			served := serveBacklogged(t, test.ranks...)(1000)
			for rank, want := range test.want {
				if got := served[rank]; got < want-10 || got > want+10 {
					t.Errorf("rank %v got %d of 1000, want %d", scheduler.Rank(rank), got, want)
				}
			}
		})
	}
}

// Guards against a customer with many queued items delaying the others of its
// rank.
func TestFairBetweenCustomers(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 1<<20)
	for i := range 900 {
		if err := q.Push(0, item(fmt.Sprint("greedy", i), "greedy", scheduler.RankBrowse)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 50 {
		if err := q.Push(0, item(fmt.Sprint("modest", i), "modest", scheduler.RankBrowse)); err != nil {
			t.Fatal(err)
		}
	}
	modest := 0
	for range 100 {
		got, _ := q.Pop(anyLane, fitsAll)
		if got.Customer == "modest" {
			modest++
		}
		q.Done(got, 1)
	}
	if modest < 45 {
		t.Errorf("the modest customer got %d of the first 100, want its fair share of 50", modest)
	}
}

// Work that is expected to start after its deadline is refused on arrival, with
// a time to retry, instead of waiting and expiring.
func TestLateWorkIsRefused(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 1<<20)
	late := scheduler.Item{ID: "x", Customer: "c", Cost: 10, Deadline: 100}
	var refused *scheduler.Error
	for i := range 100 {
		late.ID = fmt.Sprint(i)
		if err := q.Push(0, late); errors.As(err, &refused) {
			break
		}
	}
	if refused == nil || refused.Kind != scheduler.KindOverload || refused.RetryAfter <= 0 {
		t.Fatalf("got error %v, want KindOverload with RetryAfter above 0", refused)
	}
	if waiting := q.Len(); waiting < 9 || waiting > 11 {
		t.Errorf("%d items of 10 ms were accepted with a deadline of 100 ms, want 9 to 11", waiting)
	}
}

// Guards against queued work for the primary delaying reads that replicas can
// run.
func TestLanesAreIndependent(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 1<<20)
	for i := range 50 {
		if err := q.Push(0, scheduler.Item{ID: fmt.Sprint(i), Rank: scheduler.RankUrgent, Cost: 1, Deadline: 100}); err != nil {
			t.Fatal(err)
		}
	}
	read := scheduler.Item{ID: "read", Rank: scheduler.RankBrowse, Lane: scheduler.LaneAny, Cost: 1, Deadline: 10}
	if err := q.Push(0, read); err != nil {
		t.Errorf("a read that replicas can run was refused because of the primary's queue: %v", err)
	}
}

// A customer's work waits while as many of its statements run as its
// concurrency limit allows; the next one starts when one of them ends.
func TestCustomerLimit(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 100)
	for i := range 3 {
		limited := item(fmt.Sprint(i), "c", scheduler.RankUrgent)
		limited.ConcurrencyLimit = 2
		if err := q.Push(0, limited); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := q.Pop(anyLane, fitsAll)
	if _, found := q.Pop(anyLane, fitsAll); !found {
		t.Fatal("the second statement did not start, want 2 running")
	}
	if _, found := q.Pop(anyLane, fitsAll); found {
		t.Fatal("a third statement started beyond the limit of 2")
	}
	q.Done(first, 1)
	if _, found := q.Pop(anyLane, fitsAll); !found {
		t.Fatal("the third statement did not start after one had ended")
	}
}

// Each item must leave the queue exactly once, whatever the order of calls.
func TestQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.New(scheduler.DefaultRankPolicies(), 50)
		waiting := map[string]bool{}
		var running []scheduler.Item
		now := timekeeper.Millis(0)
		leave := func(id string) {
			if !waiting[id] {
				t.Fatalf("%s left the queue but was not waiting", id)
			}
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := scheduler.Item{
					ID:               fmt.Sprint(rapid.Int64().Draw(t, "id")),
					Customer:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Rank:             scheduler.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
					Lane:             scheduler.Lane(rapid.IntRange(0, 1).Draw(t, "lane")),
					Cost:             float64(rapid.IntRange(1, 20).Draw(t, "cost")),
					Deadline:         now + timekeeper.Millis(rapid.IntRange(0, 300).Draw(t, "deadline")),
					ConcurrencyLimit: rapid.IntRange(0, 2).Draw(t, "limit"),
				}
				if !waiting[i.ID] && q.Push(now, i) == nil {
					waiting[i.ID] = true
				}
			},
			"pop": func(t *rapid.T) {
				open := [2]bool{rapid.Bool().Draw(t, "primary"), rapid.Bool().Draw(t, "any")}
				if i, found := q.Pop(open, func(scheduler.Item) bool { return rapid.Bool().Draw(t, "fits") }); found {
					leave(i.ID)
					running = append(running, i)
				}
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 {
					q.Done(running[0], float64(rapid.IntRange(0, 30).Draw(t, "took")))
					running = running[1:]
				}
			},
			"expire": func(t *rapid.T) {
				now += timekeeper.Millis(rapid.IntRange(0, 100).Draw(t, "passed"))
				for _, i := range q.Expire(now) {
					leave(i.ID)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("%d items are in the queue, want %d", q.Len(), len(waiting))
				}
			},
		})
		for _, i := range q.RemoveAll() {
			leave(i.ID)
		}
		if len(waiting) > 0 {
			t.Fatalf("items that never left the queue: %v", waiting)
		}
	})
}

// TestPark guards against work that fits but is never found behind many customers whose
// work does not, and against customers that stay parked. Load: 1,000 customers without
// a connection before one that has one.
func TestPark(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 2000)
	for i := range 1000 {
		if err := q.Push(0, item(fmt.Sprint(i), fmt.Sprint("c", i), scheduler.RankStandard)); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.Push(0, item("fits", "z", scheduler.RankStandard)); err != nil {
		t.Fatal(err)
	}
	examined := 0
	fits := func(i scheduler.Item) bool {
		examined++
		if i.Customer != "z" {
			q.Park()
		}
		return i.Customer == "z"
	}
	if got, found := q.Pop(anyLane, fits); !found || got.ID != "fits" {
		t.Fatalf("got %v, %v, want the item that fits", got, found)
	}
	examined = 0
	if got, found := q.Pop(anyLane, fits); found || examined > 0 {
		t.Errorf("got %v, %v after examining %d parked customers, want none", got, found, examined)
	}
	q.Unpark("c500")
	if got, found := q.Pop(anyLane, fitsAll); !found || got.ID != "500" {
		t.Errorf("got %v, %v, want the item of the customer that is no longer parked", got, found)
	}
	if waiting := q.RemoveAll(); len(waiting) != 999 {
		t.Errorf("%d items are waiting, want 999", len(waiting))
	}
}

// Guards against a customer of twice the weight that gets more than half of the
// service of another one while both wait.
func TestWeight(t *testing.T) {
	q := scheduler.New(scheduler.DefaultRankPolicies(), 1<<20)
	served := map[string]int{}
	next := 0
	for range 900 {
		for customer, weight := range map[string]float64{"light": 0, "heavy": 2} {
			next++
			it := item(fmt.Sprint(next), customer, scheduler.RankStandard)
			it.Weight = weight
			if err := q.Push(0, it); err != nil {
				t.Fatal(err)
			}
		}
		got, found := q.Pop(anyLane, fitsAll)
		if !found {
			t.Fatal("nothing to serve")
		}
		served[got.Customer]++
		q.Done(got, 1)
	}
	if served["light"] < 590 || served["light"] > 610 {
		t.Errorf("served %v, want twice as many of light as of heavy", served)
	}
}
