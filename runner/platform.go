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
	snapshot, edits, err := r.platform.EditsAfter(ctx, after)
	if err != nil {
		r.log.Warnf("storer: the lists can't be read: %v", err)
		return
	}
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.EditsRead(now, snapshot, edits) })
}

func (r *Runner) readHosts(ctx context.Context) {
	hosts, err := r.platform.Hosts(ctx)
	if err != nil {
		r.log.Warnf("storer: the list of hosts can't be read: %v", err)
		return
	}
	members, leaving := sortHosts(hosts)
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.HostsRead(now, members, leaving) })
}

// sortHosts separates the platform's list into entry hosts and what is leaving.
func sortHosts(hosts []storer.Host) ([]watcher.Member, decider.LeavingSet) {
	var members []watcher.Member
	leaving := decider.LeavingSet{Hosts: map[string]bool{}, Servers: map[string]map[string]bool{}}
	for _, h := range hosts {
		gone := h.State == "leaving"
		if h.Role != "backend" {
			members = append(members, watcher.Member{Name: h.Name, Address: h.Address, Domain: h.Domain})
			if gone {
				leaving.Hosts[h.Name] = true
			}
			continue
		}
		if gone && leaving.Servers[h.Database] == nil {
			leaving.Servers[h.Database] = map[string]bool{}
		}
		if gone {
			leaving.Servers[h.Database][h.Name] = true
		}
	}
	return members, leaving
}
