package decider

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// SQLSTATEs of outcomes that the entry decides itself.
const (
	CodeDenied   = "42501"
	CodeDatabase = "3D000"
	CodeCustomer = "28000"
	CodeShutdown = "57P01"
)

const (
	// defaultWithin is how long a caller waits if it does not say.
	defaultWithin timekeeper.Millis = 15_000
	// grace is how much longer the entry waits for the home's word.
	grace timekeeper.Millis = 500
	// resendLimit bounds how often work goes to another home.
	resendLimit = 3
)

// pending is a request that waits for its outcome here, or a transaction that
// is open.
type pending struct {
	caller  uint64
	work    dispatcher.Work
	home    string
	due     timekeeper.Millis
	resends int
	// step is the number of the transaction's last step and commit whether that
	// step ends it.
	step   int
	commit bool
	open   bool
	// waits says that the caller waits for an outcome.
	waits bool
}

// Submit takes a caller's request. The reply names the caller.
func (n *Node) Submit(now timekeeper.Millis, r Request) []Command {
	_, plan, known := n.lists.Customer(r.Customer)
	if refusal := n.admit(now, r, plan, known); refusal != nil {
		n.emit(Reply{Caller: r.Caller, Outcome: *refusal})
		return n.take()
	}
	within := r.Within
	if within <= 0 {
		within = defaultWithin
	}
	floor, sure := r.Session.Floor(r.Database)
	work := dispatcher.Work{
		ID:       n.nextID(),
		Entry:    n.settings.Self.Name,
		Customer: r.Customer,
		Database: r.Database,
		Rank:     max(r.Rank, plan.Rank),
		Write:    r.Write,
		Begin:    r.Begin,
		Key:      r.Key,
		Digest:   r.Digest,
		Floor:    floor,
		Barrier:  !sure && (r.MaxAge == 0 || r.Session.Roams()),
		MaxAge:   limitAge(r.MaxAge, plan),
		Within:   within,
		Limit:    plan.Statements,
		Payload:  r.Payload,
	}
	p := &pending{caller: r.Caller, work: work, due: now + within + grace, waits: true}
	n.pending[work.ID] = p
	n.callers[r.Caller] = work.ID
	n.send(now, p)
	return n.take()
}

// limitAge keeps a stated age within the plan's bound.
func limitAge(age timekeeper.Millis, plan planner.Plan) timekeeper.Millis {
	if plan.Age > 0 && age > plan.Age {
		return plan.Age
	}
	return age
}

// admit returns the refusal of a request that the lists do not allow, or nil.
func (n *Node) admit(now timekeeper.Millis, r Request, plan planner.Plan, known bool) *dispatcher.Outcome {
	_, exists := n.settings.Databases[r.Database]
	switch {
	case !known:
		return refusal(CodeCustomer, fmt.Sprintf("customer %q is not on the lists", r.Customer), 0)
	case !exists:
		return refusal(CodeDatabase, fmt.Sprintf("database %q does not exist", r.Database), 0)
	case !plan.Allows(r.Database):
		return refusal(CodeDenied, fmt.Sprintf("plan %q may not use database %q", plan.Name, r.Database), 0)
	}
	if until := n.blockedUntil(r, plan); now < until {
		return refusal(dispatcher.CodeOverload, "the database's queue for this rank is full", until-now)
	}
	if wait := n.spend(now, r.Customer, plan); wait > 0 {
		return refusal(dispatcher.CodeOverload, fmt.Sprintf("plan %q allows %d statements a second", plan.Name, plan.Rate), wait)
	}
	return nil
}

func refusal(code, text string, retry timekeeper.Millis) *dispatcher.Outcome {
	return &dispatcher.Outcome{Class: dispatcher.ClassRefused, Code: code, Text: text, Retry: retry, Status: "I"}
}

// homeOf returns the host that is the home of a database.
func (n *Node) homeOf(database string) string {
	if n.settings.Static {
		return n.settings.Self.Name
	}
	return n.hosts.Home(database)
}

