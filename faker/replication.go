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
	// replicationUser is the user name of a replica's connection.
	replicationUser   = "replication"
	keepaliveInterval = 100 * time.Millisecond
	keepaliveTimeout  = time.Second
	redialInterval    = 100 * time.Millisecond
)

// streamRequest opens a replication stream.
type streamRequest struct {
	Term int64              `json:"term"`
	Held sequencer.Position `json:"held"`
}

// streamBatch is one message of a replication stream. An empty one keeps the
// stream alive.
type streamBatch struct {
	History sequencer.History `json:"history,omitempty"`
	Entries []Entry           `json:"entries,omitempty"`
}

// replication follows the primary of one term.
type replication struct {
	engine  *Engine
	faults  *faults
	term    int64
	address string
	local   string
}

// run streams until the context ends, connecting again whenever the stream
// breaks.
func (r *replication) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.stream(ctx)
		sleep(redialInterval, ctx.Done())
	}
}

func (r *replication) stream(ctx context.Context) {
	host, _, _ := strings.Cut(r.address, ":")
	if r.faults.isCut(host) {
		return
	}
	conn, err := dialFrom(ctx, r.local, r.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	frontend := pgproto3.NewFrontend(conn, conn)
	_ = conn.SetDeadline(time.Now().Add(keepaliveTimeout))
	if !r.open(frontend) {
		return
	}
	due := make(chan arrival, 1<<16)
	inner, cancel := context.WithCancel(ctx)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		r.receive(inner, due)
	}()
	defer func() {
		cancel()
		<-applied
	}()
	for {
		_ = conn.SetDeadline(time.Now().Add(keepaliveTimeout))
		batch, ok := readBatch(frontend)
		if !ok || r.faults.isCut(host) {
			return
		}
		if _, _, stalled := r.faults.delays(); stalled {
			return
		}
		r.engine.Heard()
		if batch.History != nil {
			if _, err := r.engine.Align(r.term, batch.History); err != nil {
				return
			}
		}
		for _, entry := range batch.Entries {
			select {
			case due <- arrival{at: time.Now(), entry: entry}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// dialFrom connects from the host of a local address, so that cuts by address
// work between stand-ins on one machine.
func dialFrom(ctx context.Context, local, address string) (net.Conn, error) {
	host, _, _ := strings.Cut(local, ":")
	dialer := net.Dialer{Timeout: keepaliveTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return dialer.DialContext(ctx, "tcp", address)
}

// open starts the stream after the position that the replica holds.
func (r *replication) open(frontend *pgproto3.Frontend) bool {
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": replicationUser},
	})
	request, err := json.Marshal(streamRequest{Term: r.term, Held: r.engine.Report().Received})
	if err != nil {
		return false
	}
	frontend.Send(&pgproto3.Query{String: string(request)})
	return frontend.Flush() == nil
}

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

// arrival is an entry with the time it came in.
type arrival struct {
	at    time.Time
	entry Entry
}

// receive holds each entry after the shipping delay and applies it after the
// further lag.
func (r *replication) receive(ctx context.Context, due <-chan arrival) {
	held := make(chan arrival, 1<<16)
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		r.apply(ctx, held)
	}()
	defer func() { <-applied }()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-due:
			ship, _, _ := r.faults.delays()
			if !sleep(time.Until(a.at.Add(ship)), ctx.Done()) {
				return
			}
			if r.engine.Receive(r.term, a.entry) != nil {
				return
			}
			held <- a
		}
	}
}

func (r *replication) apply(ctx context.Context, held <-chan arrival) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-held:
			ship, lag, _ := r.faults.delays()
			if !sleep(time.Until(a.at.Add(ship+lag)), ctx.Done()) {
				return
			}
			r.engine.ApplyUpTo(a.entry.At.Offset)
		}
	}
}

// serveStream sends a replica the log after the part it shares with this
// primary.
func (s *session) serveStream(ctx context.Context) {
	msg, err := s.backend.Receive()
	if err != nil {
		return
	}
	open, ok := msg.(*pgproto3.Query)
	if !ok {
		return
	}
	var request streamRequest
	if json.Unmarshal([]byte(open.String), &request) != nil {
		return
	}
	engine := s.server.engine
	report := engine.Report()
	if report.Role != sequencer.RolePrimary || report.PromisedTerm != request.Term {
		s.sendError(refused("replicate", "server is not the primary of term %d", request.Term))
		_ = s.backend.Flush()
		return
	}
	offset := report.History.Clamp(request.Held).Offset
	if !s.sendBatch(streamBatch{History: report.History}) {
		return
	}
	for ctx.Err() == nil {
		entries, err := engine.after(request.Term, offset, keepaliveInterval)
		if err != nil {
			return
		}
		if len(entries) > 0 {
			offset = entries[len(entries)-1].At.Offset
		}
		if !s.sendBatch(streamBatch{Entries: entries}) {
			return
		}
	}
}

func (s *session) sendBatch(batch streamBatch) bool {
	if s.isSilent() {
		return true
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return false
	}
	s.backend.Send(&pgproto3.CopyData{Data: data})
	return s.backend.Flush() == nil
}
