package runner

import (
	"context"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// control runs a command on a control connection of its own.
func (r *Runner) control(database, server string, act func(context.Context, *connector.Control)) {
	target := r.targets[database][server]
	r.background(func(ctx context.Context) {
		c := connector.NewControl(target)
		defer c.Close()
		act(ctx, c)
	})
}

func (r *Runner) inspect(database string, c dispatcher.InspectSession) {
	conn := r.conns[c.Conn]
	if conn == nil {
		return
	}
	pid := conn.PID()
	r.control(database, c.Server, func(ctx context.Context, control *connector.Control) {
		running, err := control.Running(ctx, pid)
		if err == nil {
			r.do(func(now timekeeper.Millis) []decider.Command {
				return r.node.SessionInspected(now, database, c.Conn, running)
			})
		}
	})
}

func (r *Runner) fence(database string, c promoter.Fence) {
	r.control(database, c.Server, func(ctx context.Context, control *connector.Control) {
		report, promised, err := control.Fence(ctx, c.Term)
		if err != nil {
			return
		}
		r.do(func(now timekeeper.Millis) []decider.Command {
			return r.node.Fenced(now, database, c.Attempt, c.Server, promised, report)
		})
	})
}

func (r *Runner) promote(database string, c promoter.Promote) {
	r.control(database, c.Server, func(ctx context.Context, control *connector.Control) {
		report, promoted, err := control.Promote(ctx, c.Term)
		if err != nil {
			return
		}
		if promoted {
			r.metrics.Promotions.Inc()
		}
		r.do(func(now timekeeper.Millis) []decider.Command {
			return r.node.Promoted(now, database, c.Attempt, promoted, report)
		})
	})
}

func (r *Runner) follow(database string, c promoter.Follow) {
	address := r.targets[database][c.Primary].Address
	r.control(database, c.Server, func(ctx context.Context, control *connector.Control) {
		if _, _, err := control.Follow(ctx, c.Term, address); err != nil {
			r.log.Warnf("promoter: %s did not take its new primary: %v", c.Server, err)
		}
	})
}
