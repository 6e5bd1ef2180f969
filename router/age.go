package router

import (
	"slices"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// proofLimit is how many proofs are kept.
	proofLimit = 256
	// proofSpacing is the least time between two kept proofs.
	proofSpacing timekeeper.Millis = 20
)

// CommitBound says that every write acknowledged before At is at or before Position.
type CommitBound struct {
	At       timekeeper.Millis
	Position sequencer.Position
}

// poll is a server's answer to a question: what it held after it was asked.
type poll struct {
	number uint64
	asked  timekeeper.Millis
	held   sequencer.Position
}

// StalenessTracker proves how old the data of a server is, by this daemon's clock alone. A
// write is acknowledged only when a majority holds it, so the highest position
// among the answers of a majority, each asked after a moment, is at or past
// every write acknowledged before that moment. The primary's word alone proves
// nothing: it may have been superseded.
type StalenessTracker struct {
	need   int
	polls  map[string]poll
	proofs []CommitBound
}

// NewStalenessTracker returns an empty proof for a group of the given size.
func NewStalenessTracker(servers int) *StalenessTracker {
	return &StalenessTracker{need: acknowledger.Majority(servers), polls: map[string]poll{}}
}

// Observe takes what a server held, as answer to question number, asked at the
// given time. Numbers rise with each question to any server.
func (a *StalenessTracker) Observe(server string, number uint64, asked timekeeper.Millis, held sequencer.Position) {
	if present, found := a.polls[server]; found && present.number > number {
		return
	}
	a.polls[server] = poll{number: number, asked: asked, held: held}
	if proof, found := a.newest(); found {
		a.keep(proof)
	}
}

// newest returns the proof for the latest moment that a majority answered for.
func (a *StalenessTracker) newest() (CommitBound, bool) {
	answers := a.ordered()
	if len(answers) < a.need {
		return CommitBound{}, false
	}
	proof := CommitBound{At: answers[a.need-1].asked}
	for _, p := range answers[:a.need] {
		proof.Position = sequencer.Max(proof.Position, p.held)
	}
	return proof, true
}

// ordered returns the answers, the latest question first.
func (a *StalenessTracker) ordered() []poll {
	answers := make([]poll, 0, len(a.polls))
	for _, p := range a.polls {
		answers = append(answers, p)
	}
	slices.SortFunc(answers, func(x, y poll) int {
		switch {
		case x.number > y.number:
			return -1
		case x.number < y.number:
			return 1
		}
		return 0
	})
	return answers
}

func (a *StalenessTracker) keep(proof CommitBound) {
	if n := len(a.proofs); n > 0 && proof.At < a.proofs[n-1].At+proofSpacing {
		return
	}
	if len(a.proofs) == proofLimit {
		a.proofs = slices.Delete(a.proofs, 0, proofLimit/4)
	}
	a.proofs = append(a.proofs, proof)
}

// Barrier returns a position at or past every write acknowledged before the
// question with the given number was asked, once a majority has answered
// questions after it.
func (a *StalenessTracker) Barrier(number uint64) (sequencer.Position, bool) {
	answers := a.ordered()
	if len(answers) < a.need || answers[a.need-1].number <= number {
		return sequencer.Position{}, false
	}
	highest := sequencer.Position{}
	for _, p := range answers[:a.need] {
		highest = sequencer.Max(highest, p.held)
	}
	return highest, true
}

// Floor returns the position that a read must cover so that its data is at most
// age old at now, or false if no proof is that recent.
func (a *StalenessTracker) Floor(now, age timekeeper.Millis) (sequencer.Position, bool) {
	for _, proof := range a.proofs {
		if proof.At >= now-age {
			return proof.Position, true
		}
	}
	if proof, found := a.newest(); found && proof.At >= now-age {
		return proof.Position, true
	}
	return sequencer.Position{}, false
}
