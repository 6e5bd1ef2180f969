package promoter

import (
	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// followInterval is the min time between two Follow commands to a server.
const followInterval timekeeper.Millis = 1000

// streamTimeout is how long a replication stream may be idle before its replica
// gets another Follow command.
const streamTimeout timekeeper.Millis = 1500

// repointReplicas commands the servers that do not follow the primary to do so.
// Servers that are fenced for a newer term are left alone.
func (p *Promoter) repointReplicas(now timekeeper.Millis, views []ServerView, primaryIndex int) {
	primary := views[primaryIndex]
	term := primary.Report.History.Term()
	for i, v := range views {
		if i == primaryIndex || !v.Reported || !v.Responsive || v.Report.PromisedTerm > term || now-p.lastFollow[v.Name] < followInterval {
			continue
		}
		idle := v.upstreamIdle(now)
		following := v.Report.Role == sequencer.RoleReplica && v.Report.PromisedTerm == term && idle >= 0 && idle < streamTimeout
		if following {
			continue
		}
		p.lastFollow[v.Name] = now
		p.log("promoter: %s tells %s to follow %s in term %d", p.database, v.Name, primary.Name, term)
		p.emit(Follow{Server: v.Name, Term: term, Primary: primary.Name})
	}
}

// handOver replaces a primary that is leaving. It pauses new writes, and starts
// the change once the running ones are done and a replica has caught up. After
// DrainTimeout it no longer waits for running writes, and the attempt fails if
// no replica has caught up.
func (p *Promoter) handOver(now timekeeper.Millis, views []ServerView, primaryIndex int, writes int) {
	primary := views[primaryIndex]
	if !primary.Leaving {
		p.drainSince = 0
		return
	}
	if now < p.notBefore || !p.majorityStays(views) {
		return
	}
	if p.drainSince == 0 {
		p.drainSince = now
		p.log("promoter: %s pauses writes, its primary %s is leaving", p.database, primary.Name)
	}
	if writes > 0 && now-p.drainSince < p.settings.DrainTimeout {
		return
	}
	for i, v := range views {
		if i != primaryIndex && v.Responsive && !v.Leaving && v.Report.Received == primary.Report.Received {
			p.startChange(now, "the primary "+primary.Name+" is leaving")
			return
		}
	}
	if now-p.drainSince >= p.settings.DrainTimeout {
		p.failAttempt(now, "no replica has caught up with the leaving primary")
	}
}

// majorityStays reports whether the responsive servers that are not leaving are
// a majority.
func (p *Promoter) majorityStays(views []ServerView) bool {
	staying := 0
	for _, v := range views {
		if v.Reported && v.Responsive && !v.Leaving {
			staying++
		}
	}
	return staying >= acknowledger.Majority(len(views))
}
