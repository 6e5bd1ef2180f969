package listener

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"time"

	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/rationer"
)

const (
	// freeSize is the size in bytes up to which the messages of a batch need no
	// reservation. The cost of a connection includes it.
	freeSize = 8 << 10
	// StatementCopies is how many times a statement is in memory while it is parsed and
	// passed on: its text, without hints, its parse tree, and its encodings for servers
	// and other daemons. 60 statements of 15 MB took 5.07 GB in a process with four
	// daemons.
	StatementCopies = 6
	// maxUnauthenticatedSize is the maximum size in bytes of a message before the
	// session.
	maxUnauthenticatedSize = 10_000
	// readBufferSize is the size in bytes of the buffer from which frames are read.
	readBufferSize = 1 << 10
	// reserveStep is the least that is reserved at once, in bytes of messages.
	reserveStep = 64 << 10
	// startupHeaderLength is the length of a header without type, before the session.
	startupHeaderLength = 4
	// startupCode is the major version of the protocol, which the StartupMessage, the
	// last message without type, begins with.
	startupCode = 3
)

// errRefused says that a message got no memory and was discarded.
var errRefused = errors.New("the message got no memory")

// frameReader reads a client's messages for a pgproto3.Backend, which allocates memory
// for a whole message as soon as it has the header. The frameReader reserves the memory
// before it passes the header on, and sets the deadlines of reads.
type frameReader struct {
	client *client
	reader *bufio.Reader
	// typed says that messages have a type, as all after the StartupMessage.
	typed bool
	// left is how many bytes of the current message have not been passed on.
	left int
	// refused is the type of the message that was discarded with errRefused.
	refused byte
}

func newFrameReader(c *client, r io.Reader) *frameReader {
	return &frameReader{client: c, reader: bufio.NewReaderSize(r, readBufferSize)}
}

// Read implements io.Reader. It returns a header or a part of a body, never both.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.left == 0 {
		return f.readHeader(p)
	}
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	if f.left == 0 {
		f.client.messageRead()
	}
	return n, err
}

// readHeader reads the header of the next message and reserves memory for its body.
func (f *frameReader) readHeader(p []byte) (int, error) {
	length := startupHeaderLength
	if f.typed {
		length = headerLength
	}
	if f.reader.Buffered() == 0 && !f.client.inBatch() {
		if _, err := f.reader.Peek(1); err != nil { // an idle session has no deadline
			return 0, err
		}
	}
	if f.reader.Buffered() < length {
		f.client.awaitMessage()
	}
	header, err := f.reader.Peek(length)
	if err != nil {
		return 0, err
	}
	body := int(int32(binary.BigEndian.Uint32(header[length-4:]))) - 4
	if !f.typed {
		start, err := f.reader.Peek(length + 2) // the major version or the code of a request
		if err != nil {
			return 0, err
		}
		f.typed = binary.BigEndian.Uint16(start[length:]) == startupCode
	}
	n := copy(p, header)
	kind := header[0]
	_, _ = f.reader.Discard(length) // these bytes are there
	if body < 0 || body > maxMessageSize {
		return n, nil // the Backend fails
	}
	f.left = body
	if f.reader.Buffered() < body {
		f.client.awaitMessage()
	} else {
		f.client.messageRead()
	}
	if length == startupHeaderLength {
		return n, nil // the Backend has a limit for these
	}
	if err := f.client.reserve(length + body); err != nil {
		if err != errRefused {
			return 0, err
		}
		f.refused = kind
		_, err := io.CopyN(io.Discard, f.reader, int64(body))
		f.left = 0
		f.client.messageRead()
		if err == nil {
			err = errRefused
		}
		return 0, err
	}
	return n, nil
}

// inBatch reports whether the client has begun a batch or has no session yet, so that
// the next message has a deadline.
func (c *client) inBatch() bool {
	return !c.started || c.batchSize > 0
}

// awaitMessage sets the deadline for the rest of a message.
func (c *client) awaitMessage() {
	if c.started {
		c.setReadDeadline(time.Now().Add(c.listener.deps.Timeouts.Message.Duration()))
		c.hasDeadline = true
	}
}

// messageRead removes the deadline of a message that has been read.
func (c *client) messageRead() {
	if c.hasDeadline {
		c.setReadDeadline(time.Time{})
		c.hasDeadline = false
	}
}

