package configurer

import (
	"fmt"
	"net/netip"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Values of Database.Acknowledge: a commit is acknowledged when a majority of
// the database's servers has it, or as soon as the primary has committed it.
const (
	AcknowledgeMajority = "majority"
	AcknowledgePrimary  = "primary"
)

// checker collects the faults found in the settings. Each fault begins with the
// JSON path of its setting.
type checker struct {
	faults []string
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) requireName(path, value string) {
	if value == "" {
		c.addFault(path, "want a name")
	}
}

func (c *checker) requireAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(path, "want IP:port")
	}
}

func (c *checker) requireSecret(path string, secret Secret) {
	if (secret.File == "") == (secret.Env == "") {
		c.addFault(path, "want either file or env")
	}
}

func (c *checker) requireMin(path string, value, minimum int64) {
	if value < minimum {
		c.addFault(path, "want %d or more", minimum)
	}
}

// check returns all faults of the settings, none for valid settings.
func (s Settings) check() []string {
	c := &checker{}
	s.checkHost(c)
	c.requireAddress("platform", s.Platform)
	for i, p := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		c.requireName(path+".name", p.Name)
		c.requireName(path+".domain", p.Domain)
		c.requireAddress(path+".address", p.Address)
	}
	c.requireSecret("secret", s.Secret)
	if len(s.Tokens) == 0 {
		c.addFault("tokens", "want at least one key")
	}
	for i, t := range s.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		c.requireName(path+".name", t.Name)
		c.requireSecret(path+".secret", t.Secret)
	}
	if s.Backend.Password != nil {
		c.requireSecret("backend.password", *s.Backend.Password)
	}
	c.requireName("backend.user", s.Backend.User)
	if s.TLS != nil && (s.TLS.Certificate == "" || s.TLS.Key == "") {
		c.addFault("tls", "want certificate and key")
	}
	s.checkDatabases(c)
	s.checkRanks(c)
	s.checkTimes(c)
	c.requireMin("memory", s.Memory, 64)
	c.requireMin("descriptors", int64(s.Descriptors), 0)
	c.faults = append(c.faults, s.Limits.Check()...)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.addFault("log.level", "want debug, info, warn or error")
	}
	return c.faults
}

func (s Settings) checkHost(c *checker) {
	c.requireName("host.name", s.Host.Name)
	c.requireName("host.domain", s.Host.Domain)
	c.requireAddress("host.address", s.Host.Address)
	c.requireAddress("host.peer", s.Host.Peer)
	if s.Host.Metrics != "" {
		c.requireAddress("host.metrics", s.Host.Metrics)
	}
}

func (s Settings) checkDatabases(c *checker) {
	if len(s.Databases) == 0 {
		c.addFault("databases", "want at least one database")
	}
	names := map[string]bool{}
	for i, d := range s.Databases {
		path := fmt.Sprintf("databases[%d]", i)
		c.requireName(path+".name", d.Name)
		if names[d.Name] {
			c.addFault(path+".name", "%q is listed twice", d.Name)
		}
		names[d.Name] = true
		if d.Acknowledge != AcknowledgeMajority && d.Acknowledge != AcknowledgePrimary {
			c.addFault(path+".acknowledge", "want majority or primary")
		}
		d.checkServers(c, path)
	}
}

func (d Database) checkServers(c *checker, path string) {
	if len(d.Servers) == 0 {
		c.addFault(path+".servers", "want at least one server")
	}
	names := map[string]bool{}
	for i, s := range d.Servers {
		serverPath := fmt.Sprintf("%s.servers[%d]", path, i)
		c.requireName(serverPath+".name", s.Name)
		if names[s.Name] {
			c.addFault(serverPath+".name", "%q is listed twice", s.Name)
		}
		names[s.Name] = true
		c.requireName(serverPath+".domain", s.Domain)
		c.requireAddress(serverPath+".address", s.Address)
		c.requireMin(serverPath+".slots", int64(s.Slots), 1)
		c.requireMin(serverPath+".connections", int64(s.Connections), 1)
	}
}

func (s Settings) checkRanks(c *checker) {
	total := 0
	for i, policy := range s.RankPolicies() {
		path := "ranks." + scheduler.Rank(i).String()
		if policy.Share < 1 || policy.Share > 100 {
			c.addFault(path+".share", "want a percentage from 1 to 100")
		}
		c.requireMin(path+".target", int64(policy.MaxWait), 1)
		total += policy.Share
	}
	if total != 100 {
		c.addFault("ranks", "the shares add up to %d, want 100", total)
	}
}

func (s Settings) checkTimes(c *checker) {
	for _, setting := range []struct {
		name  string
		value timekeeper.Millis
	}{
		{"hold", s.Times.PrimaryWait},
		{"acknowledge", s.Times.AckTimeout},
		{"overdue", s.Times.InspectInterval},
		{"silence", s.Times.ServerTimeout},
		{"statement", s.Times.StatementTimeout},
		{"token", s.Times.TokenLifetime},
		{"ledger", s.Times.LedgerRetention},
		{"drain", s.Times.DrainTimeout},
	} {
		c.requireMin("times."+setting.name, int64(setting.value), 1)
	}
	c.requireMin("times.catchup", int64(s.Times.MaxCatchUpWait), 0)
}
