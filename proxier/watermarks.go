package proxier

import (
	"sync"

	"github.com/heatherhall/heatherhall/elector"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// maxWatermarks is the number of transactions kept, enough for several reads.
const maxWatermarks = 16

// watermarks bounds the staleness of snapshots. A snapshot may come from a copy of the
// store that lags by some seconds, but one that includes the version of a transaction
// is at least as recent as that transaction. It is safe for concurrent use.
type watermarks struct {
	mu    sync.Mutex
	marks []watermark
}

// watermark records that a transaction sent at sentAt moved the store to revision.
type watermark struct {
	sentAt   timekeeper.Millis
	revision elector.Revision
}

// add records a transaction of this daemon: when it was sent and the revision of
// the store after it. It ignores version 0, which means unknown.
func (w *watermarks) add(sentAt timekeeper.Millis, revision elector.Revision) {
	if revision.Version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.marks) == maxWatermarks {
		w.marks = append(w.marks[:0], w.marks[1:]...)
	}
	w.marks = append(w.marks, watermark{sentAt: sentAt, revision: revision})
}

// freshAsOf returns the time, at most requestedAt, up to which a snapshot of the given
// revision is guaranteed to be current: when the newest transaction that it includes
// was sent. It returns 0 if no recorded transaction is included.
func (w *watermarks) freshAsOf(requestedAt timekeeper.Millis, revision elector.Revision) timekeeper.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := timekeeper.Millis(0)
	for _, mark := range w.marks {
		if !revision.Before(mark.revision) {
			latest = max(latest, mark.sentAt)
		}
	}
	return min(requestedAt, latest)
}
