package runner

import (
	"context"

	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// reportRequest asks a server for a status report: at once for a poll, or when
// it differs from lastReport for a watch.
type reportRequest struct {
	server     string
	seq        uint64
	watch      bool
	lastReport sequencer.Report
}

// maxQueuedRequests is the capacity of the queue of report requests to one
// server. The dispatcher keeps one poll and one watch outstanding, in separate
// queues.
const maxQueuedRequests = 4

// requestReport queues a report request to a server, or reports the request as
// failed if the queue is full. The first request to a server starts the goroutine
// that sends the queued requests one after the other over one connection.
// requestReport is called with mu held.
func (r *Runner) requestReport(queues map[string]chan reportRequest, database string, request reportRequest) {
	name := database + "/" + request.server
	queue := queues[name]
	if queue == nil {
		queue = make(chan reportRequest, maxQueuedRequests)
		queues[name] = queue
		target := r.targets[database][request.server]
		r.background(func(ctx context.Context) { r.serveReportRequests(ctx, database, target, queue) })
	}
	select {
	case queue <- request:
	default:
		r.background(func(context.Context) { r.reportFailed(database, request) })
	}
}

// serveReportRequests sends queued report requests to a server and reports the
// results to the node, until the context ends.
func (r *Runner) serveReportRequests(ctx context.Context, database string, target connector.Target, queue <-chan reportRequest) {
	control := connector.NewControl(target)
	defer control.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-queue:
			wait := timekeeper.Millis(0)
			if request.watch {
				wait = connector.WatchTimeout
			}
			report, err := control.Watch(ctx, request.lastReport, wait)
			if err != nil {
				r.reportFailed(database, request)
				continue
			}
			r.update(func(now timekeeper.Millis) []decider.Command {
				return r.node.ReportReceived(now, database, request.server, request.seq, request.watch, report)
			})
		}
	}
}

func (r *Runner) reportFailed(database string, request reportRequest) {
	r.update(func(now timekeeper.Millis) []decider.Command {
		return r.node.ReportFailed(now, database, request.server, request.seq, request.watch)
	})
}
