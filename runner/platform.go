package runner

import (
	"context"
	"time"

	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/storer"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// claimTimeout is the timeout of a claim or publication of a database's row.
const claimTimeout = 2 * time.Second

// executeOnPlatform executes a command of a database's promoter on the platform,
// in the background. A claim without an answer is logged and not reported to the
// node.
func (r *Runner) executeOnPlatform(database string, c any) {
	r.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		switch command := c.(type) {
		case promoter.Claim:
			written, present, err := r.platform.Claim(ctx, database, command.Row)
			if err != nil {
				r.log.Warnf("storer: claiming the row of database %s failed: %v", database, err)
				return
			}
			r.update(func(now timekeeper.Millis) []decider.Command {
				return r.node.ClaimFinished(now, database, command.Attempt, written, present)
			})
		case promoter.Publish:
			if err := r.platform.Publish(ctx, database, command.Row); err != nil {
				r.log.Warnf("storer: publishing the row of database %s failed: %v", database, err)
			}
		}
	})
}

// readEdits reads the edits of the operators' lists after a version and reports
// them to the node.
func (r *Runner) readEdits(ctx context.Context, after int64) {
	snapshot, edits, err := r.platform.EditsAfter(ctx, after)
	if err != nil {
		r.log.Warnf("storer: reading the operators' lists failed: %v", err)
		return
	}
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.EditsRead(now, snapshot, edits) })
}

// readHosts reads the platform's list of hosts and reports it to the node.
func (r *Runner) readHosts(ctx context.Context) {
	hosts, err := r.platform.Hosts(ctx)
	if err != nil {
		r.log.Warnf("storer: reading the platform's list of hosts failed: %v", err)
		return
	}
	members, leaving := splitHosts(hosts)
	r.update(func(now timekeeper.Millis) []decider.Command { return r.node.HostsRead(now, members, leaving) })
}

// splitHosts returns the hosts of daemons in the platform's list, and which of
// these hosts and of the backend servers are leaving.
func splitHosts(hosts []storer.Host) ([]watcher.Member, decider.LeavingSet) {
	var members []watcher.Member
	leaving := decider.LeavingSet{Hosts: map[string]bool{}, Servers: map[string]map[string]bool{}}
	for _, h := range hosts {
		isLeaving := h.State == "leaving"
		if h.Role != "backend" {
			members = append(members, watcher.Member{Name: h.Name, Address: h.Address, Domain: h.Domain})
			if isLeaving {
				leaving.Hosts[h.Name] = true
			}
			continue
		}
		if isLeaving && leaving.Servers[h.Database] == nil {
			leaving.Servers[h.Database] = map[string]bool{}
		}
		if isLeaving {
			leaving.Servers[h.Database][h.Name] = true
		}
	}
	return members, leaving
}
