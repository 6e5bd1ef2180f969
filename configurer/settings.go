// Package configurer reads a daemon's settings from JSON, fills in defaults and
// validates them. All faults are reported at once, each with the JSON path of
// its setting.
package configurer

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/heatherhall/heatherhall/rationer"
	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Host is the host that the daemon runs on.
	Host Host `json:"host"`
	// Platform is the IP:port of the platform's service.
	Platform string `json:"platform"`
	// Peers are the daemons known at startup. The platform's list of hosts adds
	// more.
	Peers []Peer `json:"peers"`
	// Secret is the shared key by which daemons authenticate each other.
	Secret Secret `json:"secret"`
	// Tokens are the keys for session tokens. The first key signs; all keys
	// verify.
	Tokens []TokenKey `json:"tokens"`
	// Backend holds the credentials for backend servers.
	Backend Backend `json:"backend"`
	// TLS enables TLS on client connections. Without it they are unencrypted.
	TLS *TLS `json:"tls"`
	// Databases are the databases with their backend servers.
	Databases []Database `json:"databases"`
	// Ranks holds the scheduling policy of each rank.
	Ranks Ranks `json:"ranks"`
	// Preempt cancels browse reads that run on a primary when urgent work is
	// waiting. The cancelled reads are run again.
	Preempt bool `json:"preempt"`
	// Times holds the daemon's timeouts and retention times.
	Times Times `json:"times"`
	// Log configures logging.
	Log Log `json:"log"`
	// Memory is the memory that the process may use, in MiB.
	Memory int64 `json:"memory"`
	// Descriptors is how many descriptors the process may have open; 0 is the limit of
	// the process.
	Descriptors int `json:"descriptors"`
	// Limits bounds what clients may use.
	Limits rationer.Limits `json:"limits"`
	// Profile serves pprof on the metrics address.
	Profile bool `json:"profile"`
}

// Host holds the name, failure domain and listen addresses of the daemon's own
// host.
type Host struct {
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is the IP:port on which the daemon accepts clients.
	Address string `json:"address"`
	// Peer is the IP:port on which the daemon accepts other daemons, over TCP
	// and UDP.
	Peer string `json:"peer"`
	// Metrics is the IP:port that serves metrics, health and status. If it is
	// empty, none of them is served.
	Metrics string `json:"metrics"`
}

// Peer is the host of another daemon. Its Address is that host's Host.Peer.
type Peer struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Secret is the source of a secret: either a file or an environment variable.
type Secret struct {
	File string `json:"file"`
	Env  string `json:"env"`
}

// TokenKey is a key for session tokens. Tokens refer to the key by its name.
type TokenKey struct {
	Name   string `json:"name"`
	Secret Secret `json:"secret"`
}

// Backend holds the user and the optional password with which the daemon
// connects to backend servers.
type Backend struct {
	User     string  `json:"user"`
	Password *Secret `json:"password"`
}

// TLS names the certificate and key files for client connections. They are
// reloaded when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Database describes a database group.
type Database struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
	// Acknowledge is AcknowledgeMajority, the default, or AcknowledgePrimary.
	Acknowledge string `json:"acknowledge"`
}

// Server describes a backend server of a database group.
type Server struct {
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is the server's IP:port.
	Address string `json:"address"`
	// Slots is the number of statements that the server runs at a time.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the server, over all
	// daemons.
	Connections int `json:"connections"`
}

// Ranks holds the scheduling policy of each rank.
type Ranks struct {
	Urgent   scheduler.RankPolicy `json:"urgent"`
	Standard scheduler.RankPolicy `json:"standard"`
	Browse   scheduler.RankPolicy `json:"browse"`
}

// Times holds timeouts and retention times in milliseconds.
type Times struct {
	// PrimaryWait is how long work waits while a database has no primary.
	PrimaryWait timekeeper.Millis `json:"hold"`
	// AckTimeout is how long a commit waits to be replicated to a majority.
	AckTimeout timekeeper.Millis `json:"acknowledge"`
	// InspectInterval is how long a statement may go unanswered before the daemon
	// asks the server whether the statement is still running.
	InspectInterval timekeeper.Millis `json:"overdue"`
	// MaxCatchUpWait is the longest expected time for which a read waits for a
	// replica to catch up; 0 disables the wait. A read does not wait for a replica
	// that is expected to take longer.
	MaxCatchUpWait timekeeper.Millis `json:"catchup"`
	// ServerTimeout is how long a server may be unresponsive before it gets no new
	// work.
	ServerTimeout timekeeper.Millis `json:"silence"`
	// StatementTimeout is how long a client waits for the outcome of a statement.
	StatementTimeout timekeeper.Millis `json:"statement"`
	// TokenLifetime is how long a session token is valid.
	TokenLifetime timekeeper.Millis `json:"token"`
	// LedgerRetention is how long request keys are kept. A request that is repeated
	// after that time runs again.
	LedgerRetention timekeeper.Millis `json:"ledger"`
	// DrainTimeout is how long a graceful shutdown may take.
	DrainTimeout timekeeper.Millis `json:"drain"`
}

// Log holds the log level and whether decisions are logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Decisions logs a line for each routing and placement decision.
	Decisions bool `json:"decisions"`
}

// DefaultMemory is the default of Settings.Memory in MiB.
const DefaultMemory = 1024

// Default returns the settings that apply where a settings file gives no value.
// They are incomplete: host, platform, secret, tokens and databases have no
// default.
func Default() Settings {
	policies := scheduler.DefaultRankPolicies()
	return Settings{
		Backend: Backend{User: "heatherhall"},
		Ranks: Ranks{
			Urgent:   policies[scheduler.RankUrgent],
			Standard: policies[scheduler.RankStandard],
			Browse:   policies[scheduler.RankBrowse],
		},
		Preempt: true,
		Times: Times{
			PrimaryWait:      6000,
			AckTimeout:       8000,
			InspectInterval:  400,
			MaxCatchUpWait:   25,
			ServerTimeout:    900,
			StatementTimeout: 15_000,
			TokenLifetime:    86_400_000,
			LedgerRetention:  86_400_000,
			DrainTimeout:     30_000,
		},
		Log:    Log{Level: "info", Decisions: true},
		Memory: DefaultMemory,
	}
}

// Read reads a settings file and returns its settings as Parse does. A file
// that cannot be read is an Error of KindFile.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read", Kind: KindFile, Faults: []string{err.Error()}}
	}
	return Parse(data)
}

// Parse decodes JSON settings over the defaults and checks them. Unknown
// fields, undecodable JSON and invalid values are Errors of KindInvalid.
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

// RankPolicies returns the scheduling policies indexed by rank.
func (s Settings) RankPolicies() scheduler.RankPolicies {
	return scheduler.RankPolicies{
		scheduler.RankUrgent:   s.Ranks.Urgent,
		scheduler.RankStandard: s.Ranks.Standard,
		scheduler.RankBrowse:   s.Ranks.Browse,
	}
}

// Resolve returns the value of the environment variable, or else the content of
// the file without surrounding white space. It fails with KindFile if the
// variable is not set or the file cannot be read.
func (s Secret) Resolve() (string, error) {
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
