package decider

import (
	"fmt"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// SQLSTATEs of outcomes that the entry decides itself.
const (
	CodeInsufficientPrivilege = "42501"
	CodeUndefinedDatabase     = "3D000"
	CodeInvalidAuthorization  = "28000"
	CodeAdminShutdown         = "57P01"
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
		n.emit(Reply{ClientID: r.ClientID, Outcome: *refusal})
		return n.take()
	}
	within := r.Timeout
	if within <= 0 {
		within = defaultWithin
	}
	n.earnRetry(r.Customer)
	floor, sure := r.Session.Floor(r.Database)
	work := dispatcher.Work{
		ID:               n.nextID(),
		Gateway:          n.settings.Self.Name,
		Customer:         r.Customer,
		Database:         r.Database,
		Rank:             max(r.Rank, plan.Rank),
		Write:            r.Write,
		Begin:            r.Begin,
		Key:              r.RequestKey,
		Digest:           r.Digest,
		Floor:            floor,
		Barrier:          !sure && (r.MaxAge == 0 || r.Session.NamedOnly()),
		MaxAge:           limitAge(r.MaxAge, plan),
		Timeout:          within,
		ConcurrencyLimit: plan.MaxStatements,
		Payload:          r.Payload,
	}
	p := &pending{caller: r.ClientID, work: work, due: now + within + grace, waits: true}
	n.pending[work.ID] = p
	n.callers[r.ClientID] = work.ID
	n.send(now, p)
	return n.take()
}

// limitAge keeps a stated age within the plan's bound.
func limitAge(age timekeeper.Millis, plan planner.Plan) timekeeper.Millis {
	if plan.MaxAge > 0 && age > plan.MaxAge {
		return plan.MaxAge
	}
	return age
}

// admit returns the refusal of a request that the lists do not allow, or nil.
func (n *Node) admit(now timekeeper.Millis, r Request, plan planner.Plan, known bool) *dispatcher.Outcome {
	_, exists := n.settings.Databases[r.Database]
	switch {
	case !known:
		return refusal(CodeInvalidAuthorization, fmt.Sprintf("customer %q is not on the lists", r.Customer), 0)
	case !exists:
		return refusal(CodeUndefinedDatabase, fmt.Sprintf("database %q does not exist", r.Database), 0)
	case !plan.Allows(r.Database):
		return refusal(CodeInsufficientPrivilege, fmt.Sprintf("plan %q may not use database %q", plan.Name, r.Database), 0)
	}
	if until := n.blockedUntil(r, plan); now < until {
		return refusal(dispatcher.CodeOverload, "the database's queue for this rank is full", until-now)
	}
	if wait := n.spend(now, r.Customer, plan); wait > 0 {
		return refusal(dispatcher.CodeOverload, fmt.Sprintf("plan %q allows %d statements a second", plan.Name, plan.RateLimit), wait)
	}
	return nil
}

func refusal(code, text string, retry timekeeper.Millis) *dispatcher.Outcome {
	return &dispatcher.Outcome{Class: dispatcher.OutcomeRefused, Code: code, Text: text, RetryAfter: retry, TxStatus: "I"}
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
	if !n.mail(now, p.home, Message{Work: &work}) {
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
		n.emit(Reply{ClientID: caller, Outcome: *refusal(dispatcher.CodeRolledBack, "the transaction was rolled back", 0)})
		return n.take()
	}
	p.step++
	p.commit = commit
	p.waits = true
	p.due = now + p.work.Timeout + grace
	step := dispatcher.Step{ID: p.work.ID, StepNumber: p.step, Commit: commit, Payload: payload}
	if p.home == n.settings.Self.Name {
		h := n.open(now, p.work.Database)
		n.serverCommands(now, h, h.dispatcher.Step(now, n.settings.Self.Name, step))
		return n.take()
	}
	if !n.mail(now, p.home, Message{Step: &StepMessage{Database: p.work.Database, Gateway: n.settings.Self.Name, Step: step}}) {
		n.lose(now, p)
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
	if p == nil || !p.waits && !ended(o) || o.StepNumber != p.step {
		return
	}
	if o.Class == dispatcher.OutcomeRefused && o.Code == dispatcher.CodeOverload {
		n.block(now, p, o.RetryAfter)
	}
	n.reply(p, o)
}

// ended reports whether an outcome ends an open transaction by itself, such as
// when it was idle for too long.
func ended(o dispatcher.Outcome) bool {
	return o.Class == dispatcher.OutcomeRefused
}

// reply hands an outcome to the caller and forgets the request, unless its
// transaction goes on.
func (n *Node) reply(p *pending, o dispatcher.Outcome) {
	if o.Class == dispatcher.OutcomeRefused && p.work.MayHaveRun {
		o = unknown(o.Text)
	}
	n.emit(Reply{ClientID: p.caller, Outcome: o})
	p.waits = false
	if o.InTransaction() {
		p.open = true
		return
	}
	n.drop(p)
}
