package faker

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/heatherhall/heatherhall/sequencer"
)

const (
	// replicationUser is the user name that replicas connect with.
	replicationUser = "replication"
	// keepaliveInterval is how often a stream without new entries sends an empty
	// batch.
	keepaliveInterval = 100 * time.Millisecond
	// keepaliveTimeout bounds connecting to the primary and the time between two
	// batches. After this time without a batch, a replica closes the stream.
	keepaliveTimeout = time.Second
	// redialInterval is the pause before a replica connects again.
	redialInterval = 100 * time.Millisecond
)

// streamRequest is the query that starts a replication stream: the term that the
// replica follows and the position of the last entry that it has received.
type streamRequest struct {
	Term     int64              `json:"term"`
	Received sequencer.Position `json:"held"`
}

// streamBatch is one message of a replication stream. The first batch of a
// stream holds the primary's timeline history, the later ones hold log entries.
// An empty batch is a keepalive.
type streamBatch struct {
	History sequencer.History `json:"history,omitempty"`
	Entries []Entry           `json:"entries,omitempty"`
}

// replication replicates the log of the primary of one term.
type replication struct {
	engine         *Engine
	faults         *faults
	term           int64
	primaryAddress string
	localAddress   string
}

// run replicates until the context ends. It connects again whenever the stream
// breaks.
func (r *replication) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.stream(ctx)
		sleep(redialInterval, ctx.Done())
	}
}

// stream connects to the primary and reads the replication stream until it
// breaks, the context ends, or a fault partitions the server from the primary or
// stops replication.
func (r *replication) stream(ctx context.Context) {
	ip, _, _ := strings.Cut(r.primaryAddress, ":")
	if r.faults.isPartitioned(ip) {
		return
	}
	conn, err := dialFrom(ctx, r.localAddress, r.primaryAddress)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	_ = conn.SetDeadline(time.Now().Add(keepaliveTimeout))
	if !r.sendRequest(frontend) {
		return
	}
	arrivals := make(chan arrival, 1<<16)
	workerCtx, cancel := context.WithCancel(ctx)
	receiveDone := make(chan struct{})
	go func() {
		defer close(receiveDone)
		r.receive(workerCtx, arrivals)
	}()
	defer func() {
		cancel()
		<-receiveDone
	}()
	for {
		_ = conn.SetDeadline(time.Now().Add(keepaliveTimeout))
		batch, ok := readBatch(frontend)
		if !ok || r.faults.isPartitioned(ip) {
			return
		}
		if _, _, stalled := r.faults.delays(); stalled {
			return
		}
		r.engine.RecordStreamMessage()
		if batch.History != nil {
			if _, err := r.engine.TruncateToCommon(r.term, batch.History); err != nil {
				return
			}
		}
		for _, entry := range batch.Entries {
			select {
			case arrivals <- arrival{arrivedAt: time.Now(), entry: entry}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// dialFrom connects to an address from the IP of a local address, so that the
// cut fault, which matches IP addresses, works between stand-ins on one machine.
func dialFrom(ctx context.Context, local, address string) (net.Conn, error) {
	ip, _, _ := strings.Cut(local, ":")
	dialer := net.Dialer{Timeout: keepaliveTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return dialer.DialContext(ctx, "tcp", address)
}

// sendRequest asks the primary to start the stream after the last entry that the
// replica has received. It returns false if sending failed.
func (r *replication) sendRequest(frontend *pgproto3.Frontend) bool {
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": replicationUser},
	})
	request, err := json.Marshal(streamRequest{Term: r.term, Received: r.engine.Report().Received})
	if err != nil {
		return false
	}
	frontend.Send(&pgproto3.Query{String: string(request)})
	return frontend.Flush() == nil
}

// readBatch reads the next batch of the stream. It returns false if the stream
// broke or the primary sent an error.
func readBatch(frontend *pgproto3.Frontend) (streamBatch, bool) {
	var batch streamBatch
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return batch, false
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			return batch, json.Unmarshal(m.Data, &batch) == nil
		case *pgproto3.ErrorResponse:
			return batch, false
		}
	}
}

// arrival is a log entry and the time at which the stream delivered it.
type arrival struct {
	arrivedAt time.Time
	entry     Entry
}

// receive appends each entry to the log when its ship delay is over and applies
// it after the further lag. It returns when the context ends or the log rejects
// an entry.
func (r *replication) receive(ctx context.Context, arrivals <-chan arrival) {
	received := make(chan arrival, 1<<16)
	applyDone := make(chan struct{})
	go func() {
		defer close(applyDone)
		r.apply(ctx, received)
	}()
	defer func() { <-applyDone }()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-arrivals:
			ship, _, _ := r.faults.delays()
			if !sleep(time.Until(a.arrivedAt.Add(ship)), ctx.Done()) {
				return
			}
			if r.engine.Receive(r.term, a.entry) != nil {
				return
			}
			received <- a
		}
	}
}

// apply applies each received entry when its ship delay and lag are over, until
// the context ends.
func (r *replication) apply(ctx context.Context, received <-chan arrival) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-received:
			ship, lag, _ := r.faults.delays()
			if !sleep(time.Until(a.arrivedAt.Add(ship+lag)), ctx.Done()) {
				return
			}
			r.engine.ApplyUpTo(a.entry.Position.Offset)
		}
	}
}

// serveReplication sends a replica the timeline history and then the log entries
// after the last one in common. It ends when the connection breaks or the server
// is no longer the primary of the requested term.
func (s *session) serveReplication(ctx context.Context) {
	msg, err := s.protocol.Receive()
	if err != nil {
		return
	}
	startQuery, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	var request streamRequest
	if json.Unmarshal([]byte(startQuery.String), &request) != nil {
		return
	}
	engine := s.server.engine
	report := engine.Report()
	if report.Role != sequencer.RolePrimary || report.PromisedTerm != request.Term {
		s.sendError(stateError("replicate", "server is not the primary of term %d", request.Term))
		_ = s.protocol.Flush()
		return
	}
	offset := report.History.Clamp(request.Received).Offset
	if !s.sendBatch(streamBatch{History: report.History}) {
		return
	}
	for ctx.Err() == nil {
		entries, err := engine.entriesAfter(request.Term, offset, keepaliveInterval)
		if err != nil {
			return
		}
		if len(entries) > 0 {
			offset = entries[len(entries)-1].Position.Offset
		}
		if !s.sendBatch(streamBatch{Entries: entries}) {
			return
		}
	}
}

// sendBatch sends a batch, or nothing if the session is unresponsive. It returns
// false if sending failed.
func (s *session) sendBatch(batch streamBatch) bool {
	if s.isUnresponsive() {
		return true
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return false
	}
	s.protocol.Send(&pgproto3.CopyData{Data: data})
	return s.protocol.Flush() == nil
}
