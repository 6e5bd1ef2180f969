package runner

import (
	"context"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// question is an Ask or a Watch of a server.
type question struct {
	server string
	number uint64
	watch  bool
	last   sequencer.Report
}

// questionLimit is how many questions may wait for one server. The decisions
// keep one outstanding.
const questionLimit = 4

// ask hands a question to the goroutine that puts them to a server, one after
// the other over one connection. The runner is locked.
func (r *Runner) ask(askers map[string]chan question, database string, q question) {
	name := database + "/" + q.server
	questions := askers[name]
	if questions == nil {
		questions = make(chan question, questionLimit)
		askers[name] = questions
		target := r.targets[database][q.server]
		r.background(func(ctx context.Context) { r.answerQuestions(ctx, database, target, questions) })
	}
	select {
	case questions <- q:
	default:
		r.background(func(context.Context) { r.missed(database, q) })
	}
}

func (r *Runner) answerQuestions(ctx context.Context, database string, target connector.Target, questions <-chan question) {
	control := connector.NewControl(target)
	defer control.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-questions:
			wait := timekeeper.Millis(0)
			if q.watch {
				wait = connector.WatchTimeout
			}
			report, err := control.Watch(ctx, q.last, wait)
			if err != nil {
				r.missed(database, q)
				continue
			}
			r.do(func(now timekeeper.Millis) []decider.Command {
				return r.node.ReportReceived(now, database, q.server, q.number, q.watch, report)
			})
		}
	}
}

func (r *Runner) missed(database string, q question) {
	r.do(func(now timekeeper.Millis) []decider.Command {
		return r.node.ReportFailed(now, database, q.server, q.number, q.watch)
	})
}
