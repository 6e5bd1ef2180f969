package decider

import (
	"github.com/heatherhall/heatherhall/deduplicator"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

const (
	// takeOver is how long a new home leaves connections to the old one.
	takeOver timekeeper.Millis = 3000
	// linger is how long a host keeps a database that is not its own any more
	// without work for it.
	linger timekeeper.Millis = 5000
	// Shares of a server's connections in percent.
	shareHome  = 80
	shareNew   = 50
	shareStray = 15
)

// home is a database that this host keeps: its work and its changes of primary.
type home struct {
	database   string
	dispatcher *dispatcher.Dispatcher
	promoter   *promoter.Promoter
	mine       bool
	since      timekeeper.Millis
	used       timekeeper.Millis
	trim       timekeeper.Millis
	// seen is when the home last looked, and vacant how long its database has
	// been without a primary in all.
	seen   timekeeper.Millis
	vacant timekeeper.Millis
}

func newHome(now timekeeper.Millis, database string, n *Node) *home {
	h := &home{
		database: database,
		dispatcher: dispatcher.New(n.settings.Databases[database], dispatcher.Deps{
			NextConn:          n.nextConn,
			Log:               n.seams.Log,
			InvariantViolated: n.seams.InvariantViolated,
		}),
		promoter: promoter.New(n.settings.Promoter, database, n.settings.Self.Name, n.seams.Log),
		since:    now,
		used:     now,
		trim:     now + trimInterval,
	}
	h.dispatcher.SetConnectionShare(shareStray)
	return h
}

// setMine notes whether this host is the database's home now.
func (h *home) setMine(now timekeeper.Millis, mine bool, n *Node) {
	if mine != h.mine {
		h.mine = mine
		h.since = now
		n.logf("watcher: this host is the home of %s: %v", h.database, mine)
	}
	switch {
	case !mine:
		h.dispatcher.SetConnectionShare(shareStray)
	case now-h.since < takeOver && n.started:
		h.dispatcher.SetConnectionShare(shareNew)
	default:
		h.dispatcher.SetConnectionShare(shareHome)
	}
	if mine || h.dispatcher.PendingWork() > 0 {
		h.used = now
	}
}

// idle reports whether the host may forget the database.
func (h *home) idle(now timekeeper.Millis) bool {
	return !h.mine && now-h.used > linger && !h.promoter.Busy()
}

func (h *home) tick(now timekeeper.Millis, n *Node) {
	if h.mine && h.seen > 0 && !h.dispatcher.HasPrimary(now) {
		h.vacant += now - h.seen
	}
	h.seen = now
	n.serverCommands(now, h, h.dispatcher.Tick(now))
	if h.mine && now >= h.trim {
		h.trim = now + trimInterval
		h.trimLedger(now, n)
	}
	if h.mine || h.promoter.Busy() {
		n.promoterCommands(h, h.promoter.Tick(now, h.dispatcher.ServerViews(now), h.dispatcher.ActiveWrites()))
		n.serverCommands(now, h, h.dispatcher.SetWritesPaused(now, h.promoter.Draining() || h.promoter.Busy()))
	}
}

// trimInterval is the time between two trims of the ledger. Each deletes what
// became too old in the meantime, a small piece.
const trimInterval timekeeper.Millis = 10_000

// trimLedger deletes old keys from the ledger as work of the lowest rank.
func (h *home) trimLedger(now timekeeper.Millis, n *Node) {
	keep := n.settings.Databases[h.database].LedgerRetention
	if h.dispatcher.Primary() == "" || keep <= 0 {
		return
	}
	n.serverCommands(now, h, h.dispatcher.Submit(now, dispatcher.Work{
		ID:       n.nextID(),
		Database: h.database,
		Rank:     scheduler.RankBrowse,
		Write:    true,
		Timeout:  trimInterval,
		SQL:      deduplicator.PruneSQL(deduplicator.FormatTime(now - keep)),
	}))
}

// serverCommands carries out what a dispatcher decided.
func (n *Node) serverCommands(now timekeeper.Millis, h *home, commands []dispatcher.Command) {
	for _, c := range commands {
		finish, done := c.(dispatcher.DeliverOutcome)
		if !done {
			n.emit(ToServer{Database: h.database, Command: c})
			continue
		}
		outcome := finish.Outcome
		if finish.Gateway == "" {
			continue
		}
		if finish.Gateway == n.settings.Self.Name {
			n.settle(now, outcome)
			continue
		}
		n.mail(now, finish.Gateway, Message{Outcome: &outcome})
	}
}

func (n *Node) promoterCommands(h *home, commands []promoter.Command) {
	for _, c := range commands {
		switch c.(type) {
		case promoter.Claim, promoter.Publish:
			n.emit(ToPlatform{Database: h.database, Command: c})
		default:
			n.emit(ToServer{Database: h.database, Command: c})
		}
	}
}

// withHome calls act with the home of a database, if this host keeps it.
func (n *Node) withHome(now timekeeper.Millis, database string, act func(*home) []dispatcher.Command) []Command {
	if h := n.homes[database]; h != nil {
		n.serverCommands(now, h, act(h))
	}
	return n.take()
}

// ConnOpened takes a connection that has been opened.
func (n *Node) ConnOpened(now timekeeper.Millis, database string, conn pooler.Conn) []Command {
	if n.homes[database] == nil {
		return []Command{ToServer{Database: database, Command: dispatcher.CloseConn{Conn: conn}}}
	}
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ConnOpened(now, conn)
	})
}

