package runner

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/storer"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// carryOut carries out one command without waiting. The runner is locked.
func (r *Runner) carryOut(c decider.Command) {
	switch command := c.(type) {
	case decider.Reply:
		r.reply(command)
	case decider.ToServer:
		r.toServer(command.Database, command.Command)
	case decider.ToPlatform:
		r.toPlatform(command.Database, command.Command)
	case decider.ToPeer:
		r.relayer.Send(r.ctx, command.To, command.Mail)
	case decider.Probe:
		r.relayer.Probe(watcher.Send(command))
	case decider.CancelCaller:
		key := decider.KeyMail(command)
		r.background(func(context.Context) {
			if r.listener.Cancels(key) {
				r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Cancel(now, key.Caller) })
			}
		})
	case decider.ReadTail:
		r.background(func(ctx context.Context) { r.readTail(ctx, command.After) })
	case decider.ReadHosts:
		r.background(r.readHosts)
	}
}

// background runs f in a goroutine that Run waits for.
func (r *Runner) background(f func(ctx context.Context)) {
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		f(r.ctx)
	}()
}

func (r *Runner) reply(c decider.Reply) {
	s := r.requests[c.Caller]
	delete(r.requests, c.Caller)
	r.observe(s, c.Outcome)
	r.listener.Reply(c.Caller, c.Outcome)
}

// observe counts an outcome in the metrics.
func (r *Runner) observe(s started, o dispatcher.Outcome) {
	r.metrics.Outcomes.WithLabelValues(string(o.Class), o.Code).Inc()
	if s.at.IsZero() {
		return
	}
	r.metrics.Wait.WithLabelValues(s.rank).Observe(time.Since(s.at).Seconds())
	if o.Class != dispatcher.ClassDone {
		return
	}
	r.metrics.Queue.WithLabelValues(s.rank).Observe(o.Waited.Duration().Seconds())
	if !s.read {
		r.metrics.Acknowledge.Observe(o.Acknowledged.Duration().Seconds())
		return
	}
	role := "primary"
	if o.Replica {
		role = "replica"
	}
	r.metrics.Reads.WithLabelValues(role).Inc()
}

func (r *Runner) toServer(database string, c any) {
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
	case dispatcher.Ask:
		r.ask(r.asks, database, question{server: command.Server, number: command.Number})
	case dispatcher.Watch:
		r.ask(r.watchers, database, question{server: command.Server, number: command.Number, watch: true, last: command.Last})
	case dispatcher.Inspect:
		r.inspect(database, command)
	case promoter.Fence:
		r.control(database, command.Server, func(ctx context.Context, c *connector.Control) {
			report, promised, err := c.Fence(ctx, command.Term)
			if err == nil {
				r.do(func(now timekeeper.Millis) []decider.Command {
					return r.node.Fenced(now, database, command.Attempt, command.Server, promised, report)
				})
			}
		})
	case promoter.Promote:
		r.control(database, command.Server, func(ctx context.Context, c *connector.Control) {
			report, promoted, err := c.Promote(ctx, command.Term)
			if err != nil {
				return
			}
			if promoted {
				r.metrics.Promotions.Inc()
			}
			r.do(func(now timekeeper.Millis) []decider.Command {
				return r.node.Promoted(now, database, command.Attempt, promoted, report)
			})
		})
	case promoter.Follow:
		address := r.targets[database][command.Primary].Address
		r.control(database, command.Server, func(ctx context.Context, c *connector.Control) {
			if _, _, err := c.Follow(ctx, command.Term, address); err != nil {
				r.log.Warnf("promoter: %s did not take its new primary: %v", command.Server, err)
			}
		})
	}
}

// open opens a connection and serves it until it ends.
func (r *Runner) open(ctx context.Context, database string, id pooler.Conn, target connector.Target) {
	conn, err := connector.Open(ctx, target)
	if err != nil {
		r.log.Warnf("pooler: connection %d to %s failed: %v", id, target.Address, err)
		r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Closed(now, database, id) })
		return
	}
	r.mu.Lock()
	r.conns[id] = conn
	r.mu.Unlock()
	done := conn.Run(ctx, func(a dispatcher.Answer) {
		a.Conn = id
		r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Answered(now, database, a) })
	})
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Opened(now, database, id) })
	<-done
	conn.Close()
	r.mu.Lock()
	delete(r.conns, id)
	r.mu.Unlock()
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Closed(now, database, id) })
}

func (r *Runner) exec(database string, e dispatcher.Exec) {
	conn := r.conns[e.Conn]
	if conn == nil {
		r.background(func(context.Context) {
			a := dispatcher.Answer{Conn: e.Conn, Reply: dispatcher.ReplyUnsent}
			r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Answered(now, database, a) })
		})
		return
	}
	conn.Exec(e)
}

// control runs a command on a control connection of its own.
func (r *Runner) control(database, server string, act func(context.Context, *connector.Control)) {
	target := r.targets[database][server]
	r.background(func(ctx context.Context) {
		c := connector.NewControl(target)
		defer c.Close()
		act(ctx, c)
	})
}

func (r *Runner) inspect(database string, c dispatcher.Inspect) {
	conn := r.conns[c.Conn]
	if conn == nil {
		return
	}
	pid := conn.PID()
	r.control(database, c.Server, func(ctx context.Context, control *connector.Control) {
		running, err := control.Running(ctx, pid)
		if err == nil {
			r.do(func(now timekeeper.Millis) []decider.Command {
				return r.node.Inspected(now, database, c.Conn, running)
			})
		}
	})
}

// claimTimeout bounds the platform's answers to claims.
const claimTimeout = 2 * time.Second

func (r *Runner) toPlatform(database string, c any) {
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		switch command := c.(type) {
		case promoter.Claim:
			written, present, err := r.platform.Claim(ctx, database, command.Row)
			if err != nil {
				r.log.Warnf("storer: the claim of %s got no answer: %v", database, err)
				return
			}
			r.do(func(now timekeeper.Millis) []decider.Command {
				return r.node.Claimed(now, database, command.Attempt, written, present)
			})
		case promoter.Publish:
			if err := r.platform.Publish(ctx, database, command.Row); err != nil {
				r.log.Warnf("storer: the row of %s is not published: %v", database, err)
			}
		}
	})
}

func (r *Runner) readTail(ctx context.Context, after int64) {
	snapshot, edits, err := r.platform.Tail(ctx, after)
	if err != nil {
		r.log.Warnf("storer: the lists can't be read: %v", err)
		return
	}
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.TailRead(now, snapshot, edits) })
}

func (r *Runner) readHosts(ctx context.Context) {
	hosts, err := r.platform.Hosts(ctx)
	if err != nil {
		r.log.Warnf("storer: the list of hosts can't be read: %v", err)
		return
	}
	members, leaving, servers := sortHosts(hosts)
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.HostsRead(now, members, leaving, servers) })
}

// sortHosts separates the platform's list into entry hosts, those of them that
// leave, and the leaving backend servers by database.
func sortHosts(hosts []storer.Host) ([]watcher.Member, map[string]bool, map[string]map[string]bool) {
	var members []watcher.Member
	leaving := map[string]bool{}
	servers := map[string]map[string]bool{}
	for _, h := range hosts {
		gone := h.State == "leaving"
		if h.Role != "backend" {
			members = append(members, watcher.Member{Name: h.Name, Address: h.Address, Domain: h.Domain})
			leaving[h.Name] = gone
			continue
		}
		if servers[h.Database] == nil {
			servers[h.Database] = map[string]bool{}
		}
		servers[h.Database][h.Name] = gone
	}
	return members, leaving, servers
}
