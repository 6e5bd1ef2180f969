package runner

import (
	"context"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// withControl calls act in the background with a new control connection to a
// server, and closes the connection afterwards.
func (r *Runner) withControl(database, server string, act func(context.Context, *connector.Control)) {
	target := r.targets[database][server]
	r.background(func(ctx context.Context) {
		c := connector.NewControl(target)
		defer c.Close()
		act(ctx, c)
	})
}

// inspect asks a server whether the session of a connection is running a
// statement. It reports nothing to the node if the server does not answer.
func (r *Runner) inspect(database string, c dispatcher.InspectSession) {
	conn := r.conns[c.Conn]
	if conn == nil {
		return
	}
	pid := conn.PID()
	r.withControl(database, c.Server, func(ctx context.Context, control *connector.Control) {
		running, err := control.Running(ctx, pid)
		if err == nil {
			r.update(func(now timekeeper.Millis) []decider.Command {
				return r.node.SessionInspected(now, database, c.Conn, running)
			})
		}
	})
}

// fence asks a server to promise a term. It reports nothing to the node if the
// server does not answer.
func (r *Runner) fence(database string, c promoter.Fence) {
	r.withControl(database, c.Server, func(ctx context.Context, control *connector.Control) {
		report, promised, err := control.Fence(ctx, c.Term)
		if err != nil {
			return
		}
		r.update(func(now timekeeper.Millis) []decider.Command {
			return r.node.FenceFinished(now, database, c.Attempt, c.Server, promised, report)
		})
	})
}

// promote asks a server to become the primary of a term. It reports nothing to
// the node if the server does not answer.
func (r *Runner) promote(database string, c promoter.Promote) {
	r.withControl(database, c.Server, func(ctx context.Context, control *connector.Control) {
		report, promoted, err := control.Promote(ctx, c.Term)
		if err != nil {
			return
		}
		if promoted {
			r.metrics.Promotions.Inc()
		}
		r.update(func(now timekeeper.Millis) []decider.Command {
			return r.node.PromotionFinished(now, database, c.Attempt, promoted, report)
		})
	})
}

// follow asks a server to become a replica of a primary. A failure is logged
// only.
func (r *Runner) follow(database string, c promoter.Follow) {
	address := r.targets[database][c.Primary].Address
	r.withControl(database, c.Server, func(ctx context.Context, control *connector.Control) {
		if _, _, err := control.Follow(ctx, c.Term, address); err != nil {
			r.log.Warnf("promoter: %s did not follow its new primary: %v", c.Server, err)
		}
	})
}
