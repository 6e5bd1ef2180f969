package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client's session.
type client struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

// reply is a complete answer to a statement.
type reply struct {
	rows []string
	// digest is empty for an error, whose code and text are in failure.
	digest, failure, state, position string
}

func (r reply) ok() bool { return r.failure == "" }

var lastStatement atomic.Int64

// newID returns a request id.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastStatement.Add(1)) }

// connect opens a session.
func connect(r *record, address, database, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, reader: bufio.NewReader(conn), record: r}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write([]byte("STARTUP " + database + " " + name + "\r\n")); err != nil {
		c.close()
		return nil, err
	}
	line, err := readMessage(c.reader)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("startup: %s", line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a statement and waits for the complete answer, at most for 10 s.
func (c *client) query(id, text string) (reply, error) {
	c.record.line("client %s sends %s %q", c.name, id, text)
	var r reply
	_ = c.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return r, err
	}
	for {
		line, err := readMessage(c.reader)
		if err != nil {
			c.record.line("client %s gets no complete answer to %s: %v", c.name, id, err)
			return r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATA":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.digest = rest
		case "ERROR":
			r.failure = rest
		case "READY":
			r.state, r.position, _ = strings.Cut(rest, " ")
			c.record.line("client %s gets %s: rows %q, digest %q, error %q, state %s, position %s", c.name, id, r.rows, r.digest, r.failure, r.state, r.position)
			return r, nil
		}
	}
}
