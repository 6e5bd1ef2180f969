package proxier

import (
	"strconv"

	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// fakeClient is a caller that runs one operation after the other.
type fakeClient struct {
	w             *world
	name          string
	database      string
	daemon        *fakeDaemon
	session       uint64
	steps         []multiplexer.Statement
	writes        []string
	statement     string
	asked         timekeeper.Millis
	inTransaction bool
	lacks         string
	number        int
	gone          bool
	sent          bool
}

// connect opens a session at a daemon that runs.
func (w *world) connect(name, database string) {
	d := w.daemons[w.random.Intn(len(w.daemons))]
	if !d.up || !d.node.mux.Ready() || w.Now() < d.frozenUntil {
		w.After(100, func() { w.connect(name, database) })
		return
	}
	d.number++
	if a := d.node.mux.Connect(d.number, database, name); a.Code != multiplexer.CodeOK {
		w.After(100, func() { w.connect(name, database) })
		return
	}
	c := &fakeClient{w: w, name: name + "-" + strconv.FormatUint(d.number, 10) + d.name, database: database, daemon: d, session: d.number}
	d.clients[d.number] = c
	c.run(multiplexer.Statement{ID: c.name + "-set", Kind: multiplexer.KindSet, Name: c.value(), Args: c.name})
}

// value is the name of the session value that the client sets.
func (c *fakeClient) value() string {
	return "who" + c.database
}

func (c *fakeClient) run(st multiplexer.Statement) {
	c.statement = st.ID
	c.sent = c.sent || st.Kind == multiplexer.KindCommit || st.Kind == multiplexer.KindWrite && !c.inTransaction
	c.w.to(c.daemon, func() {
		if !c.gone {
			c.w.carry(c.daemon, c.daemon.node.mux.Run(c.w.Now(), c.session, st), nil)
		}
	})
}

// operation starts the next operation.
func (c *fakeClient) operation() {
	w := c.w
	c.number++
	c.asked = w.Now()
	c.sent = false
	c.steps, c.writes = nil, nil
	id := func() string {
		w.writes++
		return c.name + "-" + strconv.Itoa(w.writes)
	}
	write := func() multiplexer.Statement {
		name := id()
		c.writes = append(c.writes, name)
		return multiplexer.Statement{ID: name, Kind: multiplexer.KindWrite, Args: name}
	}
	read := func() multiplexer.Statement {
		return multiplexer.Statement{ID: id(), Kind: multiplexer.KindRead, Args: "x"}
	}
	writes := c.database != "bounded"
	switch choice := w.random.Intn(10); {
	case choice < 5:
		c.steps = append(c.steps, read())
	case choice < 7 && writes:
		c.steps = append(c.steps, write())
	case choice < 8 || !writes:
		c.steps = append(c.steps, multiplexer.Statement{ID: id(), Kind: multiplexer.KindBeginRead}, read(), read(), multiplexer.Statement{ID: id(), Kind: multiplexer.KindCommit})
	default:
		end := multiplexer.KindCommit
		if w.random.Intn(5) == 0 {
			end = multiplexer.KindRollback
		}
		c.steps = append(c.steps, multiplexer.Statement{ID: id(), Kind: multiplexer.KindBegin}, read(), write(), multiplexer.Statement{ID: id(), Kind: end})
	}
	c.next()
}

func (c *fakeClient) next() {
	if c.gone {
		return
	}
	if len(c.steps) == 0 {
		c.w.After(timekeeper.Millis(10+c.w.random.Intn(60)), func() {
			if !c.gone {
				c.operation()
			}
		})
		return
	}
	st := c.steps[0]
	c.steps = c.steps[1:]
	c.run(st)
}

// answered takes the answer to the client's statement.
func (c *fakeClient) answered(a multiplexer.Answer) {
	w := c.w
	if a.Code == multiplexer.CodeOK {
		if a.Signature != "" && c.lacks != "" {
			w.fault("stale: %s", c.lacks)
		}
		c.lacks = ""
		c.inTransaction = a.State == multiplexer.StateInTransaction
		if len(c.steps) == 0 && a.Signature != "" {
			w.served++
			c.acknowledge(w.server(a.Signature))
		}
		c.next()
		return
	}
	w.failed++
	c.lacks = ""
	c.steps = nil
	switch a.Code {
	case multiplexer.CodeNotRun, multiplexer.CodeAborted, multiplexer.CodeLagging, multiplexer.CodeReadOnly:
		for _, write := range c.writes {
			w.promised[write] = true
			for _, s := range w.servers {
				if s.primary && w.contains(s, write) {
					w.fault("write %s took effect though its caller was told %v", write, a.Code)
				}
			}
		}
	}
	c.inTransaction = a.State == multiplexer.StateInTransaction
	if a.State == multiplexer.StateFailedTransaction {
		c.inTransaction = false
		c.steps = []multiplexer.Statement{{ID: c.name + "-end", Kind: multiplexer.KindRollback}}
		c.writes = nil
	}
	w.After(50, c.next)
}

// acknowledge notes that the operation's writes are acknowledged.
func (c *fakeClient) acknowledge(s *fakeServer) {
	w := c.w
	if !c.sent {
		return
	}
	for _, write := range c.writes {
		for _, other := range w.servers {
			if other.primary && other.term > s.term && !w.contains(other, write) {
				w.fault("write %s is acknowledged from %s after %s leads term %d without it", write, s.id, other.id, other.term)
			}
		}
		w.acked[write] = ackedWrite{at: w.Now(), server: s, client: c.name}
	}
}

// lost ends the client's session; it connects again.
func (c *fakeClient) lost() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.daemon.clients, c.session)
	if c.daemon.up {
		c.w.carry(c.daemon, c.daemon.node.mux.Disconnect(c.w.Now(), c.session), nil)
	}
	c.w.After(100, func() { c.w.connect(c.name[:2], c.database) })
}
