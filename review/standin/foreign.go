package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// recovery is recovery_s of the settings.
const recovery = 12 * time.Second

// tally counts requests by the time at which they were sent.
type tally struct {
	mu           sync.Mutex
	sent, served map[string]int
}

// request sends one statement on a session of its own, as many clients do.
func (t *tally) request(r *record, d *daemon, database, name, text, span string) {
	t.mu.Lock()
	t.sent[span]++
	t.mu.Unlock()
	c, err := connect(r, d.front, database, name)
	if err != nil {
		r.line("client %s cannot connect to %s: %v", name, d.name, err)
		return
	}
	defer c.close()
	if answer, err := c.query(newID(), text); err != nil || !answer.ok() {
		return
	}
	t.mu.Lock()
	t.served[span]++
	t.mu.Unlock()
}

// traffic sends requests through all daemons until the time is over.
func (t *tally) traffic(s *scene, span string, duration time.Duration) {
	var requests sync.WaitGroup
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		for k, d := range s.daemons {
			database, text := "lepu270", fmt.Sprintf("READ %d", k)
			switch i % 4 {
			case 1:
				text = fmt.Sprintf("WRITE %d w%d", k, i)
			case 2:
				database = "fiti832"
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				t.request(s.record, d, database, fmt.Sprintf("u%d", k+1), text, span)
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
}

// foreignEntry lets another writer put an entry without the field version beside those of
// the instances. Nobody listens at its address. Then all daemons are killed and start
// again.
func foreignEntry(s *scene) error {
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
	t := &tally{sent: map[string]int{}, served: map[string]int{}}
	t.traffic(s, "before", 2*time.Second)
	if s.trouble {
		address, err := freePort("127.0.0.1")
		if err != nil {
			return err
		}
		s.record.line("another writer puts servers/i-backup, without the field version")
		go func() {
			born := time.Now().UnixMilli()
			for seq := 1; ; seq++ {
				s.store.put("servers", "i-backup", map[string]any{
					"service": "ledger", "address": address, "zone": "xela-a", "slots": 8, "state": "ready", "warmup_left_ms": 0,
					"db_role": "primary", "seq": seq, "born": born,
				})
				time.Sleep(1200 * time.Millisecond)
			}
		}()
	}
	t.traffic(s, "before", 2*time.Second)
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, d := range s.daemons {
		<-d.exited
		if err := d.start(); err != nil {
			return err
		}
	}
	s.record.line("the machines are back")
	t.traffic(s, "recovery", recovery)
	t.traffic(s, "after", 8*time.Second)
	return t.judge(s.record, errors.New("too little traffic, or too little served before the final fault"))
}

// judge checks RECOVER. It returns unfit if the traffic does not allow a judgement.
func (t *tally) judge(r *record, unfit error) error {
	r.line("served before the final fault: %d of %d, later than recovery_s after it: %d of %d", t.served["before"], t.sent["before"], t.served["after"], t.sent["after"])
	if 4*t.served["before"] < t.sent["before"] || t.sent["after"] < 50 {
		return unfit
	}
	if 4*t.served["after"] < t.sent["after"] {
		r.broken("RECOVER: later than %v after the machines were back, %d of %d requests were served; %d of %d were before", recovery, t.served["after"], t.sent["after"], t.served["before"], t.sent["before"])
	}
	return nil
}
