package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// step is how far a job is on its connection.
type step int

const (
	stepQueued step = iota
	// stepPrepare replays session values and prepared statements.
	stepPrepare
	// stepBegin opens the transaction at the server.
	stepBegin
	// stepRun runs the caller's statement.
	stepRun
)

// job is one statement of a caller that a server must run.
type job struct {
	id        string
	session   *session
	statement Statement
	writes    bool
	database  cataloger.Database
	group     *group
	arrived   timekeeper.Millis
	// due is when the statement's time limit passes.
	due      timekeeper.Millis
	started  timekeeper.Millis
	attempts int
	lane     scheduler.Lane
	item     scheduler.Item
	step     step
	conn     *conn
	server   *server
	floor    sequencer.Position
	// avoided are the replicas that lacked the floor or failed the statement.
	avoided map[string]bool
	// sent is when the caller's statement itself was sent.
	sent timekeeper.Millis
	// ran says that an earlier attempt ran, or may have.
	ran bool
}

// queued returns how long the job waited before it was first sent.
func (j *job) queued(now timekeeper.Millis) timekeeper.Millis {
	if j.started == 0 {
		return now - j.arrived
	}
	return j.started - j.arrived
}

// needsLead reports whether only the primary may run the job.
func (j *job) needsLead() bool {
	if j.database.Consistency == cataloger.ConsistencyPrimary {
		return true
	}
	if j.session.tx != nil {
		return !j.session.tx.readOnly
	}
	return j.writes
}

// changes reports whether running the job may leave something behind: a write
// outside a transaction, or a commit.
func (j *job) changes() bool {
	if j.statement.Kind == KindCommit {
		return !j.session.tx.readOnly
	}
	return j.writes && j.session.tx == nil
}

// repeatable reports whether the job may be sent again after it may have run.
func (j *job) repeatable() bool {
	return !j.writes && j.session.tx == nil
}

// text returns the statement as it is sent to a server.
func (j *job) text() Statement {
	st := j.statement
	if st.Kind == KindExecute {
		st.Name = j.session.prepared[st.Name].serverName()
	}
	if st.Kind == KindRead || st.Kind == KindExecute && !j.writes {
		if j.session.tx == nil {
			st.Floor = j.floor
		}
	}
	return st
}

// preparations returns what the connection must be told before the job's
// statement, so that it has the session's values and prepared statements.
func (j *job) preparations() []Statement {
	c, s := j.conn, j.session
	var out []Statement
	for name := range c.values {
		if _, wanted := s.values[name]; !wanted {
			out = append(out, Statement{Kind: KindReset})
			c.values = map[string]string{}
			c.prepared = map[string]bool{}
			break
		}
	}
	for _, name := range sortedKeys(s.values) {
		value := s.values[name]
		if have, told := c.values[name]; !told || have != value {
			out = append(out, Statement{Kind: KindSet, Name: name, Args: value})
			c.values[name] = value
		}
	}
	if j.statement.Kind == KindExecute {
		p := s.prepared[j.statement.Name]
		if name := p.serverName(); !c.prepared[name] {
			out = append(out, Statement{Kind: KindPrepare, Name: name, Writes: p.writes, Args: p.shape})
			c.prepared[name] = true
		}
	}
	return out
}
