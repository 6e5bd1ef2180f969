package promoter

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// primaryOf returns the index of the primary of the newest term, or -1.
func primaryOf(views []ServerView) int {
	best := -1
	for i, v := range views {
		if !v.Reported || v.Report.Role != sequencer.RolePrimary {
			continue
		}
		if best < 0 || v.Report.History.Term() > views[best].Report.History.Term() {
			best = i
		}
	}
	return best
}

// changeReason returns why the primary should be replaced and how long the
// condition must last before it is, or "" for no reason. There is none while
// this host reaches no majority of the servers. primaryIndex is -1 for no
// primary.
func (p *Promoter) changeReason(now timekeeper.Millis, views []ServerView, primaryIndex int) (string, timekeeper.Millis) {
	responsive := 0
	for _, v := range views {
		if v.Reported && v.Responsive {
			responsive++
		}
	}
	if responsive < acknowledger.Majority(len(views)) {
		return "", 0
	}
	if primaryIndex < 0 {
		return "no server is primary", p.settings.NoPrimaryTimeout
	}
	if !views[primaryIndex].Responsive {
		return p.unresponsiveReason(now, views, primaryIndex)
	}
	term := views[primaryIndex].Report.History.Term()
	for _, v := range views {
		if v.Responsive && v.Report.PromisedTerm > term {
			return v.Name + " is fenced for a term beyond the current one", p.settings.FencedTimeout
		}
	}
	return "", 0
}

// unresponsiveReason returns a reason to replace an unresponsive primary if a
// majority of the servers are replicas that lost their stream too. A replica
// whose stream is intact proves that only this host is partitioned from the
// primary.
func (p *Promoter) unresponsiveReason(now timekeeper.Millis, views []ServerView, primaryIndex int) (string, timekeeper.Millis) {
	disconnected := 0
	for i, v := range views {
		if i == primaryIndex || !v.Reported || !v.Responsive {
			continue
		}
		idle := v.upstreamIdle(now)
		if idle >= 0 && idle <= p.settings.ReplicationTimeout {
			return "", 0
		}
		disconnected++
	}
	if disconnected < acknowledger.Majority(len(views)) {
		return "", 0
	}
	return "the primary " + views[primaryIndex].Name + " responds neither to this host nor to its replicas", p.settings.ConfirmDuration
}
