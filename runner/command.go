package runner

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// execute executes one command without blocking: slow operations run in the
// background. It is called with mu held.
func (r *Runner) execute(c decider.Command) {
	switch command := c.(type) {
	case decider.Reply:
		r.reply(command)
	case decider.ToServer:
		r.executeOnServer(command.Database, command.Command)
	case decider.ToPlatform:
		r.executeOnPlatform(command.Database, command.Command)
	case decider.ToPeer:
		r.relayer.Send(r.ctx, command.To, command.Message)
	case decider.GossipPacket:
		r.relayer.SendPacket(watcher.Envelope(command))
	case decider.CancelClient:
		key := decider.CancelKeyMessage(command)
		r.background(func(context.Context) {
			if r.listener.OwnsCancelKey(key) {
				r.update(func(now timekeeper.Millis) []decider.Command { return r.node.Cancel(now, key.ClientID) })
			}
		})
	case decider.ReadEdits:
		r.background(func(ctx context.Context) { r.readEdits(ctx, command.After) })
	case decider.ReadHosts:
		r.background(r.readHosts)
	}
}

// background runs f in a goroutine that Run waits for.
func (r *Runner) background(f func(ctx context.Context)) {
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f(r.ctx)
	}()
}

// reply records the outcome of a request in the metrics and passes it to the
// client.
func (r *Runner) reply(c decider.Reply) {
	start := r.requests[c.ClientID]
	delete(r.requests, c.ClientID)
	r.observe(start, c.Outcome)
	r.listener.Reply(c.ClientID, c.Outcome)
}

// observe counts an outcome in the metrics. If the start of the request is known,
// it also records the request's durations and, for a read, the role of the server
// that answered.
func (r *Runner) observe(start requestStart, o dispatcher.Outcome) {
	r.metrics.Outcomes.WithLabelValues(string(o.Class), o.Code).Inc()
	if start.at.IsZero() {
		return
	}
	r.metrics.RequestSeconds.WithLabelValues(start.rank).Observe(time.Since(start.at).Seconds())
	if o.Class != dispatcher.OutcomeDone {
		return
	}
	r.metrics.QueueSeconds.WithLabelValues(start.rank).Observe(o.QueueTime.Duration().Seconds())
	if !start.read {
		r.metrics.AcknowledgeSeconds.Observe(o.AckDelay.Duration().Seconds())
		return
	}
	role := "primary"
	if o.Replica {
		role = "replica"
	}
	r.metrics.Reads.WithLabelValues(role).Inc()
}

// executeOnServer executes a command of the dispatcher or promoter of a database
// on one of its servers.
func (r *Runner) executeOnServer(database string, c any) {
	switch command := c.(type) {
	case dispatcher.OpenConn:
		target := r.targets[database][command.Server]
		r.background(func(ctx context.Context) { r.open(ctx, database, command.Conn, target) })
	case dispatcher.CloseConn:
		if conn := r.conns[command.Conn]; conn != nil {
			delete(r.conns, command.Conn)
			conn.Close()
		}
	case dispatcher.CancelExec:
		if conn := r.conns[command.Conn]; conn != nil {
			r.background(conn.Cancel)
		}
	case dispatcher.Exec:
		r.exec(database, command)
	case dispatcher.Poll:
		r.requestReport(r.polls, database, reportRequest{server: command.Server, seq: command.Seq})
	case dispatcher.Watch:
		r.requestReport(r.watches, database, reportRequest{server: command.Server, seq: command.Seq, watch: true, lastReport: command.LastReport})
	case dispatcher.InspectSession:
		r.inspect(database, command)
	case promoter.Fence:
		r.fence(database, command)
	case promoter.Promote:
		r.promote(database, command)
	case promoter.Follow:
		r.follow(database, command)
	}
}

// open opens a connection, reports it to the node and runs work on it. It blocks
// until the connection ends, and reports that too.
func (r *Runner) open(ctx context.Context, database string, id pooler.Conn, target connector.Target) {
	conn, err := connector.Open(ctx, target)
	if err != nil {
		r.log.Warnf("pooler: connection %d to %s failed: %v", id, target.Address, err)
		r.update(func(now timekeeper.Millis) []decider.Command { return r.node.ConnClosed(now, database, id) })
		return
	}
	r.mu.Lock()
	r.conns[id] = conn
	r.mu.Unlock()
	done := conn.Run(ctx, func(result dispatcher.ExecResult) {
		result.Conn = id
		r.update(func(now timekeeper.Millis) []decider.Command { return r.node.ExecFinished(now, database, result) })
	})
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.ConnOpened(now, database, id) })
	<-done
	conn.Close()
	r.mu.Lock()
	delete(r.conns, id)
	r.mu.Unlock()
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.ConnClosed(now, database, id) })
}

// exec sends work over a connection, or reports the work as not sent if the
// connection is closed. It is called with mu held and reporting to the node locks
// mu, so it reports in the background.
func (r *Runner) exec(database string, e dispatcher.Exec) {
	conn := r.conns[e.Conn]
	if conn == nil {
		r.background(func(context.Context) {
			result := dispatcher.ExecResult{Conn: e.Conn, ExecStatus: dispatcher.ExecStatusUnsent}
			r.update(func(now timekeeper.Millis) []decider.Command { return r.node.ExecFinished(now, database, result) })
		})
		return
	}
	conn.Exec(e)
}
