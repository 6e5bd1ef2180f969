// Package runner makes a daemon of the decisions: it carries out their commands
// over the network and feeds the answers back.
package runner

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/connector"
	"github.com/heatherhall/heatherhall/decider"
	"github.com/heatherhall/heatherhall/listener"
	"github.com/heatherhall/heatherhall/observer"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/pooler"
	"github.com/heatherhall/heatherhall/relayer"
	"github.com/heatherhall/heatherhall/storer"
	"github.com/heatherhall/heatherhall/timekeeper"
	"github.com/heatherhall/heatherhall/watcher"
)

// idleTicks is how many ticks are left out, less one, while nothing is in
// progress.
const idleTicks = 3

// tickInterval is the time between two ticks of the decisions.
const tickInterval = 20 * time.Millisecond

// Runner is one daemon.
type Runner struct {
	settings configurer.Settings
	clock    timekeeper.Clock
	log      *observer.Logger
	metrics  *observer.Metrics
	platform *storer.Client
	relayer  *relayer.Relayer
	listener *listener.Listener
	targets  map[string]map[string]connector.Target

	// ctx is that of Run; commands are carried out in it.
	ctx  context.Context
	wait sync.WaitGroup

	mu       sync.Mutex
	node     *decider.Node
	conns    map[pooler.Conn]*connector.Conn
	asks     map[string]chan question
	watchers map[string]chan question
	requests map[uint64]started
	lists    planner.Lists
	ready    bool
}

// started is when a caller's request began, its rank and whether it reads.
type started struct {
	at   time.Time
	rank string
	read bool
}

// Override changes the settings of a daemon's decisions before it starts, for
// baselines in measurements. It may be nil.
type Override func(*decider.Settings)

// New returns a daemon that listens but does not serve yet. Logs go to out.
func New(settings configurer.Settings, out io.Writer, tune Override) (*Runner, error) {
	secret, err := settings.Secret.Text()
	if err != nil {
		return nil, err
	}
	signer, err := newSigner(settings)
	if err != nil {
		return nil, err
	}
	r := &Runner{
		settings: settings,
		clock:    timekeeper.Real(),
		log:      observer.NewLogger(out, settings.Log.Level, settings.Host.Name),
		metrics:  observer.NewMetrics(),
		platform: storer.New(settings.Platform, hostOf(settings.Host.Peer)),
		conns:    map[pooler.Conn]*connector.Conn{},
		asks:     map[string]chan question{},
		watchers: map[string]chan question{},
		requests: map[uint64]started{},
		lists:    planner.Empty(),
		ctx:      context.Background(),
	}
	if r.targets, err = newTargets(settings); err != nil {
		return nil, err
	}
	decisions := r.decisions()
	if tune != nil {
		tune(&decisions)
	}
	r.node = decider.New(decisions, decider.Deps{Log: r.decisionLog(), InvariantViolated: r.violated})
	r.relayer, err = relayer.New(settings.Host.Name, settings.Host.Peer, []byte(secret), relayer.Handlers{
		MessageReceived: r.mailed,
		PacketReceived:  r.probed,
		PeerLost:        r.peerLost,
	})
	if err != nil {
		return nil, err
	}
	tlsConfig, err := r.tlsConfig()
	if err != nil {
		return nil, err
	}
	r.listener, err = listener.New(settings.Host.Address, r.listenerDeps(signer, tlsConfig))
	return r, err
}

// violated counts and logs a check inside the program that failed.
func (r *Runner) violated(format string, args ...any) {
	r.metrics.InvariantFailures.Inc()
	r.log.Errorf("invariant: "+format, args...)
}

// Address returns the address that takes callers.
func (r *Runner) Address() string {
	return r.listener.Address()
}

// Ready reports whether the daemon takes callers.
func (r *Runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

func (r *Runner) currentLists() planner.Lists {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

// Metrics returns the daemon's metrics.
func (r *Runner) Metrics() *observer.Metrics {
	return r.metrics
}

// Run serves until stop is closed, then shuts down gracefully: it finishes what
// is in progress, for as long as the settings allow. It returns nil after a
// graceful shutdown.
func (r *Runner) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx = ctx
	relayed := r.relayer.Run(ctx)
	listened := r.listener.Run(ctx)
	status := r.serveStatus(ctx)
	r.log.Infof("runner: %s in %s takes callers at %s", r.settings.Host.Name, r.settings.Host.Domain, r.Address())
	r.loop(stop)
	err := r.drain()
	cancel()
	<-listened
	<-relayed
	<-status
	r.wait.Wait()
	r.platform.Close()
	r.log.Infof("runner: %s has stopped", r.settings.Host.Name)
	return err
}

// loop ticks until stop is closed.
func (r *Runner) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if round%idleTicks == 0 || r.busy() {
				r.tick()
			}
		}
	}
}

func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Busy()
}

func (r *Runner) tick() {
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Tick(now) })
}

// leaveNotice is how long the daemon goes on taking callers after it has told
// its peers that it leaves, so that they and the balancer can look elsewhere.
const leaveNotice = 200 * time.Millisecond

// drain finishes what is in progress.
func (r *Runner) drain() error {
	r.log.Infof("drainer: stopping, %d callers are connected", r.listener.Connections())
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.Drain(now) })
	deadline := time.Now().Add(r.settings.Times.Drain.Duration())
	notice := time.Now().Add(leaveNotice)
	told := false
	for time.Now().Before(deadline) {
		r.tick()
		if !told && time.Now().After(notice) {
			told = true
			r.listener.Drain()
		}
		if told && r.listener.Connections() == 0 && r.drained() {
			return nil
		}
		time.Sleep(tickInterval)
	}
	return &Error{Op: "drain", Kind: KindStart, Err: errors.Errorf("work was still in progress after %d ms", r.settings.Times.Drain)}
}

func (r *Runner) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Drained()
}

// do lets the decisions take an input and carries out what they decide.
func (r *Runner) do(input func(now timekeeper.Millis) []decider.Command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range input(r.clock.Now()) {
		r.carryOut(c)
	}
	r.lists = r.node.Lists()
	r.ready = r.node.Ready()
}

func (r *Runner) submit(request decider.Request) {
	r.do(func(now timekeeper.Millis) []decider.Command {
		r.requests[request.ClientID] = started{
			at:   time.Now(),
			rank: request.Rank.String(),
			read: !request.Write && !request.Begin,
		}
		return r.node.Submit(now, request)
	})
}

func (r *Runner) mailed(from string, m decider.Message) {
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.MessageReceived(now, from, m) })
}

func (r *Runner) probed(m watcher.Message) {
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.PacketReceived(now, m) })
}

func (r *Runner) peerLost(name string) {
	r.do(func(now timekeeper.Millis) []decider.Command { return r.node.PeerLost(now, name) })
}

func (r *Runner) cancel(key decider.CancelKeyMessage) {
	r.do(func(timekeeper.Millis) []decider.Command { return r.node.CancelRequest(key) })
}
