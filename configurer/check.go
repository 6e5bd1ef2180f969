package configurer

import (
	"fmt"
	"net/netip"

	"github.com/heatherhall/heatherhall/scheduler"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Values of Database.Acknowledge.
const (
	AcknowledgeMajority = "majority"
	AcknowledgePrimary  = "primary"
)

// checker collects faults with their places.
type checker struct {
	faults []string
}

func (c *checker) add(place, format string, args ...any) {
	c.faults = append(c.faults, place+": "+fmt.Sprintf(format, args...))
}

func (c *checker) name(place, value string) {
	if value == "" {
		c.add(place, "want a name")
	}
}

func (c *checker) address(place, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(place, "want IP:port")
	}
}

func (c *checker) secret(place string, s Secret) {
	if (s.File == "") == (s.Env == "") {
		c.add(place, "want either file or env")
	}
}

func (c *checker) atLeast(place string, value, low int64) {
	if value < low {
		c.add(place, "want %d or more", low)
	}
}

// check returns all faults of the settings.
func (s Settings) check() []string {
	c := &checker{}
	s.checkHost(c)
	c.address("platform", s.Platform)
	for i, p := range s.Peers {
		place := fmt.Sprintf("peers[%d]", i)
		c.name(place+".name", p.Name)
		c.name(place+".domain", p.Domain)
		c.address(place+".address", p.Address)
	}
	c.secret("secret", s.Secret)
	if len(s.Tokens) == 0 {
		c.add("tokens", "want at least one key")
	}
	for i, t := range s.Tokens {
		place := fmt.Sprintf("tokens[%d]", i)
		c.name(place+".name", t.Name)
		c.secret(place+".secret", t.Secret)
	}
	if s.Backend.Password != nil {
		c.secret("backend.password", *s.Backend.Password)
	}
	c.name("backend.user", s.Backend.User)
	if s.TLS != nil && (s.TLS.Certificate == "" || s.TLS.Key == "") {
		c.add("tls", "want certificate and key")
	}
	s.checkDatabases(c)
	s.checkRanks(c)
	s.checkTimes(c)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "want debug, info, warn or error")
	}
	return c.faults
}

func (s Settings) checkHost(c *checker) {
	c.name("host.name", s.Host.Name)
	c.name("host.domain", s.Host.Domain)
	c.address("host.address", s.Host.Address)
	c.address("host.peer", s.Host.Peer)
	if s.Host.Metrics != "" {
		c.address("host.metrics", s.Host.Metrics)
	}
}

func (s Settings) checkDatabases(c *checker) {
	if len(s.Databases) == 0 {
		c.add("databases", "want at least one database")
	}
	names := map[string]bool{}
	for i, d := range s.Databases {
		place := fmt.Sprintf("databases[%d]", i)
		c.name(place+".name", d.Name)
		if names[d.Name] {
			c.add(place+".name", "%q stands twice", d.Name)
		}
		names[d.Name] = true
		if d.Acknowledge != AcknowledgeMajority && d.Acknowledge != AcknowledgePrimary {
			c.add(place+".acknowledge", "want majority or primary")
		}
		d.checkServers(c, place)
	}
}

func (d Database) checkServers(c *checker, place string) {
	if len(d.Servers) == 0 {
		c.add(place+".servers", "want at least one server")
	}
	names := map[string]bool{}
	for i, s := range d.Servers {
		at := fmt.Sprintf("%s.servers[%d]", place, i)
		c.name(at+".name", s.Name)
		if names[s.Name] {
			c.add(at+".name", "%q stands twice", s.Name)
		}
		names[s.Name] = true
		c.name(at+".domain", s.Domain)
		c.address(at+".address", s.Address)
		c.atLeast(at+".slots", int64(s.Slots), 1)
		c.atLeast(at+".connections", int64(s.Connections), 1)
	}
}

func (s Settings) checkRanks(c *checker) {
	total := 0
	for i, class := range s.Classes() {
		place := "ranks." + scheduler.Rank(i).String()
		if class.Share < 1 || class.Share > 100 {
			c.add(place+".share", "want a percentage from 1 to 100")
		}
		c.atLeast(place+".target", int64(class.MaxWait), 1)
		total += class.Share
	}
	if total != 100 {
		c.add("ranks", "the shares add up to %d, want 100", total)
	}
}

func (s Settings) checkTimes(c *checker) {
	for _, t := range []struct {
		name  string
		value timekeeper.Millis
	}{
		{"hold", s.Times.Hold},
		{"acknowledge", s.Times.Acknowledge},
		{"overdue", s.Times.Overdue},
		{"silence", s.Times.Silence},
		{"statement", s.Times.Statement},
		{"token", s.Times.Token},
		{"ledger", s.Times.Ledger},
		{"drain", s.Times.Drain},
	} {
		c.atLeast("times."+t.name, int64(t.value), 1)
	}
	c.atLeast("times.catchup", int64(s.Times.Catchup), 0)
}
