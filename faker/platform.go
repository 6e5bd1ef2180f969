package faker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heatherhall/heatherhall/timekeeper"
)

// bodyLimit is the number of bytes read of a request body. The rest is ignored.
const bodyLimit = 16 << 20

// PlatformFaults holds the injected faults of the platform stand-in. Changes of
// the list of hosts and of the faults themselves are exempt.
type PlatformFaults struct {
	// Down rejects all requests, with the status 503.
	Down bool `json:"down"`
	// Delay is the time added to each request.
	Delay timekeeper.Millis `json:"delay"`
	// Lose is the number of further writes whose answers are lost after the write
	// took effect.
	Lose int `json:"lose"`
	// Cut lists the IP addresses whose requests are rejected with the status 503.
	Cut []string `json:"cut"`
}

// Platform is a stand-in for the platform's HTTP service: a table of versioned
// records, an object store and the list of hosts.
type Platform struct {
	listener net.Listener

	mu     sync.Mutex
	store  *Store
	faults PlatformFaults
	reads  int
	writes int
}

// NewPlatform returns a platform that listens on an address. It fails with
// KindUnavailable if it can't listen.
func NewPlatform(address string) (*Platform, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, newError("start", KindUnavailable, "%w", err)
	}
	return &Platform{listener: listener, store: NewStore()}, nil
}

// Address returns the address the platform listens on.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Change calls f with the store while no request can access it. f must not call
// methods of the platform.
func (p *Platform) Change(f func(*Store)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.store)
}

// Counts returns the numbers of reads and writes requested so far, including
// rejected ones.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Run serves requests until the context ends. The channel that it returns is
// closed when serving has ended.
func (p *Platform) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table", p.withFaults(p.getRecords))
	mux.HandleFunc("PUT /table", p.withFaults(p.putRecord))
	mux.HandleFunc("GET /object", p.withFaults(p.getObject))
	mux.HandleFunc("PUT /object", p.withFaults(p.putObject))
	mux.HandleFunc("GET /hosts", p.withFaults(p.getHosts))
	mux.HandleFunc("PUT /hosts", p.putHosts)
	mux.HandleFunc("PUT /fault", p.putFault)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() {
		defer close(done)
		_ = server.Serve(p.listener)
	}()
	return done
}

// withFaults returns a handler that counts the request, applies the current
// faults to it and calls handle unless they reject it.
func (p *Platform) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		if r.Method == http.MethodPut {
			p.writes++
		} else {
			p.reads++
		}
		p.mu.Unlock()
		sleep(f.Delay.Duration(), r.Context().Done())
		if f.Down || f.isPartitioned(r.RemoteAddr) {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
		if r.Method == http.MethodPut && p.consumeLoss() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (f PlatformFaults) isPartitioned(remote string) bool {
	remoteIP, _, _ := net.SplitHostPort(remote)
	for _, ip := range f.Cut {
		if ip == remoteIP {
			return true
		}
	}
	return false
}

// consumeLoss reports whether the answer to a write is to be lost, and if so
// reduces the number of answers still to lose.
func (p *Platform) consumeLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Lose == 0 {
		return false
	}
	p.faults.Lose--
	return true
}

func (p *Platform) getRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := q.Get("key"); key != "" {
		record, found := p.store.Get(key)
		if !found {
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, record)
		return
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	writeJSON(w, http.StatusOK, struct {
		Records []Record `json:"records"`
	}{p.store.List(q.Get("prefix"), q.Get("after"), limit)})
}

func (p *Platform) putRecord(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit))
	expected, errVersion := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	key := r.URL.Query().Get("key")
	if err != nil || errVersion != nil || key == "" || !json.Valid(value) {
		http.Error(w, "want a key, a version and a JSON value", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	record, written := p.store.Put(key, expected, value)
	p.mu.Unlock()
	if !written {
		writeJSON(w, http.StatusConflict, record)
		return
	}
	writeJSON(w, http.StatusOK, record)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, found := p.store.Object(r.URL.Query().Get("name"))
	p.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit))
	name := r.URL.Query().Get("name")
	if err != nil || name == "" {
		http.Error(w, "want a name and data", http.StatusBadRequest)
		return
	}
	p.Change(func(s *Store) { s.PutObject(name, data) })
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.store.Hosts())
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	list, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit))
	if err != nil || !json.Valid(list) {
		http.Error(w, "want a JSON list of hosts", http.StatusBadRequest)
		return
	}
	p.Change(func(s *Store) { s.SetHosts(list) })
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(io.LimitReader(r.Body, bodyLimit)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// writeJSON writes a response with a status and a body encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
