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
	// takeoverPeriod is how long a new home uses only shareNew of the
	// connections, because the old home may still use its own.
	takeoverPeriod timekeeper.Millis = 3000
	// idleTimeout is how long a host that is not the home of a database keeps its
	// state of the database after the last work for it.
	idleTimeout timekeeper.Millis = 5000
	// Shares of each server's connections, in percent: of the home, of a new home
	// during takeoverPeriod, and of a host that has work for the database but is
	// not its home.
	shareHome    = 80
	shareNew     = 50
	shareNonHome = 15
)

// home is the state of a database that this host hosts: its work and its primary
// changes. A host that is not the database's home keeps such state too while it
// runs work for the database, and for idleTimeout after that.
type home struct {
	database   string
	dispatcher *dispatcher.Dispatcher
	promoter   *promoter.Promoter
	// isHome reports whether this host is the database's home, and homeSince is
	// when isHome last changed.
	isHome    bool
	homeSince timekeeper.Millis
	lastUsed  timekeeper.Millis
	nextPrune timekeeper.Millis
	// lastTick is the time of the last tick; withoutPrimary is the total time
	// that the database had no usable primary while this host was its home.
	lastTick       timekeeper.Millis
	withoutPrimary timekeeper.Millis
}

func newHome(now timekeeper.Millis, database string, n *Node) *home {
	h := &home{
		database: database,
		dispatcher: dispatcher.New(n.settings.Databases[database], dispatcher.Deps{
			NextConn:          n.nextConn,
			Log:               n.deps.Log,
			InvariantViolated: n.deps.InvariantViolated,
		}),
		promoter:  promoter.New(n.settings.Promoter, database, n.settings.Self.Name, n.deps.Log),
		homeSince: now,
		lastUsed:  now,
		nextPrune: now + pruneInterval,
	}
	h.dispatcher.SetConnectionShare(shareNonHome)
	return h
}

// setIsHome sets whether this host is the database's home, and its share of the
// servers' connections accordingly.
func (h *home) setIsHome(now timekeeper.Millis, isHome bool, n *Node) {
	if isHome != h.isHome {
		h.isHome = isHome
		h.homeSince = now
		n.logf("watcher: this host is the home of %s: %v", h.database, isHome)
	}
	switch {
	case !isHome:
		h.dispatcher.SetConnectionShare(shareNonHome)
	case now-h.homeSince < takeoverPeriod && n.hostListKnown:
		h.dispatcher.SetConnectionShare(shareNew)
	default:
		h.dispatcher.SetConnectionShare(shareHome)
	}
	if isHome || h.dispatcher.PendingWork() > 0 {
		h.lastUsed = now
	}
}

// idle reports whether the host may discard its state of the database: the host
// is not the home, has had no work of the database for idleTimeout, and runs no
// primary change.
func (h *home) idle(now timekeeper.Millis) bool {
	return !h.isHome && now-h.lastUsed > idleTimeout && !h.promoter.Busy()
}

func (h *home) tick(now timekeeper.Millis, n *Node) {
	if h.isHome && h.lastTick > 0 && !h.dispatcher.HasPrimary(now) {
		h.withoutPrimary += now - h.lastTick
	}
	h.lastTick = now
	n.executeDispatcherCommands(now, h, h.dispatcher.Tick(now))
	if h.isHome && now >= h.nextPrune {
		h.nextPrune = now + pruneInterval
		h.pruneLedger(now, n)
	}
	if h.isHome || h.promoter.Busy() {
		n.executePromoterCommands(h, h.promoter.Tick(now, h.dispatcher.ServerViews(now), h.dispatcher.ActiveWrites()))
		n.executeDispatcherCommands(now, h, h.dispatcher.SetWritesPaused(now, h.promoter.Draining() || h.promoter.Busy()))
	}
}

// pruneInterval is the time between two prunes of the ledger. Each deletes the
// keys that expired since the last one, so that a prune stays small.
const pruneInterval timekeeper.Millis = 10_000

// pruneLedger submits work of the lowest rank that deletes the request keys older
// than the ledger's retention. It does nothing without a primary or a retention.
func (h *home) pruneLedger(now timekeeper.Millis, n *Node) {
	retention := n.settings.Databases[h.database].LedgerRetention
	if h.dispatcher.Primary() == "" || retention <= 0 {
		return
	}
	n.executeDispatcherCommands(now, h, h.dispatcher.Submit(now, dispatcher.Work{
		ID:       n.nextID(),
		Database: h.database,
		Rank:     scheduler.RankBrowse,
		Write:    true,
		Timeout:  pruneInterval,
		SQL:      deduplicator.PruneSQL(deduplicator.FormatTime(now - retention)),
	}))
}

