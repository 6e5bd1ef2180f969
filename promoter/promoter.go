package promoter

import (
	"strconv"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// stage is the step of the primary change that is under way.
type stage int

const (
	stageIdle stage = iota
	stageClaim
	stageFence
	stagePromote
)

// Promoter runs the primary changes of one database. Its methods return the
// commands that the daemon executes next. It is not safe for concurrent use.
type Promoter struct {
	settings Settings
	database string
	self     string
	log      func(format string, args ...any)

	stage stage
	// attempt counts the attempts to change the primary, and term is the one
	// that the current attempt claims.
	attempt int
	term    int64
	// highestTerm is the highest term that was claimed or promised as far as
	// known.
	highestTerm int64
	// stepDeadline is when the current step times out.
	stepDeadline timekeeper.Millis
	// notBefore is when the next attempt may start.
	notBefore timekeeper.Millis
	// failures counts the failed attempts since the last success, up to 5.
	failures int
	// reason is the last result of changeReason, and reasonSince is when it was
	// first returned. The end of an attempt clears reason, so the wait for a
	// repeated reason starts again.
	reasonSince timekeeper.Millis
	reason      string
	// fenced holds the reports of the servers that promised the term, and
	// fenceResponses the servers that responded to the fence at all.
	fenced         map[string]sequencer.Report
	fenceResponses map[string]bool
	// successor is the name of the server to promote.
	successor string
	// lastFollow is when each server last got a Follow command.
	lastFollow map[string]timekeeper.Millis
	// drainSince is when a planned change paused the writes; 0 if none has.
	drainSince timekeeper.Millis
	// leaving holds which servers are leaving, as of the last Tick.
	leaving  map[string]bool
	commands []Command
}

// New returns a Promoter for a database, run by the host self, with no change
// under way. log may be nil.
func New(settings Settings, database, self string, log func(string, ...any)) *Promoter {
	if log == nil {
		log = func(string, ...any) {}
	}
	return &Promoter{
		settings:   settings,
		database:   database,
		self:       self,
		log:        log,
		lastFollow: map[string]timekeeper.Millis{},
	}
}

// Busy reports whether a primary change is under way.
func (p *Promoter) Busy() bool {
	return p.stage != stageIdle
}

// Draining reports whether a planned change pauses new writes.
func (p *Promoter) Draining() bool {
	return p.drainSince > 0
}

// emit queues a command.
func (p *Promoter) emit(c Command) {
	p.commands = append(p.commands, c)
}

// takeCommands returns the queued commands and clears the queue.
func (p *Promoter) takeCommands() []Command {
	commands := p.commands
	p.commands = nil
	return commands
}

// Tick checks the servers, and starts a change or handles the timeout of its
// current step. writes is the number of writes and transactions that run on the
// primary.
func (p *Promoter) Tick(now timekeeper.Millis, views []ServerView, writes int) []Command {
	for _, v := range views {
		p.highestTerm = max(p.highestTerm, v.Report.PromisedTerm)
	}
	p.leaving = map[string]bool{}
	for _, v := range views {
		p.leaving[v.Name] = v.Leaving
	}
	switch p.stage {
	case stageIdle:
		p.startIfNeeded(now, views, writes)
	case stageClaim:
		if now >= p.stepDeadline {
			p.log("promoter: %s got no response to its claim of term %d, fences the servers", p.database, p.term)
			p.sendFences(now, views)
		}
	case stageFence:
		p.promoteIfFenced(now, views)
	case stagePromote:
		if now >= p.stepDeadline {
			p.failAttempt(now, "the promotion timed out")
		}
	}
	return p.takeCommands()
}

// startIfNeeded starts a primary change once a reason for it has lasted long
// enough. Without a reason it runs planned changes and repoints replicas.
func (p *Promoter) startIfNeeded(now timekeeper.Millis, views []ServerView, writes int) {
	primaryIndex := primaryOf(views)
	reason, wait := p.changeReason(now, views, primaryIndex)
	if reason != p.reason {
		p.reason = reason
		p.reasonSince = now
	}
	if reason != "" {
		if now >= p.notBefore && now-p.reasonSince >= wait {
			p.startChange(now, reason)
		}
		return
	}
	if primaryIndex < 0 {
		return
	}
	p.handOver(now, views, primaryIndex, writes)
	if p.stage == stageIdle {
		p.repointReplicas(now, views, primaryIndex)
	}
}

// startChange starts an attempt: it claims the next term.
func (p *Promoter) startChange(now timekeeper.Millis, reason string) {
	p.attempt++
	p.term = p.highestTerm + 1
	p.highestTerm = p.term
	p.stage = stageClaim
	p.stepDeadline = now + p.settings.StepTimeout
	p.fenced = map[string]sequencer.Report{}
	p.fenceResponses = map[string]bool{}
	p.log("promoter: %s claims term %d: %s", p.database, p.term, reason)
	p.emit(Claim{Attempt: p.attempt, Row: Row{
		Term:      p.term,
		Candidate: p.self,
		Attempt:   p.self + "-" + strconv.Itoa(p.attempt) + "-" + strconv.FormatInt(int64(now), 10),
	}})
}

// ClaimFinished handles the platform's response to a Claim. If the row was not
// written, stored is the row that the platform has, and the attempt fails if
// that row's term is not lower than the claimed one. Otherwise the servers are
// fenced. If the platform does not respond, Tick continues the change after
// StepTimeout.
func (p *Promoter) ClaimFinished(now timekeeper.Millis, attempt int, written bool, stored Row, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stageClaim {
		return nil
	}
	if !written && stored.Term >= p.term {
		p.highestTerm = max(p.highestTerm, stored.Term)
		p.failAttempt(now, "term "+strconv.FormatInt(stored.Term, 10)+" was claimed by "+stored.Candidate)
		return p.takeCommands()
	}
	p.sendFences(now, views)
	return p.takeCommands()
}

// sendFences asks all servers to promise the claimed term.
func (p *Promoter) sendFences(now timekeeper.Millis, views []ServerView) {
	p.stage = stageFence
	p.stepDeadline = now + p.settings.StepTimeout
	for _, v := range views {
		p.emit(Fence{Attempt: p.attempt, Server: v.Name, Term: p.term})
	}
}

// FenceFinished handles a server's response to a Fence. report is the server's
// status after the Fence.
func (p *Promoter) FenceFinished(now timekeeper.Millis, attempt int, server string, promised bool, report sequencer.Report, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stageFence {
		return nil
	}
	p.fenceResponses[server] = true
	p.highestTerm = max(p.highestTerm, report.PromisedTerm)
	if promised {
		p.fenced[server] = report
	}
	p.promoteIfFenced(now, views)
	return p.takeCommands()
}

// promoteIfFenced promotes the successor once a majority is fenced and every
// other responsive server has responded or StepTimeout has passed. The attempt
// fails if too few servers are fenced by then.
func (p *Promoter) promoteIfFenced(now timekeeper.Millis, views []ServerView) {
	enough := len(p.fenced) >= acknowledger.Majority(len(views))
	if !enough {
		if now >= p.stepDeadline || len(p.fenceResponses) == len(views) {
			p.failAttempt(now, strconv.Itoa(len(p.fenced))+" servers were fenced, too few")
		}
		return
	}
	for _, v := range views {
		if v.Responsive && !p.fenceResponses[v.Name] && now < p.stepDeadline {
			return
		}
	}
	p.successor = p.chooseSuccessor(len(views))
	p.stage = stagePromote
	p.stepDeadline = now + p.settings.StepTimeout
	p.log("promoter: %s promotes %s at %v in term %d, %d servers fenced",
		p.database, p.successor, p.fenced[p.successor].Received, p.term, len(p.fenced))
	p.emit(Promote{Attempt: p.attempt, Server: p.successor, Term: p.term})
}

// chooseSuccessor returns the fenced server with the highest received position,
// the first by name among equals. Any majority of the servers includes one that
// has received all acknowledged commits, so servers that are leaving are left
// out if the other fenced ones are a majority by themselves.
func (p *Promoter) chooseSuccessor(servers int) string {
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

// PromotionFinished handles the successor's response to a Promote. On success
// it returns a Publish and a Follow for every other server; otherwise the
// attempt fails.
func (p *Promoter) PromotionFinished(now timekeeper.Millis, attempt int, promoted bool, report sequencer.Report, views []ServerView) []Command {
	if attempt != p.attempt || p.stage != stagePromote {
		return nil
	}
	if !promoted {
		p.highestTerm = max(p.highestTerm, report.PromisedTerm)
		p.failAttempt(now, "the server refused the promotion")
		return p.takeCommands()
	}
	p.log("promoter: %s has primary %s in term %d", p.database, p.successor, p.term)
	p.stage = stageIdle
	p.failures = 0
	p.reason = ""
	p.drainSince = 0
	p.notBefore = now + p.settings.RetryBackoff
	p.emit(Publish{Row: Row{
		Term:      p.term,
		Candidate: p.self,
		Primary:   p.successor,
		History:   report.History,
	}})
	for _, v := range views {
		if v.Name != p.successor {
			p.lastFollow[v.Name] = now
			p.emit(Follow{Server: v.Name, Term: p.term, Primary: p.successor})
		}
	}
	return p.takeCommands()
}

// failAttempt ends the attempt. The wait before the next one grows with each
// failure.
func (p *Promoter) failAttempt(now timekeeper.Millis, text string) {
	p.failures = min(p.failures+1, 5)
	p.stage = stageIdle
	p.drainSince = 0
	p.reason = ""
	p.notBefore = now + p.settings.RetryBackoff*timekeeper.Millis(p.failures)
	p.log("promoter: %s gives up term %d: %s", p.database, p.term, text)
}
