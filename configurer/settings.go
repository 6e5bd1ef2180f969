// Package configurer reads a daemon's settings from JSON, fills in defaults and
// checks them whole: every fault is reported at once, with its place.
package configurer

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings are all settings of one daemon.
type Settings struct {
	// Host is this host.
	Host Host `json:"host"`
	// Platform is the address of the platform's service.
	Platform string `json:"platform"`
	// Peers are other hosts of heatherhall to begin with; the platform's list
	// adds more.
	Peers []Peer `json:"peers"`
	// Secret is the key that daemons know each other by.
	Secret Secret `json:"secret"`
	// Tokens are the keys that session tokens are signed with; the first signs.
	Tokens []TokenKey `json:"tokens"`
	// Backend holds the credentials for backend servers.
	Backend Backend `json:"backend"`
	// TLS makes callers' connections encrypted; without it they are not.
	TLS *TLS `json:"tls"`
	// Databases are the databases with their backend servers.
	Databases []Database `json:"databases"`
	// Ranks are the promises by rank.
	Ranks Ranks `json:"ranks"`
	// Preempt cancels running browse reads on a primary for urgent work that
	// waits; the reads run again.
	Preempt bool `json:"preempt"`
	// Times are the daemon's time limits.
	Times Times `json:"times"`
	// Log is how much is logged.
	Log Log `json:"log"`
	// Profile serves pprof on the metrics address.
	Profile bool `json:"profile"`
}

// Host describes the daemon's own host.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Address takes callers.
	Address string `json:"address"`
	// Peer takes other daemons, over TCP and UDP.
	Peer string `json:"peer"`
	// Metrics serves metrics, health and status; empty serves none.
	Metrics string `json:"metrics"`
}

// Peer is another host of heatherhall.
type Peer struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Secret names where a secret text is kept.
type Secret struct {
	File string `json:"file"`
	Env  string `json:"env"`
}

// TokenKey is a key for session tokens.
type TokenKey struct {
	Name   string `json:"name"`
	Secret Secret `json:"secret"`
}

// Backend holds the credentials for backend servers.
type Backend struct {
	User     string  `json:"user"`
	Password *Secret `json:"password"`
}

// TLS names the certificate and key files for callers' connections. They are
// read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Database is a database group.
type Database struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
	// Acknowledge is "majority" or "primary".
	Acknowledge string `json:"acknowledge"`
}

// Server is a backend server.
type Server struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Ranks are the promises by rank.
type Ranks struct {
	Urgent   scheduler.RankPolicy `json:"urgent"`
	Standard scheduler.RankPolicy `json:"standard"`
	Browse   scheduler.RankPolicy `json:"browse"`
}

// Times are time limits in milliseconds.
type Times struct {
	// Hold is how long work waits while a database has no primary.
	Hold timekeeper.Millis `json:"hold"`
	// Acknowledge is how long a commit waits for a majority.
	Acknowledge timekeeper.Millis `json:"acknowledge"`
	// Overdue is how long an answer may take before the server is asked whether
	// the statement still runs.
	Overdue timekeeper.Millis `json:"overdue"`
	// Catchup is how long a read waits for a replica about to catch up.
	Catchup timekeeper.Millis `json:"catchup"`
	// Silence is how long a server may be silent before it gets no new work.
	Silence timekeeper.Millis `json:"silence"`
	// Statement is how long a caller waits for an outcome.
	Statement timekeeper.Millis `json:"statement"`
	// Token is how long a session token is good.
	Token timekeeper.Millis `json:"token"`
	// Ledger is how long request keys are kept; a repeat after that runs again.
	Ledger timekeeper.Millis `json:"ledger"`
	// Drain is how long a graceful shutdown may take.
	Drain timekeeper.Millis `json:"drain"`
}

// Log is how much is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Decisions writes a line for each routing and placement decision.
	Decisions bool `json:"decisions"`
}

// Default returns the settings that a file's are laid over.
func Default() Settings {
	classes := scheduler.DefaultRankPolicies()
	return Settings{
		Backend: Backend{User: "heatherhall"},
		Ranks: Ranks{
			Urgent:   classes[scheduler.RankUrgent],
			Standard: classes[scheduler.RankStandard],
			Browse:   classes[scheduler.RankBrowse],
		},
		Preempt: true,
		Times: Times{
			Hold:        6000,
			Acknowledge: 8000,
			Overdue:     400,
			Catchup:     25,
			Silence:     900,
			Statement:   15_000,
			Token:       86_400_000,
			Ledger:      86_400_000,
			Drain:       30_000,
		},
		Log: Log{Level: "info", Decisions: true},
	}
}

// Read reads and checks the settings of a file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read", Kind: KindFile, Faults: []string{err.Error()}}
	}
	return Parse(data)
}

// Parse decodes and checks settings. Unknown fields are refused.
func Parse(data []byte) (Settings, error) {
	s := Default()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, &Error{Op: "decode", Kind: KindInvalid, Faults: []string{strings.TrimPrefix(err.Error(), "json: ")}}
	}
	for i := range s.Databases {
		if s.Databases[i].Acknowledge == "" {
			s.Databases[i].Acknowledge = AcknowledgeMajority
		}
	}
	if faults := s.check(); len(faults) > 0 {
		return Settings{}, &Error{Op: "check", Kind: KindInvalid, Faults: faults}
	}
	return s, nil
}

// Classes returns the promises by rank.
func (s Settings) Classes() scheduler.RankPolicies {
	return scheduler.RankPolicies{
		scheduler.RankUrgent:   s.Ranks.Urgent,
		scheduler.RankStandard: s.Ranks.Standard,
		scheduler.RankBrowse:   s.Ranks.Browse,
	}
}

// Text returns the secret.
func (s Secret) Text() (string, error) {
	if s.Env != "" {
		text, found := os.LookupEnv(s.Env)
		if !found {
			return "", &Error{Op: "secret", Kind: KindFile, Faults: []string{"the environment variable " + s.Env + " is not set"}}
		}
		return text, nil
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return "", &Error{Op: "secret", Kind: KindFile, Faults: []string{err.Error()}}
	}
	return strings.TrimSpace(string(data)), nil
}