// send gives work to the home of its database.
func (n *Node) send(now timekeeper.Millis, p *pending) {
	p.home = n.homeOf(p.work.Database)
	if p.home == n.settings.Self.Name {
		h := n.open(now, p.work.Database)
		n.serverCommands(now, h, h.dispatcher.Submit(now, p.work))
		return
	}
	n.logf("relayer: %s goes to %s, the home of %s", p.work.ID, p.home, p.work.Database)
	work := p.work
	if !n.mail(now, p.home, Mail{Work: &work}) {
		n.reply(p, *refusal(dispatcher.CodeNoPrimary, "no host keeps the database", 0))
	}
}

// Step takes the next batch of a caller's open transaction.
func (n *Node) Step(now timekeeper.Millis, caller uint64, commit bool, payload []byte) []Command {
	p := n.pending[n.callers[caller]]
	if p == nil || !p.open {
		if p != nil {
			n.drop(p)
		}
		n.emit(Reply{Caller: caller, Outcome: *refusal(dispatcher.CodeRolledBack, "the transaction was rolled back", 0)})
		return n.take()
	}
	p.step++
	p.commit = commit
	p.waits = true
	p.due = now + p.work.Within + grace
	step := dispatcher.Step{ID: p.work.ID, Number: p.step, Commit: commit, Payload: payload}
	if p.home == n.settings.Self.Name {
		h := n.open(now, p.work.Database)
		n.serverCommands(now, h, h.dispatcher.Step(now, n.settings.Self.Name, step))
		return n.take()
	}
	if !n.mail(now, p.home, Mail{Step: &StepMail{Database: p.work.Database, Entry: n.settings.Self.Name, Step: step}}) {
		n.lose(now, p)
	}
	return n.take()
}

// Hangup tells that a caller has gone. Its queued work is dropped and its open
// transaction rolled back.
func (n *Node) Hangup(now timekeeper.Millis, caller uint64) []Command {
	p := n.pending[n.callers[caller]]
	if p == nil {
		return nil
	}
	n.drop(p)
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.Cancel(now, p.work.ID)
		})
	}
	n.mail(now, p.home, Mail{Cancel: &CancelMail{Database: p.work.Database, ID: p.work.ID}})
	return n.take()
}

// Cancel cancels what a caller waits for.
func (n *Node) Cancel(now timekeeper.Millis, caller uint64) []Command {
	p := n.pending[n.callers[caller]]
	if p == nil || !p.waits {
		return nil
	}
	if p.home == n.settings.Self.Name {
		return n.withHome(now, p.work.Database, func(h *home) []dispatcher.Command {
			return h.dispatcher.CancelStatement(now, p.work.ID)
		})
	}
	n.mail(now, p.home, Mail{Cancel: &CancelMail{Database: p.work.Database, ID: p.work.ID, Statement: true}})
	return n.take()
}

// HostNumber returns the number of a host in cancel keys. Two hosts may share a
// number; a key then reaches both, and its secret tells whose it is.
func HostNumber(name string) uint16 {
	return uint16(xxhash.Sum64String(name) & hostNumberMask)
}

const hostNumberMask = 1<<12 - 1

// CancelKey takes a cancel request, which callers may send to any daemon, and
// passes it on to the daemon whose caller it names.
func (n *Node) CancelKey(key KeyMail) []Command {
	for _, m := range n.hosts.Members() {
		switch {
		case HostNumber(m.Name) != key.Host:
		case m.Name == n.settings.Self.Name:
			n.emit(CancelCaller(key))
		default:
			n.emit(ToPeer{To: m, Mail: Mail{Key: &key}})
		}
	}
	return n.take()
}

func (n *Node) drop(p *pending) {
	delete(n.pending, p.work.ID)
	if n.callers[p.caller] == p.work.ID {
		delete(n.callers, p.caller)
	}
}

// settle takes the outcome of work that this host is the entry of. Outcomes of
// work that is no longer waited for are passed over.
func (n *Node) settle(now timekeeper.Millis, o dispatcher.Outcome) {
	p := n.pending[o.ID]
	if p == nil || !p.waits && !ended(o) || o.Number != p.step {
		return
	}
	if o.Class == dispatcher.ClassRefused && o.Code == dispatcher.CodeOverload {
		n.block(now, p, o.Retry)
	}
	n.reply(p, o)
}

// ended reports whether an outcome ends an open transaction by itself, such as
// when it was idle for too long.
func ended(o dispatcher.Outcome) bool {
	return o.Class == dispatcher.ClassRefused
}

