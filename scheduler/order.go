package scheduler

import (
	"cmp"
	"slices"
	"strings"
)

// sortItems sorts items by deadline and id, so that their order does not depend
// on map iteration.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		if c := cmp.Compare(a.Deadline, b.Deadline); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
}
