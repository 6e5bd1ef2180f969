// Package storer is the client of the platform's HTTP service: its table of
// versioned records, its object store and its list of hosts.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// requestTimeout is the timeout of a request including its response.
	requestTimeout = 2 * time.Second
	// maxBodySize is the number of bytes after which a response is truncated.
	maxBodySize = 64 << 20
)

// Record is a row of the platform's table.
type Record struct {
	Key string `json:"key"`
	// Version identifies the last write of the record, for compare-and-set.
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Client sends requests to the platform. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at an address (host and port). It connects
// from the local IP address if one is given.
func New(address, local string) *Client {
	dialer := &net.Dialer{Timeout: requestTimeout}
	if local != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local)}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call sends a request and returns the HTTP status and body of its response. The
// status is 200 or 409; all others are errors of KindMissing, KindInvalid or
// KindDown.
func (c *Client) call(ctx context.Context, op, method, path string, query url.Values, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: KindDown, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize))
	if err != nil {
		return 0, nil, &Error{Op: op, Kind: KindDown, Err: err}
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
		return response.StatusCode, data, nil
	case http.StatusNotFound:
		return 0, nil, &Error{Op: op, Kind: KindMissing, Err: errors.New("not found")}
	case http.StatusBadRequest:
		return 0, nil, &Error{Op: op, Kind: KindInvalid, Err: errors.New(string(data))}
	}
	return 0, nil, &Error{Op: op, Kind: KindDown, Err: errors.New(response.Status)}
}

// decode decodes a JSON value. The error is of KindInvalid.
func decode(op string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	return nil
}

// Get returns the record of a key. If there is none, the error is of KindMissing.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var record Record
	_, data, err := c.call(ctx, "get", http.MethodGet, "/table", url.Values{"key": {key}}, nil)
	if err != nil {
		return record, err
	}
	err = decode("get", data, &record)
	return record, err
}

// List returns up to limit records, in the order of their keys, whose keys begin
// with prefix and sort after the given one.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Record, error) {
	var page struct {
		Records []Record `json:"records"`
	}
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	_, data, err := c.call(ctx, "list", http.MethodGet, "/table", query, nil)
	if err != nil {
		return nil, err
	}
	err = decode("list", data, &page)
	return page.Records, err
}

// Put writes a record if the one in the table has the expected version; version
// 0 means that the key must have no record. It returns the record that it wrote.
// If the version differs, it returns the record in the table and an error of
// KindConflict. After an error of KindDown the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, expected int64, value any) (Record, error) {
	var record Record
	body, err := json.Marshal(value)
	if err != nil {
		return record, &Error{Op: "put", Kind: KindInvalid, Err: err}
	}
	query := url.Values{"key": {key}, "version": {strconv.FormatInt(expected, 10)}}
	status, data, err := c.call(ctx, "put", http.MethodPut, "/table", query, body)
	if err != nil {
		return record, err
	}
	if err := decode("put", data, &record); err != nil {
		return record, err
	}
	if status == http.StatusConflict {
		return record, &Error{Op: "put", Kind: KindConflict, Err: errors.Errorf("%s is at version %d", key, record.Version)}
	}
	return record, nil
}

// PutObject writes an object and replaces an earlier one of the name. After an
// error of KindDown the write may have taken effect.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, _, err := c.call(ctx, "put object", http.MethodPut, "/object", url.Values{"name": {name}}, data)
	return err
}

// Object returns the content of an object. If there is none, the error is of
// KindMissing.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	_, data, err := c.call(ctx, "object", http.MethodGet, "/object", url.Values{"name": {name}}, nil)
	return data, err
}

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Role is "entry" for the hosts of daemons or "backend" for backend servers.
	Role string `json:"role"`
	// Database is the database of a backend server, empty for others.
	Database string `json:"database,omitempty"`
	// State is "live", or "leaving" for a host that is being removed.
	State string `json:"state"`
}

// Hosts returns the platform's list of hosts. The list lags behind the actual
// state of the hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	_, data, err := c.call(ctx, "hosts", http.MethodGet, "/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	err = decode("hosts", data, &list)
	return list.Hosts, err
}