// setReadDeadline sets the deadline of reads, unless the connection was stopped.
func (c *client) setReadDeadline(deadline time.Time) {
	_ = c.raw.SetReadDeadline(deadline) // the next read fails too
	if c.stopped.Load() {
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// reserve reserves memory for a message of a size. It returns errRefused if the message
// is to be discarded.
func (c *client) reserve(size int) error {
	if !c.started {
		if size > maxUnauthenticatedSize {
			c.guard.Report(guarder.ReasonSize)
			return &Error{Op: "receive", Kind: KindProtocol, Code: codeProtocol, Text: "a message is too large before authentication"}
		}
		return nil
	}
	if c.refused { // the messages of the batch are not kept
		if size > freeSize {
			return errRefused
		}
		return nil
	}
	c.batchSize += size
	need := int64(c.batchSize)*StatementCopies - c.reserved
	if c.batchSize <= freeSize || need <= 0 {
		return nil
	}
	if size < reserveStep && c.reserved > 0 {
		need = max(need, reserveStep*StatementCopies)
	}
	switch c.guard.Reserve(rationer.PhaseReceiving, need) {
	case rationer.Granted:
		c.reserved += need
		if c.hasDeadline {
			c.awaitMessage() // the wait does not count
		}
		return nil
	case rationer.Stopped:
		return os.ErrDeadlineExceeded
	}
	c.refused = true
	return errRefused
}

// releaseBatch returns the memory of a batch that has been answered.
func (c *client) releaseBatch() {
	c.guard.Release(c.reserved)
	c.reserved, c.batchSize, c.refused = 0, 0, false
}

// chargeState charges the guard with the size of the client's prepared statements.
func (c *client) chargeState() {
	const step = 4 << 10
	switch {
	case c.stateSize > c.chargedState+step:
		c.guard.Charge(rationer.PhaseRunning, c.stateSize-c.chargedState)
	case c.stateSize < c.chargedState-step || c.stateSize == 0:
		c.guard.Release(c.chargedState - c.stateSize)
	default:
		return
	}
	c.chargedState = c.stateSize
}

// stop makes reads and writes fail, after which the connection is closed.
func (c *client) stop() {
	c.stopped.Store(true)
	_ = c.raw.SetDeadline(time.Unix(1, 0)) // fails only if already closed
}

// writeChunk is how much is written at once. The client has Timeouts.Unread for each
// chunk.
const writeChunk = 32 << 10

// lastWords is how long a client may take to accept the reason for which its connection
// is closed.
const lastWords = 100 * time.Millisecond

// Write implements io.Writer for a pgproto3.Backend.
func (c *client) Write(data []byte) (int, error) {
	written := 0
	for {
		timeout := c.listener.deps.Timeouts.Unread.Duration()
		if c.leaving {
			timeout = lastWords
		}
		if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		if c.stopped.Load() && !c.leaving {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.conn.Write(data[written:min(len(data), written+writeChunk)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.stopped.Load() {
			c.guard.Report(guarder.ReasonUnread)
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// reportReadError tells the client why the connection ends, if it may still listen.
// late is the reason if its message did not arrive in time.
func (c *client) reportReadError(err error, late guarder.Reason) {
	c.leaving = true
	var e *Error
	switch {
	case c.stopped.Load():
		if reason := c.guard.Stopped(); reason != "" {
			c.fatal(limitError(reason))
		}
	case errors.As(err, &e):
		c.fatal(e)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.guard.Report(late)
		c.fatal(limitError(late))
	default:
		c.reportTooLarge(err)
	}
}

// SQLSTATEs of refused and closed clients.
const (
	codeOutOfMemory = "53200"
	codeTooSlow     = "57014"
)

// limitError returns the error for a client that is refused or closed for a reason.
func limitError(reason guarder.Reason) *Error {
	code := codeTooSlow
	switch reason {
	case guarder.ReasonConnections, guarder.ReasonDisplaced:
		code = codeConnections
	case guarder.ReasonMemory, guarder.ReasonConnMemory:
		code = codeOutOfMemory
	}
	return &Error{Op: "limit", Kind: KindDenied, Code: code, Text: "client limit: " + string(reason)}
}