// executeDispatcherCommands executes a dispatcher's commands. Outcomes go to
// their gateway daemon, which may be this host; those without a gateway, of the
// daemon's own statements, are dropped. All other commands are for the servers.
func (n *Node) executeDispatcherCommands(now timekeeper.Millis, h *home, commands []dispatcher.Command) {
	for _, c := range commands {
		deliver, isOutcome := c.(dispatcher.DeliverOutcome)
		if !isOutcome {
			n.emit(ToServer{Database: h.database, Command: c})
			continue
		}
		outcome := deliver.Outcome
		if deliver.Gateway == "" {
			continue
		}
		if deliver.Gateway == n.settings.Self.Name {
			n.completeRequest(now, outcome)
			continue
		}
		n.sendMessage(now, deliver.Gateway, Message{Outcome: &outcome})
	}
}

func (n *Node) executePromoterCommands(h *home, commands []promoter.Command) {
	for _, c := range commands {
		switch c.(type) {
		case promoter.Claim, promoter.Publish:
			n.emit(ToPlatform{Database: h.database, Command: c})
		default:
			n.emit(ToServer{Database: h.database, Command: c})
		}
	}
}

// withHome calls act with this host's state of a database, if the host hosts the
// database, and executes the commands that act returns.
func (n *Node) withHome(now timekeeper.Millis, database string, act func(*home) []dispatcher.Command) []Command {
	if h := n.homes[database]; h != nil {
		n.executeDispatcherCommands(now, h, act(h))
	}
	return n.takeCommands()
}

// ConnOpened reports that a connection has been opened. If this host no longer
// hosts the database, the connection is closed again.
func (n *Node) ConnOpened(now timekeeper.Millis, database string, conn pooler.Conn) []Command {
	if n.homes[database] == nil {
		return []Command{ToServer{Database: database, Command: dispatcher.CloseConn{Conn: conn}}}
	}
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ConnOpened(now, conn)
	})
}

// ConnClosed reports that a connection could not be opened or was closed by the
// server.
func (n *Node) ConnClosed(now timekeeper.Millis, database string, conn pooler.Conn) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ConnClosed(now, conn)
	})
}

// ExecFinished reports the result of an Exec command.
func (n *Node) ExecFinished(now timekeeper.Millis, database string, result dispatcher.ExecResult) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ExecFinished(now, result)
	})
}

// SessionInspected reports the result of an InspectSession command: whether the
// server runs a statement in the session behind the connection.
func (n *Node) SessionInspected(now timekeeper.Millis, database string, conn pooler.Conn, running bool) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.SessionInspected(now, conn, running)
	})
}

// ReportReceived reports a server's status report. It answers the status request
// with the number seq, which was a Watch (long poll) if watched, otherwise a
// Poll.
func (n *Node) ReportReceived(now timekeeper.Millis, database, server string, seq uint64, watched bool, report sequencer.Report) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ReportReceived(now, server, seq, watched, report)
	})
}

// ReportFailed reports that a server did not answer the status request with the
// number seq; watched is as for ReportReceived.
func (n *Node) ReportFailed(now timekeeper.Millis, database, server string, seq uint64, watched bool) []Command {
	return n.withHome(now, database, func(h *home) []dispatcher.Command {
		return h.dispatcher.ReportFailed(now, server, seq, watched)
	})
}

// ClaimFinished reports the platform's answer to a claim: whether the row was
// written, and the row that is stored now. Drivers don't call it if the platform
// did not answer.
func (n *Node) ClaimFinished(now timekeeper.Millis, database string, attempt int, written bool, stored promoter.Row) []Command {
	if h := n.homes[database]; h != nil {
		n.executePromoterCommands(h, h.promoter.ClaimFinished(now, attempt, written, stored, h.dispatcher.ServerViews(now)))
	}
	return n.takeCommands()
}

// FenceFinished reports a server's answer to a Fence command: whether the server
// promised the term, and its status report.
func (n *Node) FenceFinished(now timekeeper.Millis, database string, attempt int, server string, promised bool, report sequencer.Report) []Command {
	if h := n.homes[database]; h != nil {
		n.executePromoterCommands(h, h.promoter.FenceFinished(now, attempt, server, promised, report, h.dispatcher.ServerViews(now)))
	}
	return n.takeCommands()
}

// PromotionFinished reports a server's answer to a Promote command: whether the
// server is the primary now, and its status report.
func (n *Node) PromotionFinished(now timekeeper.Millis, database string, attempt int, promoted bool, report sequencer.Report) []Command {
	if h := n.homes[database]; h != nil {
		n.executePromoterCommands(h, h.promoter.PromotionFinished(now, attempt, promoted, report, h.dispatcher.ServerViews(now)))
	}
	return n.takeCommands()
}
