package proxier

import (
	"strconv"

	"github.com/heatherhall/heatherhall/multiplexer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// fakeClient is a client that runs one operation after another.
type fakeClient struct {
	sim      *simulation
	name     string
	database string
	daemon   *fakeDaemon
	session  uint64
	// steps are the statements of the operation that are still to be run.
	steps []multiplexer.Statement
	// writeIDs are the IDs of the operation's writes.
	writeIDs []string
	// statementID is the ID of the last statement that was sent.
	statementID   string
	startedAt     timekeeper.Millis
	inTransaction bool
	// staleRead describes a write that the last read lacks; empty if none.
	staleRead    string
	operations   int
	disconnected bool
	// commitSent is set once the operation has sent a statement that commits.
	commitSent bool
}

// connectClient opens a session at a random daemon, and retries until one accepts it.
func (sim *simulation) connectClient(name, database string) {
	d := sim.daemons[sim.random.Intn(len(sim.daemons))]
	if !d.up || !d.logic.mux.Ready() || sim.Now() < d.frozenUntil {
		sim.After(100, func() { sim.connectClient(name, database) })
		return
	}
	d.lastSession++
	if a := d.logic.mux.Connect(sim.Now(), d.lastSession, database, name); a.Code != multiplexer.CodeOK {
		sim.After(100, func() { sim.connectClient(name, database) })
		return
	}
	c := &fakeClient{sim: sim, name: name + "-" + strconv.FormatUint(d.lastSession, 10) + d.name, database: database, daemon: d, session: d.lastSession}
	d.clients[d.lastSession] = c
	c.run(multiplexer.Statement{ID: c.name + "-set", Kind: multiplexer.KindSet, Name: c.sessionKey(), Args: c.name})
}

// sessionKey returns the name of the session value that the client sets.
func (c *fakeClient) sessionKey() string {
	return "who" + c.database
}

// run sends a statement to the client's daemon.
func (c *fakeClient) run(st multiplexer.Statement) {
	c.statementID = st.ID
	c.commitSent = c.commitSent || st.Kind == multiplexer.KindCommit || st.Kind == multiplexer.KindWrite && !c.inTransaction
	c.sim.deliver(c.daemon, func() {
		if !c.disconnected {
			c.sim.executeCommands(c.daemon, c.daemon.logic.mux.Run(c.sim.Now(), c.session, st), nil)
		}
	})
}

// startOperation starts a random read, write or transaction. Clients of the bounded
// database do not write.
func (c *fakeClient) startOperation() {
	sim := c.sim
	c.operations++
	c.startedAt = sim.Now()
	c.commitSent = false
	c.steps, c.writeIDs = nil, nil
	id := func() string {
		sim.writeCount++
		return c.name + "-" + strconv.Itoa(sim.writeCount)
	}
	write := func() multiplexer.Statement {
		name := id()
		c.writeIDs = append(c.writeIDs, name)
		return multiplexer.Statement{ID: name, Kind: multiplexer.KindWrite, Args: name}
	}
	read := func() multiplexer.Statement {
		return multiplexer.Statement{ID: id(), Kind: multiplexer.KindRead, Args: "x"}
	}
	writable := c.database != "bounded"
	switch choice := sim.random.Intn(10); {
	case choice < 5:
		c.steps = append(c.steps, read())
	case choice < 7 && writable:
		c.steps = append(c.steps, write())
	case choice < 8 || !writable:
		c.steps = append(c.steps, multiplexer.Statement{ID: id(), Kind: multiplexer.KindBeginRead}, read(), read(), multiplexer.Statement{ID: id(), Kind: multiplexer.KindCommit})
	default:
		end := multiplexer.KindCommit
		if sim.random.Intn(5) == 0 {
			end = multiplexer.KindRollback
		}
		c.steps = append(c.steps, multiplexer.Statement{ID: id(), Kind: multiplexer.KindBegin}, read(), write(), multiplexer.Statement{ID: id(), Kind: end})
	}
	c.nextStep()
}

// nextStep runs the operation's next statement, or starts the next operation after a
// pause.
func (c *fakeClient) nextStep() {
	if c.disconnected {
		return
	}
	if len(c.steps) == 0 {
		c.sim.After(timekeeper.Millis(10+c.sim.random.Intn(60)), func() {
			if !c.disconnected {
				c.startOperation()
			}
		})
		return
	}
	st := c.steps[0]
	c.steps = c.steps[1:]
	c.run(st)
}

// handleAnswer checks the answer to the client's statement and runs the next one. An
// error ends the operation, with a rollback if a transaction has failed.
func (c *fakeClient) handleAnswer(a multiplexer.Answer) {
	sim := c.sim
	if a.Code == multiplexer.CodeOK {
		if a.Signature != "" && c.staleRead != "" {
			sim.violation("stale read: %s", c.staleRead)
		}
		c.staleRead = ""
		c.inTransaction = a.State == multiplexer.StateInTransaction
		if len(c.steps) == 0 && a.Signature != "" {
			sim.served++
			c.acknowledge(sim.server(a.Signature))
		}
		c.nextStep()
		return
	}
	sim.failed++
	c.staleRead = ""
	c.steps = nil
	switch a.Code {
	case multiplexer.CodeNotRun, multiplexer.CodeAborted, multiplexer.CodeLagging, multiplexer.CodeReadOnly:
		for _, write := range c.writeIDs {
			sim.reportedNotRun[write] = true
			for _, s := range sim.servers {
				if s.primary && sim.contains(s, write) {
					sim.violation("write %s took effect although its client got the answer %v", write, a.Code)
				}
			}
		}
	}
	c.inTransaction = a.State == multiplexer.StateInTransaction
	if a.State == multiplexer.StateFailedTransaction {
		c.inTransaction = false
		c.steps = []multiplexer.Statement{{ID: c.name + "-end", Kind: multiplexer.KindRollback}}
		c.writeIDs = nil
	}
	sim.After(50, c.nextStep)
}

// acknowledge records the operation's writes as acknowledged by server s, and checks
// that a primary of a later term has them.
func (c *fakeClient) acknowledge(s *fakeServer) {
	sim := c.sim
	if !c.commitSent {
		return
	}
	for _, write := range c.writeIDs {
		for _, other := range sim.servers {
			if other.primary && other.term > s.term && !sim.contains(other, write) {
				sim.violation("write %s is acknowledged by %s after %s became the primary of term %d without it", write, s.id, other.id, other.term)
			}
		}
		sim.ackedWrites[write] = ackedWrite{at: sim.Now(), server: s, client: c.name}
	}
}

// disconnect ends the client's session and connects a new client for it later.
func (c *fakeClient) disconnect() {
	if c.disconnected {
		return
	}
	c.disconnected = true
	delete(c.daemon.clients, c.session)
	if c.daemon.up {
		c.sim.executeCommands(c.daemon, c.daemon.logic.mux.Disconnect(c.sim.Now(), c.session), nil)
	}
	c.sim.After(100, func() { c.sim.connectClient(c.name[:2], c.database) })
}
