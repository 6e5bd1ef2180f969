package faker

import (
	"encoding/json"
	"slices"
	"strings"
)

// Record is one row of the platform's table service. Its version counts the
// writes of the key, from 1.
type Record struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Store is the in-memory state of the platform stand-in: a table of versioned
// records, an object store and the list of hosts. It does no I/O and is not safe
// for concurrent use.
type Store struct {
	records map[string]Record
	objects map[string][]byte
	hosts   json.RawMessage
}

// NewStore returns a store without records and objects and with an empty list of
// hosts.
func NewStore() *Store {
	return &Store{records: map[string]Record{}, objects: map[string][]byte{}, hosts: json.RawMessage(`{"hosts":[]}`)}
}

// Get returns the record of a key and whether it exists.
func (s *Store) Get(key string) (Record, bool) {
	record, found := s.records[key]
	return record, found
}

// List returns the records whose keys begin with prefix and sort after the key
// after, ordered by key. It returns at most limit records; a limit of 0 or less
// means no limit.
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

// Put writes a record if its current version equals expected; an expected
// version of 0 means that no record exists. It returns the record that the table
// then holds and whether it was written.
func (s *Store) Put(key string, expected int64, value json.RawMessage) (Record, bool) {
	current := s.records[key]
	if current.Version != expected {
		return current, false
	}
	record := Record{Key: key, Version: expected + 1, Value: value}
	s.records[key] = record
	return record, true
}

// PutObject creates or replaces the object of a name.
func (s *Store) PutObject(name string, data []byte) {
	s.objects[name] = data
}

// Object returns the content of an object and whether it exists.
func (s *Store) Object(name string) ([]byte, bool) {
	data, found := s.objects[name]
	return data, found
}

// SetHosts replaces the list of hosts, a JSON document.
func (s *Store) SetHosts(list json.RawMessage) {
	s.hosts = list
}

// Hosts returns the list of hosts as the JSON document last set.
func (s *Store) Hosts() json.RawMessage {
	return s.hosts
}
