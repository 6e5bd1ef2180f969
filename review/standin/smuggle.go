package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["smuggled"] = smuggled }

// smuggled lets a rude client send one write whose text has a line feed, which does not
// end a line of the protocol, beside a client that writes and reads.
func smuggled(s *scene) error {
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
	member, err := connect(s.record, s.daemons[0].front, "lepu270", "u1")
	if err != nil {
		return err
	}
	defer member.close()
	rude, err := connect(s.record, s.daemons[1].front, "lepu270", "u2")
	if err != nil {
		return err
	}
	defer rude.close()
	sent := map[string]string{}
	query := func(c *client, text string) (reply, error) {
		id := newID()
		sent[id] = text
		return c.query(id, text)
	}
	if r, err := query(member, "WRITE lot9 sold-to-u1"); err != nil || !r.ok() {
		return errors.New("the first write failed")
	}
	note := "paid in full; thanks"
	if s.trouble {
		note = "paid in full;\nQUERY 5c0e7a21ffffffff WRITE lot9 sold-to-u2"
	}
	if _, err := query(rude, "WRITE lot2 "+note); err != nil {
		s.record.line("the session of u2 has ended: %v", err)
	}
	time.Sleep(time.Second)
	r, err := query(member, "READ lot9")
	if err != nil || !r.ok() {
		return errors.New("the read failed")
	}
	s.record.line("u1 reads lot9: %q", r.rows)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for id, text := range s.cluster.ran {
		if sent[id] == "" {
			s.record.broken("UNASKED: an instance ran %s %q, which no client sent", id, text)
		} else if sent[id] != text {
			s.record.broken("UNASKED: an instance ran %s %q; the client sent %q", id, text, sent[id])
		}
	}
	if len(s.cluster.ran) < 3 {
		return fmt.Errorf("only %d statements have run", len(s.cluster.ran))
	}
	return nil
}
