package decider

import (
	"maps"
	"slices"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/watcher"
)

// Status is a daemon's status report.
type Status struct {
	Host            string           `json:"host"`
	Domain          string           `json:"domain"`
	Ready           bool             `json:"ready"`
	ListsVersion    int64            `json:"lists"`
	PendingRequests int              `json:"pending"`
	Hosts           []watcher.Member `json:"hosts"`
	Databases       []DatabaseStatus `json:"databases"`
}

// DatabaseStatus is the status of a database. Only a host that hosts the database
// sets the fields after Home.
type DatabaseStatus struct {
	Name    string                      `json:"name"`
	Home    string                      `json:"home"`
	Term    int64                       `json:"term,omitempty"`
	Primary string                      `json:"primary,omitempty"`
	Reports map[string]sequencer.Report `json:"reports,omitempty"`
	// Queued is the number of queued units of work by rank.
	Queued [scheduler.NumRanks]int `json:"waiting"`
}

// Status returns the daemon's current status report.
func (n *Node) Status() Status {
	s := Status{
		Host:            n.settings.Self.Name,
		Domain:          n.settings.Self.Domain,
		Ready:           n.Ready(),
		ListsVersion:    n.lists.Version(),
		PendingRequests: len(n.pending),
		Hosts:           n.hosts.Members(),
	}
	for _, name := range slices.Sorted(maps.Keys(n.settings.Databases)) {
		s.Databases = append(s.Databases, n.databaseStatus(name))
	}
	return s
}

func (n *Node) databaseStatus(name string) DatabaseStatus {
	d := DatabaseStatus{Name: name, Home: n.hosts.Home(name)}
	h := n.homes[name]
	if h == nil {
		return d
	}
	d.Term = h.dispatcher.History().Term()
	d.Primary = h.dispatcher.Primary()
	d.Reports = h.dispatcher.Reports()
	for rank := range d.Queued {
		d.Queued[rank] = h.dispatcher.QueueLen(scheduler.Rank(rank))
	}
	return d
}