// ConnClosed takes a connection that could not be opened or was closed by the
// server.
func (n *Node) ConnClosed(now timekeeper.Millis, database string, conn pooler.Conn) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ConnClosed(now, conn)
	})
}

// ExecFinished takes what a connection returned.
func (n *Node) ExecFinished(now timekeeper.Millis, database string, a dispatcher.ExecResult) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ExecFinished(now, a)
	})
}

// SessionInspected takes a server's word on the session behind a connection.
func (n *Node) SessionInspected(now timekeeper.Millis, database string, conn pooler.Conn, running bool) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.SessionInspected(now, conn, running)
	})
}

// ReportReceived takes a server's report.
func (n *Node) ReportReceived(now timekeeper.Millis, database, server string, number uint64, watched bool, report sequencer.Report) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ReportReceived(now, server, number, watched, report)
	})
}

// ReportFailed tells that a server did not answer a question.
func (n *Node) ReportFailed(now timekeeper.Millis, database, server string, number uint64, watched bool) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ReportFailed(now, server, number, watched)
	})
}

// Claimed takes the platform's answer to a claim. Drivers report a platform
// that did not answer by not calling it.
func (n *Node) Claimed(now timekeeper.Millis, database string, attempt int, written bool, present promoter.Row) []Command {
	if h := n.homes[database]; h != nil {
		n.promoterCommands(h, h.promoter.Claimed(now, attempt, written, present, h.dispatcher.ServerViews(now)))
	}
	return n.take()
}

// Fenced takes a server's answer to a fence.
func (n *Node) Fenced(now timekeeper.Millis, database string, attempt int, server string, promised bool, report sequencer.Report) []Command {
	if h := n.homes[database]; h != nil {
		n.promoterCommands(h, h.promoter.Fenced(now, attempt, server, promised, report, h.dispatcher.ServerViews(now)))
	}
	return n.take()
}

// Promoted takes a server's answer to its promotion.
func (n *Node) Promoted(now timekeeper.Millis, database string, attempt int, promoted bool, report sequencer.Report) []Command {
	if h := n.homes[database]; h != nil {
		n.promoterCommands(h, h.promoter.Promoted(now, attempt, promoted, report, h.dispatcher.ServerViews(now)))
	}
	return n.take()
}
