package proxier

import (
	"sync"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// proofLimit is how many transactions are remembered: some readings' worth.
const proofLimit = 16

// proofs tell how fresh a reading is at least. A reading may come from a copy of
// the store that is some seconds behind, but one that shows the version of a
// transaction is no older than that transaction. It is safe for concurrent use.
type proofs struct {
	mu   sync.Mutex
	kept []proof
}

// proof says that the store had reached a version after a time.
type proof struct {
	sent    timekeeper.Millis
	version int64
}

// add takes a transaction of this daemon, with when it was sent and the store's
// version after it.
func (p *proofs) add(sent timekeeper.Millis, version int64) {
	if version == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kept) == proofLimit {
		p.kept = append(p.kept[:0], p.kept[1:]...)
	}
	p.kept = append(p.kept, proof{sent: sent, version: version})
}

// readAt returns when a reading of a version was taken at the earliest; 0 where
// nothing proves it.
func (p *proofs) readAt(asked timekeeper.Millis, version int64) timekeeper.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := timekeeper.Millis(0)
	for _, proof := range p.kept {
		if proof.version <= version {
			latest = max(latest, proof.sent)
		}
	}
	return min(asked, latest)
}
