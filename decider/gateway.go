package decider

import (
	"fmt"

	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// SQLSTATEs of outcomes that the gateway daemon decides itself.
const (
	// CodeInsufficientPrivilege: the customer's plan does not allow the database.
	CodeInsufficientPrivilege = "42501"
	// CodeUndefinedDatabase: the database does not exist.
	CodeUndefinedDatabase = "3D000"
	// CodeInvalidAuthorization: the customer is not on the operators' lists.
	CodeInvalidAuthorization = "28000"
	// CodeAdminShutdown: the daemon is shutting down.
	CodeAdminShutdown = "57P01"
)

const (
	// defaultTimeout applies to requests that state no timeout.
	defaultTimeout timekeeper.Millis = 15_000
	// replyGrace is how long after a request's timeout the gateway daemon still
	// waits for the home's outcome.
	replyGrace timekeeper.Millis = 500
	// maxResends is the maximum number of times that work is sent to a home
	// again.
	maxResends = 3
)

// pending is a request of one of this daemon's clients that waits for its
// outcome, or an open transaction.
type pending struct {
	clientID uint64
	work     dispatcher.Work
	home     string
	deadline timekeeper.Millis
	resends  int
	// step is the number of the transaction's last step, 0 for the request that
	// began it. endsTransaction reports whether that step ends the transaction,
	// by a commit or a rollback. open reports whether the transaction is open.
	step            int
	endsTransaction bool
	open            bool
	// waiting reports whether the client waits for an outcome.
	waiting bool
}

// Submit handles a client's request: it refuses the request or sends it to the
// home of its database. The Reply, now or later, carries the request's ClientID.
func (n *Node) Submit(now timekeeper.Millis, r Request) []Command {
	_, plan, known := n.lists.Customer(r.Customer)
	if refusal := n.admit(now, r, plan, known); refusal != nil {
		n.emit(Reply{ClientID: r.ClientID, Outcome: *refusal})
		return n.takeCommands()
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	n.depositRetry(r.Customer)
	floor, floorKnown := r.Session.Floor(r.Database)
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
		Barrier:          !floorKnown && (r.MaxAge == 0 || r.Session.NamedOnly()),
		MaxAge:           capMaxAge(r.MaxAge, plan),
		Timeout:          timeout,
		ConcurrencyLimit: plan.MaxStatements,
		Payload:          r.Payload,
	}
	p := &pending{clientID: r.ClientID, work: work, deadline: now + timeout + replyGrace, waiting: true}
	n.pending[work.ID] = p
	n.requestIDs[r.ClientID] = work.ID
	n.sendWork(now, p)
	return n.takeCommands()
}

// capMaxAge returns the requested maximum age, but at most the plan's.
func capMaxAge(age timekeeper.Millis, plan planner.Plan) timekeeper.Millis {
	if plan.MaxAge > 0 && age > plan.MaxAge {
		return plan.MaxAge
	}
	return age
}

// admit checks a request against the lists, the recent refusals of the home and
// the customer's rate limit. It returns the refusal, or nil for an admitted
// request.
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
	if until := n.refusedUntil(r, plan); now < until {
		return refusal(dispatcher.CodeOverload, "the database's queue for this rank is full", until-now)
	}
	if wait := n.takeToken(now, r.Customer, plan); wait > 0 {
		return refusal(dispatcher.CodeOverload, fmt.Sprintf("plan %q allows %d statements a second", plan.Name, plan.RateLimit), wait)
	}
	return nil
}

func refusal(code, text string, retry timekeeper.Millis) *dispatcher.Outcome {
	return &dispatcher.Outcome{Class: dispatcher.OutcomeRefused, Code: code, Text: text, RetryAfter: retry, TxStatus: "I"}
}

// homeOf returns the name of the host that is the home of a database.
func (n *Node) homeOf(database string) string {
	if n.settings.Static {
		return n.settings.Self.Name
	}
	return n.hosts.Home(database)
}

// sendWork submits a request's work to the home of its database, which may be
// this host.
func (n *Node) sendWork(now timekeeper.Millis, p *pending) {
	p.home = n.homeOf(p.work.Database)
	if p.home == n.settings.Self.Name {
		h := n.openHome(now, p.work.Database)
		n.executeDispatcherCommands(now, h, h.dispatcher.Submit(now, p.work))
		return
	}
	n.logf("relayer: sending %s to %s, the home of %s", p.work.ID, p.home, p.work.Database)
	work := p.work
	if !n.sendMessage(now, p.home, Message{Work: &work}) {
		n.reply(p, *refusal(dispatcher.CodeNoPrimary, "no host keeps the database", 0))
	}
}

// Step handles the next batch of a client's open transaction; endsTransaction
// reports whether the batch ends it, by a commit or a rollback. If the client
// has no open transaction, the reply is a refusal with CodeRolledBack.
func (n *Node) Step(now timekeeper.Millis, clientID uint64, endsTransaction bool, payload []byte) []Command {
	p := n.pending[n.requestIDs[clientID]]
	if p == nil || !p.open {
		if p != nil {
			n.removeRequest(p)
		}
		n.emit(Reply{ClientID: clientID, Outcome: *refusal(dispatcher.CodeRolledBack, "the transaction was rolled back", 0)})
		return n.takeCommands()
	}
	p.step++
	p.endsTransaction = endsTransaction
	p.waiting = true
	p.deadline = now + p.work.Timeout + replyGrace
	step := dispatcher.Step{ID: p.work.ID, StepNumber: p.step, Commit: endsTransaction, Payload: payload}
	if p.home == n.settings.Self.Name {
		h := n.openHome(now, p.work.Database)
		n.executeDispatcherCommands(now, h, h.dispatcher.Step(now, n.settings.Self.Name, step))
		return n.takeCommands()
	}
	if !n.sendMessage(now, p.home, Message{Step: &StepMessage{Database: p.work.Database, Gateway: n.settings.Self.Name, Step: step}}) {
		n.handleHomeLost(now, p)
	}
	return n.takeCommands()
}

func (n *Node) removeRequest(p *pending) {
	delete(n.pending, p.work.ID)
	if n.requestIDs[p.clientID] == p.work.ID {
		delete(n.requestIDs, p.clientID)
	}
}

// completeRequest handles the outcome of a request from one of this daemon's
// clients. Outcomes of requests and steps that no client waits for any more are
// ignored.
func (n *Node) completeRequest(now timekeeper.Millis, o dispatcher.Outcome) {
	p := n.pending[o.ID]
	if p == nil || !p.waiting && !closesIdleTransaction(o) || o.StepNumber != p.step {
		return
	}
	if o.Class == dispatcher.OutcomeRefused && o.Code == dispatcher.CodeOverload {
		n.cacheRefusal(now, p, o.RetryAfter)
	}
	n.reply(p, o)
}

// closesIdleTransaction reports whether an outcome ends an open transaction
// while its client waits for no outcome, for example after the idle timeout.
func closesIdleTransaction(o dispatcher.Outcome) bool {
	return o.Class == dispatcher.OutcomeRefused
}

// reply sends an outcome to the client and removes the request, unless its
// transaction stays open. A refusal means that the work did not run, so for work
// that may have run it becomes an unknown outcome.
func (n *Node) reply(p *pending, o dispatcher.Outcome) {
	if o.Class == dispatcher.OutcomeRefused && p.work.MayHaveRun {
		o = unknownOutcome(o.Text)
	}
	n.emit(Reply{ClientID: p.clientID, Outcome: o})
	p.waiting = false
	if o.InTransaction() {
		p.open = true
		return
	}
	n.removeRequest(p)
}
