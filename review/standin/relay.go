package main

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["changed-text"] = changedText }

// changedText cuts the path from one daemon to a primary. A client of that daemon writes
// and reads texts that are not UTF-8.
func changedText(s *scene) error {
	var err error
	if s.cluster, err = newCluster("ledger", s.record, s.store, []string{"xela-a", "xela-b", "xela-c"}, 3*time.Millisecond, 8, 40, false); err != nil {
		return err
	}
	s.store.failover = s.cluster.failover
	s.manifest(0)
	time.Sleep(200 * time.Millisecond)
	if err := s.start([]string{"xela-a", "xela-b", "xela-c"}); err != nil {
		return err
	}
	primary, daemon := s.cluster.instances[0], s.daemons[0]
	c, err := connect(s.record, daemon.front, "lepu270", "u1")
	if err != nil {
		return err
	}
	defer c.close()
	if r, err := c.query(newID(), "WRITE lot1 before"); err != nil || !r.ok() {
		return fmt.Errorf("the first write failed: %v %s", err, r.failure)
	}
	var cut atomic.Bool
	s.cluster.mu.Lock()
	primary.cut = func(remote string) bool { return cut.Load() && net.ParseIP(remote).String() == daemon.ip }
	s.cluster.mu.Unlock()
	if s.trouble {
		s.record.line("the path from %s to %s is cut", daemon.name, primary.id)
		cut.Store(true)
	}
	data := "A\xf1o " // "Año" in ISO 8859-1
	done := 0
	for i, cutAt := 0, time.Now(); time.Since(cutAt) < 4500*time.Millisecond; i++ {
		item, sent := "lot"+strconv.Itoa(i+2), data+strconv.Itoa(i)
		id := newID()
		w, err := c.query(id, "WRITE "+item+" "+sent)
		if err != nil {
			return err
		}
		if w.ok() {
			done++
			if ran, found := s.cluster.written(item); found && ran != sent {
				s.record.broken("UNASKED: the client sent %s WRITE %s %q, the instance ran it with %q", id, item, sent, ran)
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	cut.Store(false)
	if done < 3 {
		return fmt.Errorf("only %d writes were acknowledged", done)
	}
	return nil
}

// written returns the data that the primary has for an item.
func (c *cluster) written(item string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := c.leader()
	for i := len(leader.log) - 1; i >= 0; i-- {
		if leader.log[i].item == item {
			return leader.log[i].data, true
		}
	}
	return "", false
}
