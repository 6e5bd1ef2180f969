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

// suspect returns why the primary should be replaced, and how long that must
// last, or an empty text.
func (p *Promoter) suspect(now timekeeper.Millis, views []ServerView, primary int) (string, timekeeper.Millis) {
	answering := 0
	for _, v := range views {
		if v.Reported && v.Responsive {
			answering++
		}
	}
	if answering < acknowledger.Majority(len(views)) {
		return "", 0
	}
	if primary < 0 {
		return "there is no primary", p.settings.NoPrimaryTimeout
	}
	if !views[primary].Responsive {
		return p.witnesses(now, views, primary)
	}
	term := views[primary].Report.History.Term()
	for _, v := range views {
		if v.Responsive && v.Report.PromisedTerm > term {
			return v.Name + " is fenced beyond the present term", p.settings.FencedTimeout
		}
	}
	return "", 0
}

// witnesses counts the replicas that have lost their primary too. One that
// still hears it proves that only this observer is cut off.
func (p *Promoter) witnesses(now timekeeper.Millis, views []ServerView, primary int) (string, timekeeper.Millis) {
	lost := 0
	for i, v := range views {
		if i == primary || !v.Reported || !v.Responsive {
			continue
		}
		link := v.link(now)
		if link >= 0 && link <= p.settings.ReplicationTimeout {
			return "", 0
		}
		lost++
	}
	if lost < acknowledger.Majority(len(views)) {
		return "", 0
	}
	return "the primary " + views[primary].Name + " answers neither this host nor its replicas", p.settings.ConfirmDuration
}