// reply hands an outcome to the caller and forgets the request, unless its
// transaction goes on.
func (n *Node) reply(p *pending, o dispatcher.Outcome) {
	if o.Class == dispatcher.ClassRefused && p.work.Doubtful {
		o = unknown(o.Text)
	}
	n.emit(Reply{Caller: p.caller, Outcome: o})
	p.waits = false
	if o.Open() {
		p.open = true
		return
	}
	n.drop(p)
}

// PeerLost tells that another daemon can't be reached. What was given to it is
// given to another home, if it may run again; mail to it takes a detour for a
// time.
func (n *Node) PeerLost(now timekeeper.Millis, name string) []Command {
	n.unreachable[name] = now + detour
	for _, p := range n.sortedPending() {
		if p.home == name && (p.waits || p.open) {
			n.lose(now, p)
		}
	}
	return n.take()
}

func (n *Node) sortedPending() []*pending {
	out := make([]*pending, 0, len(n.pending))
	for _, p := range n.pending {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	return out
}

// lose decides on a request whose home went away.
func (n *Node) lose(now timekeeper.Millis, p *pending) {
	repeatable := !p.work.Write || p.work.Begin || p.work.Key != ""
	switch {
	case p.open && p.commit:
		n.reply(p, unknown("the daemon that ran the transaction was lost while it committed"))
	case p.open && p.waits:
		n.reply(p, *refusal(dispatcher.CodeRolledBack, "the daemon that ran the transaction was lost and it was rolled back", 0))
	case p.open:
		// The caller learns it with its next statement.
		p.open = false
	case !repeatable:
		n.reply(p, unknown("the daemon that ran the work was lost before its answer came"))
	case p.resends >= resendLimit || now >= p.due:
		n.giveUp(p)
	default:
		n.resend(now, p)
	}
}

// resend gives work to the present home under a new id: the old one may still
// run it, so only work that may run twice, or that has a key, comes here.
func (n *Node) resend(now timekeeper.Millis, p *pending) {
	n.drop(p)
	p.resends++
	p.work.Doubtful = p.work.Write
	p.work.ID = n.nextID()
	p.work.Within = max(1, p.due-grace-now)
	n.pending[p.work.ID] = p
	n.callers[p.caller] = p.work.ID
	n.send(now, p)
}

func (n *Node) giveUp(p *pending) {
	if p.work.Write && !p.work.Begin {
		n.reply(p, unknown("no home of the database answered"))
		return
	}
	n.reply(p, *refusal(dispatcher.CodeNoPrimary, "no home of the database answered", 0))
}

func unknown(text string) dispatcher.Outcome {
	return dispatcher.Outcome{Class: dispatcher.ClassUnknown, Code: dispatcher.CodeUnknown, Text: text, Status: "I"}
}

// tickPending ends requests whose home is silent, and moves those whose home is
// not live any more.
func (n *Node) tickPending(now timekeeper.Millis) {
	var due []*pending
	for _, p := range n.pending {
		if p.waits && (now >= p.due || n.deadHome(p)) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int { return strings.Compare(a.work.ID, b.work.ID) })
	for _, p := range due {
		n.lose(now, p)
	}
}

// deadHome reports whether the host that was given the work counts as dead.
func (n *Node) deadHome(p *pending) bool {
	m, known := n.hosts.Member(p.home)
	return p.home != n.settings.Self.Name && (!known || m.State == "dead")
}

// blockKey names a queue that has refused a customer's work.
type blockKey struct {
	database string
	customer string
	rank     scheduler.Rank
}

// blockLimit is the longest time for which the entry refuses work by itself
// after a home refused the like.
const blockLimit timekeeper.Millis = 100

func (n *Node) block(now timekeeper.Millis, p *pending, retry timekeeper.Millis) {
	key := blockKey{database: p.work.Database, customer: p.work.Customer, rank: p.work.Rank}
	n.blocked[key] = now + min(retry, blockLimit)
}

func (n *Node) blockedUntil(r Request, plan planner.Plan) timekeeper.Millis {
	return n.blocked[blockKey{database: r.Database, customer: r.Customer, rank: max(r.Rank, plan.Rank)}]
}
