package runner

import (
	"crypto/tls"
	"net"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/guarder"
	"github.com/heatherhall/heatherhall/listener"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// newSigner returns the signer of session tokens. It returns an error if a
// signing key can't be read or is not usable.
func newSigner(settings configurer.Settings) (*sessioner.Signer, error) {
	var keys []sessioner.SigningKey
	for _, token := range settings.Tokens {
		text, err := token.Secret.Resolve()
		if err != nil {
			return nil, err
		}
		keys = append(keys, sessioner.SigningKey{Name: token.Name, Secret: []byte(text)})
	}
	return sessioner.NewSigner(keys, settings.Times.TokenLifetime)
}

// newTargets returns the backend servers by database and name. It returns an
// error if the password can't be read.
func newTargets(settings configurer.Settings, maxResult int) (map[string]map[string]connector.Target, error) {
	password := ""
	if settings.Backend.Password != nil {
		text, err := settings.Backend.Password.Resolve()
		if err != nil {
			return nil, err
		}
		password = text
	}
	targets := map[string]map[string]connector.Target{}
	for _, d := range settings.Databases {
		targets[d.Name] = map[string]connector.Target{}
		for _, s := range d.Servers {
			targets[d.Name][s.Name] = connector.Target{
				Address:   s.Address,
				Database:  d.Name,
				User:      settings.Backend.User,
				Password:  password,
				MaxResult: maxResult,
				Local:     hostOf(settings.Host.Peer),
			}
		}
	}
	return targets, nil
}

// hostOf returns the host of a host:port address, or an empty text if the
// address is invalid.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// deciderSettings converts the daemon's settings into those of its node.
func (r *Runner) deciderSettings() decider.Settings {
	s := r.settings
	out := decider.Settings{
		Self: watcher.Member{
			Name:        s.Host.Name,
			Address:     s.Host.Peer,
			Domain:      s.Host.Domain,
			Incarnation: int64(r.clock.Now()),
		},
		Databases:     map[string]dispatcher.Settings{},
		Promoter:      promoter.DefaultSettings(),
		Hosts:         watcher.DefaultSettings(),
		EditsInterval: 500,
		HostsInterval: 1000,
	}
	for _, p := range s.Peers {
		out.Peers = append(out.Peers, watcher.Member{Name: p.Name, Address: p.Address, Domain: p.Domain})
	}
	for _, d := range s.Databases {
		out.Databases[d.Name] = databaseSettings(s, d)
	}
	return out
}

// remoteRoundTrip is the expected network round trip time to a server in another
// failure domain, in milliseconds.
const remoteRoundTrip = 1.0

// databaseSettings returns the dispatcher's settings of a database. The expected
// round trip time to servers in this host's failure domain is 0.
func databaseSettings(s configurer.Settings, d configurer.Database) dispatcher.Settings {
	var servers []dispatcher.Server
	for _, server := range d.Servers {
		roundTrip := remoteRoundTrip
		if server.Domain == s.Host.Domain {
			roundTrip = 0
		}
		servers = append(servers, dispatcher.Server{
			Name:          server.Name,
			Domain:        server.Domain,
			Slots:         server.Slots,
			Connections:   server.Connections,
			RoundTripTime: roundTrip,
		})
	}
	out := dispatcher.DefaultSettings(d.Name, servers)
	out.RankPolicies = s.RankPolicies()
	out.PrimaryWait = s.Times.PrimaryWait
	out.AckTimeout = s.Times.AckTimeout
	out.InspectInterval = s.Times.InspectInterval
	out.MaxCatchUpWait = s.Times.MaxCatchUpWait
	out.ServerTimeout = s.Times.ServerTimeout
	out.LedgerRetention = s.Times.LedgerRetention
	out.Preempt = s.Preempt
	if d.Acknowledge == configurer.AcknowledgePrimary {
		out.CommitQuorum = 1
	}
	return out
}

// deciderLog returns the function that logs the node's decisions, or nil if the
// settings turn this off.
func (r *Runner) deciderLog() func(string, ...any) {
	if !r.settings.Log.Decisions {
		return nil
	}
	return r.log.Infof
}

func (r *Runner) listenerDeps(signer *sessioner.Signer, tlsConfig *tls.Config) listener.Deps {
	return listener.Deps{
		Submit: r.submit,
		Step: func(clientID uint64, commit bool, payload []byte) {
			r.update(func(now timekeeper.Millis) []decider.Command { return r.node.Step(now, clientID, commit, payload) })
		},
		Disconnect: func(clientID uint64) {
			r.update(func(now timekeeper.Millis) []decider.Command { return r.node.Disconnect(now, clientID) })
		},
		Cancel:           r.cancelRequest,
		Lists:            r.currentLists,
		Ready:            r.Ready,
		Databases:        r.databaseNames(),
		Signer:           signer,
		Classifier:       classifier.New(),
		Clock:            r.clock,
		TLS:              tlsConfig,
		Log:              r.log.Infof,
		StatementTimeout: r.settings.Times.StatementTimeout,
		Guard:            r.guard,
		Timeouts:         guarder.NewTimeouts(r.limits),
		State:            r.limits.State << 10,
		HostNumber:       decider.HostNumber(r.settings.Host.Name),
	}
}

func (r *Runner) databaseNames() map[string]bool {
	names := map[string]bool{}
	for name := range r.targets {
		names[name] = true
	}
	return names
}
