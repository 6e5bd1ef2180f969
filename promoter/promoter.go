package promoter

import (
	"strconv"

	"github.com/heatherhall/heatherhall/acknowledger"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// View is what the home knows of one backend server.
type View struct {
	Name    string
	Report  sequencer.Report
	Heard   timekeeper.Millis
	Known   bool
	Leaving bool
	// Answering is false once several questions over new connections stayed
	// unanswered.
	Answering bool
}

// link returns how long the server has not heard from its primary, or -1 if it
// follows none.
func (v View) link(now timekeeper.Millis) timekeeper.Millis {
	if v.Report.Upstream < 0 {
		return -1
	}
	return timekeeper.Millis(v.Report.Upstream) + now - v.Heard
}

// Settings are the promoter's times.
type Settings struct {
	// Link is how long a replica's stream may be silent before the replica
	// bears witness against its primary.
	Link timekeeper.Millis
	// Confirm is how long the evidence must last.
	Confirm timekeeper.Millis
	// Vacant is how long a database may be without a primary before a change
	// that another daemon began counts as abandoned.
	Vacant timekeeper.Millis
	// Stuck is how long a server may be fenced beyond the present term before
	// a new term takes it in again.
	Stuck timekeeper.Millis
	// Answer is how long the platform or a server may take for one step.
	Answer timekeeper.Millis
	// Pause is the time between two attempts.
	Pause timekeeper.Millis
	// Drain is how long a planned change waits for open transactions.
	Drain timekeeper.Millis
}

// DefaultSettings returns the times that settings start from.
func DefaultSettings() Settings {
	return Settings{
		Link:    500,
		Confirm: 100,
		Vacant:  800,
		Stuck:   3000,
		Answer:  400,
		Pause:   400,
		Drain:   2000,
	}
}

// Commands of a promoter. Attempt numbers come back with the answers.
type (
	// Command is something the daemon is to do.
	Command any
	// Claim writes the row if the platform's row is of a lower term.
	Claim struct {
		Attempt int
		Row     Row
	}
	// Fence asks a server to promise a term.
	Fence struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Promote makes a fenced server the primary.
	Promote struct {
		Attempt int
		Server  string
		Term    int64
	}
	// Follow makes a server a replica of the primary.
	Follow struct {
		Server  string
		Term    int64
		Primary string
	}
	// Publish writes the row of a finished change.
	Publish struct {
		Row Row
	}
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
func (p *Promoter) Tick(now timekeeper.Millis, views []View, writes int) []Command {
	for _, v := range views {
		p.highest = max(p.highest, v.Report.Promised)
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

// primaryOf returns the index of the primary of the newest term, or -1.
func primaryOf(views []View) int {
	best := -1
	for i, v := range views {
		if !v.Known || v.Report.Role != sequencer.RolePrimary {
			continue
		}
		if best < 0 || v.Report.History.Term() > views[best].Report.History.Term() {
			best = i
		}
	}
	return best
}

// consider starts a change of primary when the evidence asks for it.
func (p *Promoter) consider(now timekeeper.Millis, views []View, writes int) {
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

// suspect returns why the primary should be replaced, and how long that must
// last, or an empty text.
func (p *Promoter) suspect(now timekeeper.Millis, views []View, primary int) (string, timekeeper.Millis) {
	answering := 0
	for _, v := range views {
		if v.Known && v.Answering {
			answering++
		}
	}
	if answering < acknowledger.Majority(len(views)) {
		return "", 0
	}
	if primary < 0 {
		return "there is no primary", p.settings.Vacant
	}
	if !views[primary].Answering {
		return p.witnesses(now, views, primary)
	}
	term := views[primary].Report.History.Term()
	for _, v := range views {
		if v.Answering && v.Report.Promised > term {
			return v.Name + " is fenced beyond the present term", p.settings.Stuck
		}
	}
	return "", 0
}

// witnesses counts the replicas that have lost their primary too. One that
// still hears it proves that only this observer is cut off.
func (p *Promoter) witnesses(now timekeeper.Millis, views []View, primary int) (string, timekeeper.Millis) {
	lost := 0
	for i, v := range views {
		if i == primary || !v.Known || !v.Answering {
			continue
		}
		link := v.link(now)
		if link >= 0 && link <= p.settings.Link {
			return "", 0
		}
		lost++
	}
	if lost < acknowledger.Majority(len(views)) {
		return "", 0
	}
	return "the primary " + views[primary].Name + " answers neither this host nor its replicas", p.settings.Confirm
}

// begin claims the next term.
func (p *Promoter) begin(now timekeeper.Millis, reason string) {
	p.attempt++
	p.term = p.highest + 1
	p.highest = p.term
	p.stage = stageClaim
	p.due = now + p.settings.Answer
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
func (p *Promoter) Claimed(now timekeeper.Millis, attempt int, written bool, present Row, views []View) []Command {
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

func (p *Promoter) fence(now timekeeper.Millis, views []View) {
	p.stage = stageFence
	p.due = now + p.settings.Answer
	for _, v := range views {
		p.emit(Fence{Attempt: p.attempt, Server: v.Name, Term: p.term})
	}
}

// Fenced takes a server's answer to a fence.
func (p *Promoter) Fenced(now timekeeper.Millis, attempt int, server string, promised bool, report sequencer.Report, views []View) []Command {
	if attempt != p.attempt || p.stage != stageFence {
		return nil
	}
	p.answered[server] = true
	p.highest = max(p.highest, report.Promised)
	if promised {
		p.fenced[server] = report
	}
	p.settleFence(now, views)
	return p.take()
}

// settleFence promotes once a majority is fenced and the others have answered
// or are out of reach.
func (p *Promoter) settleFence(now timekeeper.Millis, views []View) {
	enough := len(p.fenced) >= acknowledger.Majority(len(views))
	if !enough {
		if now >= p.due || len(p.answered) == len(views) {
			p.fail(now, strconv.Itoa(len(p.fenced))+" servers were fenced, too few")
		}
		return
	}
	for _, v := range views {
		if v.Answering && !p.answered[v.Name] && now < p.due {
			return
		}
	}
	p.chosen = p.choose(len(views))
	p.stage = stagePromote
	p.due = now + p.settings.Answer
	p.log("promoter: %s promotes %s at %v in term %d, %d servers fenced",
		p.database, p.chosen, p.fenced[p.chosen].Held, p.term, len(p.fenced))
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
		case best == "" || staying[best].Held.Before(report.Held):
			best = name
		case staying[best].Held == report.Held && name < best:
			best = name
		}
	}
	return best
}

// Promoted takes the chosen server's answer.
func (p *Promoter) Promoted(now timekeeper.Millis, attempt int, promoted bool, report sequencer.Report, views []View) []Command {
	if attempt != p.attempt || p.stage != stagePromote {
		return nil
	}
	if !promoted {
		p.highest = max(p.highest, report.Promised)
		p.fail(now, "the server refused the promotion")
		return p.take()
	}
	p.log("promoter: %s has primary %s in term %d", p.database, p.chosen, p.term)
	p.stage = stageIdle
	p.failures = 0
	p.reason = ""
	p.draining = 0
	p.next = now + p.settings.Pause
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
	p.next = now + p.settings.Pause*timekeeper.Millis(p.failures)
	p.log("promoter: %s gives up term %d: %s", p.database, p.term, text)
}

// healInterval is the time between two requests to a server to follow.
const healInterval timekeeper.Millis = 1000

// linkBroken is how long a stream may be silent before its replica is told
// again whom to follow.
const linkBroken timekeeper.Millis = 1500

// heal tells servers that do not follow the primary to do so.
func (p *Promoter) heal(now timekeeper.Millis, views []View, primary int) {
	head := views[primary]
	term := head.Report.History.Term()
	for i, v := range views {
		if i == primary || !v.Known || !v.Answering || v.Report.Promised > term || now-p.healed[v.Name] < healInterval {
			continue
		}
		link := v.link(now)
		following := v.Report.Role == sequencer.RoleReplica && v.Report.Promised == term && link >= 0 && link < linkBroken
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
func (p *Promoter) handOver(now timekeeper.Millis, views []View, primary int, writes int) {
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
	if writes > 0 && now-p.draining < p.settings.Drain {
		return
	}
	for i, v := range views {
		if i != primary && v.Answering && !v.Leaving && v.Report.Held == head.Report.Held {
			p.begin(now, "the primary "+head.Name+" is leaving")
			return
		}
	}
	if now-p.draining >= p.settings.Drain {
		p.fail(now, "no replica has caught up with the leaving primary")
	}
}

// replaceable reports whether the servers that stay are a majority.
func (p *Promoter) replaceable(views []View) bool {
	staying := 0
	for _, v := range views {
		if v.Known && v.Answering && !v.Leaving {
			staying++
		}
	}
	return staying >= acknowledger.Majority(len(views))
}
