package promoter

import (
	"strconv"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

type stage int

const (
	stageIdle stage = iota
	stageClaim
	stageFence
	stagePromote
)

// Promoter leads the changes of primary of one database. It is not safe for
// concurrent use.
type Promoter struct {
	settings Settings
	database string
	self     string
	log      func(format string, args ...any)

	stage    stage
	attempt  int
	term     int64
	highest  int64
	due      timekeeper.Millis
	next     timekeeper.Millis
	failures int
	evidence timekeeper.Millis
	reason   string
	fenced   map[string]sequencer.Report
	answered map[string]bool
	chosen   string
	healed   map[string]timekeeper.Millis
	draining timekeeper.Millis
	leaving  map[string]bool
	out      []Command
}

// New returns an idle promoter of a database on the host self. log may be nil.
func New(settings Settings, database, self string, log func(string, ...any)) *Promoter {
	if log == nil {
		log = func(string, ...any) {}
	}
	return &Promoter{
		settings: settings,
		database: database,
		self:     self,
		log:      log,
		healed:   map[string]timekeeper.Millis{},
	}
}

// Busy reports whether a change of primary is under way.
func (p *Promoter) Busy() bool {
	return p.stage != stageIdle
}

// Draining reports whether a planned change holds new writes back.
func (p *Promoter) Draining() bool {
	return p.draining > 0
}

func (p *Promoter) emit(c Command) {
	p.out = append(p.out, c)
}

func (p *Promoter) take() []Command {
	out := p.out
	p.out = nil
	return out
}

// Tick looks at the servers and does what is due. writes is the number of
// writes and transactions that run on the primary.
func (p *Promoter) Tick(now timekeeper.Millis, views []ServerView, writes int) []Command {
	for _, v := range views {
		p.highest = max(p.highest, v.Report.PromisedTerm)
	}
	p.leaving = map[string]bool{}
	for _, v := range views {
		p.leaving[v.Name] = v.Leaving
	}
	switch p.stage {
	case stageIdle:
		p.consider(now, views, writes)
	case stageClaim:
		if now >= p.due {
			p.log("promoter: %s claim of term %d got no answer, going on by the fence alone", p.database, p.term)
			p.fence(now, views)
		}
	case stageFence:
		p.settleFence(now, views)
	case stagePromote:
		if now >= p.due {
			p.fail(now, "the promotion got no answer")
		}
	}
	return p.take()
}

// consider starts a change of primary when the evidence asks for it.
func (p *Promoter) consider(now timekeeper.Millis, views []ServerView, writes int) {
	primary := primaryOf(views)
	reason, wait := p.suspect(now, views, primary)
	if reason != p.reason {
		p.reason = reason
		p.evidence = now
	}
	if reason != "" {
		if now >= p.next && now-p.evidence >= wait {
			p.begin(now, reason)
		}
		return
	}
	if primary < 0 {
		return
	}
	p.handOver(now, views, primary, writes)
	if p.stage == stageIdle {
		p.heal(now, views, primary)
	}
}

// begin claims the next term.
func (p *Promoter) begin(now timekeeper.Millis, reason string) {
	p.attempt++
	p.term = p.highest + 1
	p.highest = p.term
	p.stage = stageClaim
	p.due = now + p.settings.StepTimeout
	p.fenced = map[string]sequencer.Report{}
	p.answered = map[string]bool{}
	p.log("promoter: %s claims term %d: %s", p.database, p.term, reason)
	p.emit(Claim{Attempt: p.attempt, Row: Row{
		Term:      p.term,
		Candidate: p.self,
		Attempt:   p.self + "-" + strconv.Itoa(p.attempt) + "-" + strconv.FormatInt(int64(now), 10),
	}})
}

// Claimed takes the platform's answer to a claim: written, or the row that is
// there instead. A platform that does not answer does not stop the change.
func (p *Promoter) Claimed(now timekeeper.Millis, attempt int, written bool, present Row, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stageClaim {
		return nil
	}
	if !written && present.Term >= p.term {
		p.highest = max(p.highest, present.Term)
		p.fail(now, "term "+strconv.FormatInt(present.Term, 10)+" was claimed by "+present.Candidate)
		return p.take()
	}
	p.fence(now, views)
	return p.take()
}

func (p *Promoter) fence(now timekeeper.Millis, views []ServerView) {
	p.stage = stageFence
	p.due = now + p.settings.StepTimeout
	for _, v := range views {
		p.emit(Fence{Attempt: p.attempt, Server: v.Name, Term: p.term})
	}
}

// Fenced takes a server's answer to a fence.
func (p *Promoter) Fenced(now timekeeper.Millis, attempt int, server string, promised bool, report sequencer.Report, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stageFence {
		return nil
	}
	p.answered[server] = true
	p.highest = max(p.highest, report.PromisedTerm)
	if promised {
		p.fenced[server] = report
	}
	p.settleFence(now, views)
	return p.take()
}

// settleFence promotes once a majority is fenced and the others have answered
// or are out of reach.
func (p *Promoter) settleFence(now timekeeper.Millis, views []ServerView) {
	enough := len(p.fenced) >= acknowledger.Majority(len(views))
	if !enough {
		if now >= p.due || len(p.answered) == len(views) {
			p.fail(now, strconv.Itoa(len(p.fenced))+" servers were fenced, too few")
		}
		return
	}
	for _, v := range views {
		if v.Responsive && !p.answered[v.Name] && now < p.due {
			return
		}
	}
	p.chosen = p.choose(len(views))
	p.stage = stagePromote
	p.due = now + p.settings.StepTimeout
	p.log("promoter: %s promotes %s at %v in term %d, %d servers fenced",
		p.database, p.chosen, p.fenced[p.chosen].Received, p.term, len(p.fenced))
	p.emit(Promote{Attempt: p.attempt, Server: p.chosen, Term: p.term})
}

// choose returns the fenced server with the highest position. Every majority of
// the fenced servers holds all that was acknowledged, so servers that are
// leaving are left out where the others are a majority by themselves.
func (p *Promoter) choose(servers int) string {
	staying := map[string]sequencer.Report{}
	for name, report := range p.fenced {
		if !p.leaving[name] {
			staying[name] = report
		}
	}
	if len(staying) < acknowledger.Majority(servers) {
		staying = p.fenced
	}
	best := ""
	for name, report := range staying {
		switch {
		case best == "" || staying[best].Received.Before(report.Received):
			best = name
		case staying[best].Received == report.Received && name < best:
			best = name
		}
	}
	return best
}

// Promoted takes the chosen server's answer.
func (p *Promoter) Promoted(now timekeeper.Millis, attempt int, promoted bool, report sequencer.Report, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stagePromote {
		return nil
	}
	if !promoted {
		p.highest = max(p.highest, report.PromisedTerm)
		p.fail(now, "the server refused the promotion")
		return p.take()
	}
	p.log("promoter: %s has primary %s in term %d", p.database, p.chosen, p.term)
	p.stage = stageIdle
	p.failures = 0
	p.reason = ""
	p.draining = 0
	p.next = now + p.settings.RetryBackoff
	p.emit(Publish{Row: Row{
		Term:      p.term,
		Candidate: p.self,
		Primary:   p.chosen,
		History:   report.History,
	}})
	for _, v := range views {
		if v.Name != p.chosen {
			p.healed[v.Name] = now
			p.emit(Follow{Server: v.Name, Term: p.term, Primary: p.chosen})
		}
	}
	return p.take()
}

// fail gives an attempt up. The next one waits longer each time.
func (p *Promoter) fail(now timekeeper.Millis, text string) {
	p.failures = min(p.failures+1, 5)
	p.stage = stageIdle
	p.draining = 0
	p.reason = ""
	p.next = now + p.settings.RetryBackoff*timekeeper.Millis(p.failures)
	p.log("promoter: %s gives up term %d: %s", p.database, p.term, text)
}
