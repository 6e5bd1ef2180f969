package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["lost-commit"] = lostCommit }

// acked holds the writes that were acknowledged to clients, by data.
type acked struct {
	mu     sync.Mutex
	writes map[string]string
}

// write sends single writes until stop is closed.
func (a *acked) write(r *record, d *daemon, name string, stop <-chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = connect(r, d.front, "lepu270", name); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		data, id := fmt.Sprintf("%s.%d", name, i), newID()
		answer, err := c.query(id, "WRITE settlement "+data)
		switch {
		case err != nil:
			c.close()
			c = nil
		case answer.ok():
			a.mu.Lock()
			a.writes[data] = answer.position
			a.mu.Unlock()
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// lostCommit lets a primary crash for good while one of its two replicas is shut down as
// planned. The service has one synchronous replica.
func lostCommit(s *scene) error {
	var err error
	if s.cluster, err = newCluster("ledger", s.record, s.store, []string{"xela-a", "xela-b", "xela-c"}, 3*time.Millisecond, 8, 40, true); err != nil {
		return err
	}
	primary, leaving, slower := s.cluster.instances[0], s.cluster.instances[1], s.cluster.instances[2]
	slower.receiveDelay = 60 * time.Millisecond
	s.store.failover = s.cluster.failover
	a, judged := &acked{writes: map[string]string{}}, make(chan struct{})
	s.cluster.promoted = func(in *instance) {
		have := map[string]bool{}
		for _, e := range in.log {
			have[e.data] = true
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		for data, position := range a.writes {
			if !have[data] {
				s.record.broken("LOST: the write %s was acknowledged at %s and is not in the log of %s, which is promoted", data, position, in.id)
			}
		}
		close(judged)
	}
	s.manifest(1)
	time.Sleep(200 * time.Millisecond)
	if err := s.start([]string{"xela-a", "xela-b", "xela-c"}); err != nil {
		return err
	}
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	for i, d := range s.daemons {
		ended.Add(1)
		go func() {
			defer ended.Done()
			a.write(s.record, d, fmt.Sprintf("u%d", i+1), stop)
		}()
	}
	time.Sleep(3 * time.Second)
	s.cluster.drain(leaving)
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		s.cluster.crash(primary)
		select {
		case <-judged:
		case <-time.After(40 * time.Second):
			s.record.line("no instance was promoted")
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	ended.Wait()
	if len(a.writes) < 50 {
		return errors.New("too few writes were acknowledged")
	}
	return nil
}
