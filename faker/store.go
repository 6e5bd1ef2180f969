package faker

import (
	"encoding/json"
	"slices"
	"strings"
)

// Record is one row of the platform's table service.
type Record struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Store is the state of the platform stand-in: its table, its objects and its
// list of hosts. It does no I/O and is not safe for concurrent use.
type Store struct {
	records map[string]Record
	objects map[string][]byte
	hosts   json.RawMessage
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{records: map[string]Record{}, objects: map[string][]byte{}, hosts: json.RawMessage(`{"hosts":[]}`)}
}

// Get returns a record.
func (s *Store) Get(key string) (Record, bool) {
	record, found := s.records[key]
	return record, found
}

// List returns up to limit records whose keys begin with prefix and sort after
// the key after.
func (s *Store) List(prefix, after string, limit int) []Record {
	found := []Record{}
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found
}

// Put writes a record if its present version is the expected one; version 0
// expects no record. It returns the record that is then in the table and
// whether it was written.
func (s *Store) Put(key string, expected int64, value json.RawMessage) (Record, bool) {
	present := s.records[key]
	if present.Version != expected {
		return present, false
	}
	record := Record{Key: key, Version: expected + 1, Value: value}
	s.records[key] = record
	return record, true
}

// PutObject writes an object.
func (s *Store) PutObject(name string, data []byte) {
	s.objects[name] = data
}

// Object returns an object.
func (s *Store) Object(name string) ([]byte, bool) {
	data, found := s.objects[name]
	return data, found
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(list json.RawMessage) {
	s.hosts = list
}

// Hosts returns the list of hosts.
func (s *Store) Hosts() json.RawMessage {
	return s.hosts
}
