package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store and of the failover API.
type store struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[string]row
	version int64
	changed chan struct{}
	// failover serves POST /failover and returns the status.
	failover func(service, id, holder, fence string) int
	address  string
	server   *http.Server
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{start: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row of the operator or of an instance.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value) // the stand-in's own types, which always encode
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: data})
}

// remove deletes a row of an instance.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
}

// set changes a row at the present version. The lock must be held.
func (s *store) set(r row) {
	r.Version = s.version
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// find returns the rows of a table that match, by key or by version. The lock must be
// held.
func (s *store) find(match func(row) bool, byVersion bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if match(r) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if byVersion {
			return out[i].Version < out[j].Version
		}
		return out[i].Key < out[j].Key
	})
	return out
}

// ServeHTTP serves the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.mu.Lock()
		from, to := query.Get("from"), query.Get("to")
		rows := s.find(func(r row) bool {
			return r.Table == query.Get("table") && r.Part == query.Get("part") && !r.Deleted && r.Key >= from && (to == "" || r.Key < to)
		}, false)
		more := len(rows) > 500
		if more {
			rows = rows[:500]
		}
		s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more})
		s.mu.Unlock()
	case "GET /rows-feed":
		s.feed(w, r)
	case "POST /rows-tx":
		s.transact(w, r)
	case "POST /failover":
		var call struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(s.failover(call.Service, call.ID, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token")))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes a response with the newest version. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.version, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		rows := s.find(func(r row) bool { return r.Table == query.Get("table") && r.Version > after }, true)
		if len(rows) > 0 || waited {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expected_rev"`
		Set    []row `json:"set_keys"`
		Delete []row `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(append([]row{}, tx.Set...), tx.Delete...) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current, conflict := []row{}, false
	for _, expected := range tx.Expect {
		have := s.rows[expected.Table+"\x00"+expected.Part+"\x00"+expected.Key]
		version := have.Version
		if have.Deleted {
			version = 0
		}
		if version > 0 {
			current = append(current, have)
		}
		conflict = conflict || version != expected.Version
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, change := range tx.Set {
		change.Deleted = false
		s.set(change)
	}
	for _, change := range tx.Delete {
		s.set(row{Table: change.Table, Part: change.Part, Key: change.Key, Deleted: true})
	}
	s.answer(w, http.StatusOK, map[string]any{})
}
