package multiplexer

import (
	"github.com/heatherhall/heatherhall/cataloger"
	"github.com/heatherhall/heatherhall/placer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/sequencer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// step is the progress of a job on its connection.
type step int

const (
	stepQueued step = iota
	// stepSetup sets session values and prepares statements on the connection.
	stepSetup
	// stepBegin begins the transaction at the server.
	stepBegin
	// stepRun runs the client's statement.
	stepRun
	// stepForwarded waits for the answer of a carrier.
	stepForwarded
	// stepAdmission waits for a token of the account.
	stepAdmission
)

// job is one statement of a client that a server must run.
type job struct {
	id        string
	session   *session
	statement Statement
	writes    bool
	database  cataloger.Database
	// account is the client account that the job runs for; empty if the database is open.
	account string
	group   *group
	arrived timekeeper.Millis
	// deadline is when the statement's time limit passes.
	deadline timekeeper.Millis
	// started is when the job first got a connection; 0 before.
	started  timekeeper.Millis
	attempts int
	lane     scheduler.Lane
	item     scheduler.Item
	step     step
	// requested says that the job is among the requests for connections, since
	// requestedAt.
	requested   bool
	requestedAt timekeeper.Millis
	conn        *conn
	server      *server
	floor       sequencer.Position
	// excluded are the servers that lacked the floor, failed the statement or
	// did not answer it. No replica among them gets the job again.
	excluded map[string]bool
	// sent is when the client's statement itself was sent.
	sent timekeeper.Millis
	// late says that the job misses its latency objective anyway. It has left the
	// queue and gives way to the queued jobs.
	late bool
	// admittedAt is when the job got a token of its account; 0 if it needed none.
	admittedAt timekeeper.Millis
	// mayHaveRun says that an earlier attempt ran or may have run.
	mayHaveRun bool
	// carrier is the daemon that the job was forwarded to, path what is known of
	// the path to it, and work the number under which it was forwarded.
	carrier placer.Host
	path    *carrierPath
	work    uint64
}

// queueTime returns how long the job waited for its first connection.
func (j *job) queueTime(now timekeeper.Millis) timekeeper.Millis {
	if j.started == 0 {
		return now - j.arrived
	}
	return j.started - j.arrived
}

// needsPrimary reports whether only the primary may run the job.
func (j *job) needsPrimary() bool {
	if j.database.Consistency == cataloger.ConsistencyPrimary {
		return true
	}
	if j.session.tx != nil {
		return !j.session.tx.readOnly
	}
	return j.writes
}

// hasSideEffects reports whether the job's statement may take effect in the
// database at once: it is a write outside a transaction, or the commit of a
// transaction that may write.
func (j *job) hasSideEffects() bool {
	if j.statement.Kind == KindCommit {
		return !j.session.tx.readOnly
	}
	return j.writes && j.session.tx == nil
}

// retryable reports whether the job may be sent again after it may have run.
func (j *job) retryable() bool {
	return !j.writes && j.session.tx == nil
}

// serverStatement returns the statement in the form that is sent to a server.
func (j *job) serverStatement() Statement {
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

// maxConnPrepared is how many prepared statements a server connection keeps. A client
// with ever new ones would otherwise fill the memory of the server and of this daemon.
const maxConnPrepared = 1000

// sessionSetup returns the statements that set the session's values on the
// connection and prepare the statement that the job executes. It records them
// as done on the connection.
func (j *job) sessionSetup() []Statement {
	c, s := j.conn, j.session
	var out []Statement
	reset := len(c.prepared) >= maxConnPrepared && (s.tx == nil || !s.tx.begun)
	for name := range c.values {
		if _, wanted := s.values[name]; !wanted {
			reset = true
			break
		}
	}
	if reset {
		out = append(out, Statement{Kind: KindReset})
		c.values = map[string]string{}
		c.prepared = map[string]bool{}
	}
	for _, name := range sortedKeys(s.values) {
		value := s.values[name]
		if current, found := c.values[name]; !found || current != value {
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
