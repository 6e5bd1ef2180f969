package promoter

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// healInterval is the time between two requests to a server to follow.
const healInterval timekeeper.Millis = 1000

// linkBroken is how long a stream may be silent before its replica is told
// again whom to follow.
const linkBroken timekeeper.Millis = 1500

// heal tells servers that do not follow the primary to do so.
func (p *Promoter) heal(now timekeeper.Millis, views []ServerView, primary int) {
	head := views[primary]
	term := head.Report.History.Term()
	for i, v := range views {
		if i == primary || !v.Reported || !v.Responsive || v.Report.PromisedTerm > term || now-p.healed[v.Name] < healInterval {
			continue
		}
		link := v.link(now)
		following := v.Report.Role == sequencer.RoleReplica && v.Report.PromisedTerm == term && link >= 0 && link < linkBroken
		if following {
			continue
		}
		p.healed[v.Name] = now
		p.log("promoter: %s tells %s to follow %s in term %d", p.database, v.Name, head.Name, term)
		p.emit(Follow{Server: v.Name, Term: term, Primary: head.Name})
	}
}

// handOver replaces a primary that is leaving: new writes are held back until
// the running ones are done and a replica has caught up.
func (p *Promoter) handOver(now timekeeper.Millis, views []ServerView, primary int, writes int) {
	head := views[primary]
	if !head.Leaving {
		p.draining = 0
		return
	}
	if now < p.next || !p.replaceable(views) {
		return
	}
	if p.draining == 0 {
		p.draining = now
		p.log("promoter: %s holds writes back, its primary %s is leaving", p.database, head.Name)
	}
	if writes > 0 && now-p.draining < p.settings.DrainTimeout {
		return
	}
	for i, v := range views {
		if i != primary && v.Responsive && !v.Leaving && v.Report.Received == head.Report.Received {
			p.begin(now, "the primary "+head.Name+" is leaving")
			return
		}
	}
	if now-p.draining >= p.settings.DrainTimeout {
		p.fail(now, "no replica has caught up with the leaving primary")
	}
}

// replaceable reports whether the servers that stay are a majority.
func (p *Promoter) replaceable(views []ServerView) bool {
	staying := 0
	for _, v := range views {
		if v.Reported && v.Responsive && !v.Leaving {
			staying++
		}
	}
	return staying >= acknowledger.Majority(len(views))
}
