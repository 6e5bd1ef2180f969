package runner

import (
	"crypto/tls"
	"net"

	"github.com/heatherhall/heatherhall/classifier"
	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/dispatcher"
	"github.com/heatherhall/heatherhall/listener"
	"github.com/heatherhall/heatherhall/promoter"
	"github.com/heatherhall/heatherhall/sessioner"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

func newSigner(settings configurer.Settings) (*sessioner.Signer, error) {
	var keys []sessioner.SigningKey
	for _, token := range settings.Tokens {
		text, err := token.Secret.Text()
		if err != nil {
			return nil, err
		}
		keys = append(keys, sessioner.SigningKey{Name: token.Name, Secret: []byte(text)})
	}
	return sessioner.NewSigner(keys, settings.Times.Token)
}

func newTargets(settings configurer.Settings) (map[string]map[string]connector.Target, error) {
	password := ""
	if settings.Backend.Password != nil {
		text, err := settings.Backend.Password.Text()
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
				Address:  s.Address,
				Database: d.Name,
				User:     settings.Backend.User,
				Password: password,
				Local:    hostOf(settings.Host.Peer),
			}
		}
	}
	return targets, nil
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

// decisions returns the settings of the daemon's decisions.
func (r *Runner) decisions() decider.Settings {
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

// farDistance is the expected network time to a server in another failure
// domain and back, in milliseconds.
const farDistance = 1.0

func databaseSettings(s configurer.Settings, d configurer.Database) dispatcher.Settings {
	var servers []dispatcher.Server
	for _, server := range d.Servers {
		distance := farDistance
		if server.Domain == s.Host.Domain {
			distance = 0
		}
		servers = append(servers, dispatcher.Server{
			Name:          server.Name,
			Domain:        server.Domain,
			Slots:         server.Slots,
			Connections:   server.Connections,
			RoundTripTime: distance,
		})
	}
	out := dispatcher.DefaultSettings(d.Name, servers)
	out.RankPolicies = s.Classes()
	out.PrimaryWait = s.Times.Hold
	out.AckTimeout = s.Times.Acknowledge
	out.InspectInterval = s.Times.Overdue
	out.MaxCatchUpWait = s.Times.Catchup
	out.ServerTimeout = s.Times.Silence
	out.LedgerRetention = s.Times.Ledger
	out.Preempt = s.Preempt
	if d.Acknowledge == configurer.AcknowledgePrimary {
		out.CommitQuorum = 1
	}
	return out
}

func (r *Runner) decisionLog() func(string, ...any) {
	if !r.settings.Log.Decisions {
		return nil
	}
	return r.log.Infof
}

func (r *Runner) listenerDeps(signer *sessioner.Signer, tlsConfig *tls.Config) listener.Deps {
	return listener.Deps{
		Submit: r.submit,
		Step: func(caller uint64, commit bool, payload []byte) {
			r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Step(now, caller, commit, payload) })
		},
		Disconnect: func(caller uint64) {
			r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Disconnect(now, caller) })
		},
		Cancel:           r.cancel,
		Lists:            r.currentLists,
		Ready:            r.Ready,
		Databases:        r.databaseNames(),
		Signer:           signer,
		Classifier:       classifier.New(),
		Clock:            r.clock,
		TLS:              tlsConfig,
		Log:              r.log.Infof,
		StatementTimeout: r.settings.Times.Statement,
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
