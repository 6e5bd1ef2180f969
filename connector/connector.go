// Package connector carries work to backend servers over the PostgreSQL
// protocol and asks them for reports.
package connector

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// Target is a backend server's address with the credentials for it.
type Target struct {
	// Address is the server's IP number and port.
	Address  string
	Database string
	User     string
	Password string
	// Local is the IP number to connect from.
	Local string
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// open opens a connection.
func (t Target) open(ctx context.Context, user string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(t.Address)
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable", host, port))
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	config.User = user
	config.Password = t.Password
	config.Database = t.Database
	config.ConnectTimeout = dialTimeout
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	if t.Local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.Local)}
	}
	config.DialFunc = dialer.DialContext
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, &Error{Op: "open", Kind: KindConnect, Err: err}
	}
	return conn, nil
}

// milliseconds returns the time since start with its fraction.
func milliseconds(start time.Time) float64 {
	return float64(time.Since(start)) / float64(timekeeper.Millis(1).Duration())
}
