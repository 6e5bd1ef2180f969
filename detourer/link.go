package detourer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/heatherhall/heatherhall/multiplexer"
)

// Methods of a link: a connection over which a daemon forwards its clients'
// statements to a carrier. It stays open while it is used.
const (
	methodForward = "forward"
	methodEnd     = "end"
	methodPing    = "ping"
)

const (
	// linkIdleTimeout is how long a link may be unused before it is closed.
	linkIdleTimeout = time.Minute
	// forwardReserve is how much longer than the statement's time limit the
	// requester waits for a carrier's answer.
	forwardReserve = time.Second
	// retiredLinkTime is how long a link that was renewed stays open for the
	// answers that are outstanding on it.
	retiredLinkTime = 5 * time.Second
)

// workEnd tells a carrier that forwarded work has ended.
type workEnd struct {
	Work uint64 `json:"work"`
}

// pingRequest asks for a sign of life, and for a load report if it names a group.
// An older daemon answers without a report.
type pingRequest struct {
	Group string `json:"group,omitempty"`
	// Domain is the asking daemon's failure domain.
	Domain string `json:"domain,omitempty"`
}

// ForwardHandler holds the functions that serve forwarded work. A link is
// identified by a number that is never used twice.
type ForwardHandler struct {
	// Run runs a statement and returns its answer.
	Run func(ctx context.Context, link uint64, request multiplexer.ForwardRequest) (multiplexer.ForwardAnswer, error)
	// Load reports to a daemon of a failure domain how long the reads of a group wait
	// here.
	Load func(group, domain string) multiplexer.LoadReport
	// End ends work whose client has left.
	End func(link, work uint64)
	// LinkClosed ends all work of a link.
	LinkClosed func(link uint64)
}

// handleForward serves a request on a link.
func (c *peerConn) handleForward(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	c.forwards.Store(true)
	c.expiry.Reset(linkIdleTimeout)
	switch r.Method {
	case methodForward:
		var request multiplexer.ForwardRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return c.Forward.Run(ctx, c.id, request)
	case methodEnd:
		var end workEnd
		if err := json.Unmarshal(*r.Params, &end); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		c.Forward.End(c.id, end.Work)
	case methodPing:
		var ping pingRequest
		if err := json.Unmarshal(*r.Params, &ping); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		if ping.Group != "" {
			return c.Forward.Load(ping.Group, ping.Domain), nil
		}
	}
	return struct{}{}, nil
}

// Links holds this daemon's links to carriers, one for each address. It is safe
// for concurrent use.
type Links struct {
	dialer net.Dialer

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// link is an open link, or one that is being opened.
type link struct {
	// ready is closed once rpc or err is set.
	ready  chan struct{}
	rpc    *jsonrpc2.Conn
	err    error
	cancel context.CancelFunc
}

// NewLinks returns a Links without links. They are opened when first used.
func NewLinks(dialer net.Dialer) *Links {
	return &Links{dialer: dialer, links: map[string]*link{}}
}

// Forward sends a statement to the carrier at an address and waits for the
// answer. With an error it reports whether the carrier may have received the
// statement.
func (l *Links) Forward(ctx context.Context, address string, request multiplexer.ForwardRequest) (multiplexer.ForwardAnswer, bool, error) {
	var answer multiplexer.ForwardAnswer
	conn, err := l.get(ctx, address)
	if err != nil {
		return answer, false, err
	}
	call, cancel := context.WithTimeout(ctx, request.Left.Duration()+forwardReserve)
	defer cancel()
	err = conn.rpc.Call(call, methodForward, request, &answer)
	var rejected *jsonrpc2.Error
	if errors.As(err, &rejected) && (rejected.Code == jsonrpc2.CodeMethodNotFound || rejected.Code == jsonrpc2.CodeInvalidParams) {
		// The daemon is older, or does not understand the request: it ran nothing.
		return multiplexer.ForwardAnswer{Unavailable: true}, true, nil
	}
	if err != nil {
		return answer, true, &Error{Op: methodForward, Kind: KindConnection, Text: err.Error()}
	}
	return answer, true, nil
}

// End tells the carrier at an address that work has ended. Without an open link
// the carrier knows already.
func (l *Links) End(ctx context.Context, address string, work uint64) {
	l.mu.Lock()
	conn := l.links[address]
	l.mu.Unlock()
	if conn == nil {
		return
	}
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return
	}
	if conn.err == nil {
		_ = conn.rpc.Notify(ctx, methodEnd, workEnd{Work: work}) // a broken link ends all its work
	}
}

// Ping waits for a sign of life of the carrier at an address.
func (l *Links) Ping(ctx context.Context, address string) error {
	_, err := l.ping(ctx, address, pingRequest{})
	return err
}

// AskLoad asks the daemon at an address, for a daemon of a failure domain, how long
// the reads of a group wait there. An invalid report ends the link.
func (l *Links) AskLoad(ctx context.Context, address, group, domain string) (multiplexer.LoadReport, error) {
	report, err := l.ping(ctx, address, pingRequest{Group: group, Domain: domain})
	if err != nil {
		return report, err
	}
	if err := report.Validate(); err != nil {
		l.Renew(address)
		return multiplexer.LoadReport{}, &Error{Op: methodPing, Kind: KindConnection, Text: err.Error()}
	}
	return report, nil
}

func (l *Links) ping(ctx context.Context, address string, request pingRequest) (multiplexer.LoadReport, error) {
	var report multiplexer.LoadReport
	conn, err := l.get(ctx, address)
	if err != nil {
		return report, err
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := conn.rpc.Call(call, methodPing, request, &report); err != nil {
		return report, &Error{Op: methodPing, Kind: KindConnection, Text: err.Error()}
	}
	return report, nil
}

// Renew makes later requests to an address use a new link. Requests in progress
// may still be answered on the old one for retiredLinkTime.
func (l *Links) Renew(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.links[address]
	if conn == nil {
		return
	}
	delete(l.links, address)
	time.AfterFunc(retiredLinkTime, conn.close)
}

// Close closes all links. Later requests fail.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, conn := range l.links {
		go conn.close()
	}
}

func (c *link) close() {
	<-c.ready
	if c.err == nil {
		c.cancel()
		_ = c.rpc.Close() // it may have ended already
	}
}

// broken reports whether the link was open and has ended. Nothing can be sent on it.
func (c *link) broken() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	if c.err != nil {
		return true
	}
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// get returns the open link to an address. It opens one if there is none.
func (l *Links) get(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, &Error{Op: methodForward, Kind: KindConnection, Text: "the daemon ends"}
	}
	conn := l.links[address]
	opens := conn == nil || conn.broken()
	if opens {
		conn = &link{ready: make(chan struct{})}
		l.links[address] = conn
	}
	l.mu.Unlock()
	if opens {
		l.open(conn, address)
	}
	select {
	case <-conn.ready:
		return conn, conn.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open opens a link and removes it from the map when it has ended.
func (l *Links) open(conn *link, address string) {
	defer close(conn.ready)
	dial, done := context.WithTimeout(context.Background(), peerTimeout)
	defer done()
	stream, err := l.dialer.DialContext(dial, "tcp", address)
	if err != nil {
		conn.err = &Error{Op: methodForward, Kind: KindConnection, Text: err.Error()}
		l.remove(address, conn)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	conn.cancel = cancel
	conn.rpc = jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(stream), jsonrpc2.HandlerWithError(rejectRequest), discardLog)
	go func() {
		<-conn.rpc.DisconnectNotify()
		cancel()
		l.remove(address, conn)
	}()
}

func (l *Links) remove(address string, conn *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == conn {
		delete(l.links, address)
	}
}
