// Package emulator runs a whole deployment in one process: the stand-ins of the
// platform and of the backend servers, and the daemons, each on a loopback
// address. The demo and the experiments run against it.
package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/faker"
	"github.com/heatherhall/heatherhall/planner"
	"github.com/heatherhall/heatherhall/runner"
	"github.com/heatherhall/heatherhall/storer"
	"github.com/heatherhall/heatherhall/timekeeper"
)

// Size is the size of a deployment and the speed of its backend servers.
type Size struct {
	// Domains are the names of the failure domains. Daemons, and the servers of
	// each database, are assigned to them in turn.
	Domains   []string `json:"domains"`
	Daemons   int      `json:"daemons"`
	Databases int      `json:"databases"`
	// Slots and the following fields are the settings of each backend server; see
	// faker.BackendSettings.
	Slots        int               `json:"slots"`
	Connections  int               `json:"connections"`
	ConnectDelay timekeeper.Millis `json:"connect"`
	ServiceTime  timekeeper.Millis `json:"service"`
	ShipDelay    timekeeper.Millis `json:"ship"`
	ApplyLag     timekeeper.Millis `json:"lag"`
}

// servers is the number of backend servers of each database.
const servers = 3

// Coop returns the size of the co-op's deployment, the smaller of the two that
// are predefined.
func Coop() Size {
	return Size{
		Domains: []string{"north", "south", "west"}, Daemons: 4, Databases: 3,
		Slots: 2, Connections: 16, ConnectDelay: 12, ServiceTime: 1, ShipDelay: 1, ApplyLag: 5,
	}
}

// Naidu returns the size of Naidu & Sons' deployment, the larger of the two that
// are predefined.
func Naidu() Size {
	return Size{
		Domains: []string{"north", "east", "south", "west"}, Daemons: 4, Databases: 3,
		Slots: 5, Connections: 50, ConnectDelay: 12, ServiceTime: 1, ShipDelay: 1, ApplyLag: 5,
	}
}

// Options configures a deployment apart from its size.
type Options struct {
	// Network is the second byte of the loopback addresses. Deployments that run
	// at the same time need different ones.
	Network int
	// Log receives the logs of all daemons.
	Log io.Writer
	// Decisions enables the logging of routing and placement decisions.
	Decisions bool
	// Lists holds the operators' lists that the deployment starts with.
	Lists planner.File
	// ChangeSettings modifies the settings of each daemon before it starts. It may
	// be nil.
	ChangeSettings func(*configurer.Settings)
	// Override overrides settings of the daemons' decisions, to run a baseline. It
	// may be nil.
	Override runner.Override
}

// Daemon is a daemon of a deployment.
type Daemon struct {
	Name string
	// Address is the address that clients connect to, as IP:PORT.
	Address string
	Runner  *runner.Runner
	stop    chan struct{}
	// done holds the error of Runner.Run once the daemon has stopped.
	done chan error
}

// Emulation is a running deployment.
type Emulation struct {
	Platform *faker.Platform
	// Backends holds the backend servers by name; see ServerName. Stopped servers
	// stay in it.
	Backends map[string]*faker.Backend
	Daemons  []*Daemon
	// Client is a client of the platform stand-in.
	Client *storer.Client

	size    Size
	options Options
	// dir is a temporary directory for the secret file.
	dir    string
	cancel context.CancelFunc
	// finished holds one channel for each stand-in, closed when it has stopped.
	finished    []<-chan struct{}
	stopBackend map[string]context.CancelFunc
}

// New starts a deployment and waits until all its daemons are ready, which may
// take up to readyTimeout. If that fails, it stops what it started and returns
// the error. The end of the context stops only the stand-ins; Stop ends the
// deployment.
func New(ctx context.Context, size Size, options Options) (*Emulation, error) {
	dir, err := os.MkdirTemp("", "heatherhall")
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &Emulation{
		Backends:    map[string]*faker.Backend{},
		size:        size,
		options:     options,
		dir:         dir,
		cancel:      cancel,
		stopBackend: map[string]context.CancelFunc{},
	}
	if err := e.start(ctx); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

// ip returns a loopback address. Subnet 1 holds the daemons, numbered from 1, and
// the platform with the number 100. Subnet 2+n holds the servers of database n,
// numbered from 11.
func (e *Emulation) ip(subnet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", e.options.Network, subnet, number)
}

func (e *Emulation) start(ctx context.Context) error {
	platform, err := faker.NewPlatform(e.ip(1, 100) + ":7000")
	if err != nil {
		return err
	}
	e.Platform = platform
	e.finished = append(e.finished, platform.Run(ctx))
	for d := range e.size.Databases {
		for i := range servers {
			if err := e.startBackend(ctx, d, i); err != nil {
				return err
			}
		}
	}
	e.Client = storer.New(platform.Address(), "")
	if err := e.applyLists(ctx); err != nil {
		return err
	}
	for i := range e.size.Daemons {
		if err := e.startDaemon(i); err != nil {
			return err
		}
	}
	return e.awaitReady(ctx)
}

// ServerName returns the name of a server of a database, both numbered from 0.
// Server 0 is the first primary.
func ServerName(database, number int) string {
	return fmt.Sprintf("db%d-%d", database, number)
}

func (e *Emulation) serverAddress(database, number int) string {
	return e.ip(2+database, 11+number) + ":5432"
}

func (e *Emulation) startBackend(ctx context.Context, database, number int) error {
	settings := faker.BackendSettings{
		Name:         ServerName(database, number),
		Address:      e.serverAddress(database, number),
		Slots:        e.size.Slots,
		Connections:  e.size.Connections,
		ConnectDelay: e.size.ConnectDelay,
		ServiceTime:  e.size.ServiceTime,
		ShipDelay:    e.size.ShipDelay,
		ApplyLag:     e.size.ApplyLag,
	}
	if number > 0 {
		settings.Primary = e.serverAddress(database, 0)
	}
	backend, err := faker.NewBackend(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	e.Backends[settings.Name] = backend
	e.stopBackend[settings.Name] = cancel
	e.finished = append(e.finished, backend.Run(ctx))
	return nil
}

func (e *Emulation) applyLists(ctx context.Context) error {
	lists, err := e.options.Lists.Lists()
	if err != nil {
		return err
	}
	_, err = e.Client.Apply(ctx, planner.Empty(), planner.Empty().Diff("first", "emulator", lists))
	return err
}

func (e *Emulation) startDaemon(number int) error {
	settings, err := e.settings(number)
	if err != nil {
		return err
	}
	r, err := runner.New(settings, e.options.Log, e.options.Override)
	if err != nil {
		return err
	}
	d := &Daemon{
		Name:    settings.Host.Name,
		Address: r.Address(),
		Runner:  r,
		stop:    make(chan struct{}),
		done:    make(chan error, 1),
	}
	e.Daemons = append(e.Daemons, d)
	go func() { d.done <- r.Run(d.stop) }()
	return nil
}

// settings returns the settings of a daemon. They are encoded and parsed again,
// so that they are checked like settings from a file.
func (e *Emulation) settings(number int) (configurer.Settings, error) {
	secret := filepath.Join(e.dir, "secret")
	if err := os.WriteFile(secret, []byte("the secret of an emulation"), 0o600); err != nil {
		return configurer.Settings{}, &Error{Op: "settings", Kind: KindStart, Err: err}
	}
	s := configurer.Default()
	s.Log.Decisions = e.options.Decisions
	s.Platform = e.Platform.Address()
	s.Secret.File = secret
	s.Tokens = []configurer.TokenKey{{Name: "first", Secret: configurer.Secret{File: secret}}}
	for i := range e.size.Daemons {
		peer := configurer.Peer{
			Name:    fmt.Sprintf("h%d", i+1),
			Domain:  e.size.Domains[i%len(e.size.Domains)],
			Address: e.ip(1, i+1) + ":7100",
		}
		s.Peers = append(s.Peers, peer)
	}
	self := s.Peers[number]
	s.Host = configurer.Host{
		Name:    self.Name,
		Domain:  self.Domain,
		Address: e.ip(1, number+1) + ":6432",
		Peer:    self.Address,
		Metrics: e.ip(1, number+1) + ":9100",
	}
	for d := range e.size.Databases {
		s.Databases = append(s.Databases, e.database(d))
	}
	if e.options.ChangeSettings != nil {
		e.options.ChangeSettings(&s)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return s, &Error{Op: "settings", Kind: KindStart, Err: err}
	}
	return configurer.Parse(data)
}

func (e *Emulation) database(number int) configurer.Database {
	database := configurer.Database{Name: fmt.Sprintf("db%d", number)}
	for i := range servers {
		database.Servers = append(database.Servers, configurer.Server{
			Name:        ServerName(number, i),
			Domain:      e.size.Domains[i%len(e.size.Domains)],
			Address:     e.serverAddress(number, i),
			Slots:       e.size.Slots,
			Connections: e.size.Connections,
		})
	}
	return database
}

// readyTimeout bounds how long New waits for all daemons to become ready.
const readyTimeout = 15 * time.Second

func (e *Emulation) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range e.Daemons {
		for !d.Runner.Ready() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return &Error{Op: "start", Kind: KindStart, Err: errors.Errorf("%s is not ready", d.Name)}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// KillServer stops a backend server abruptly: its listener and connections are
// closed without a shutdown. It fails with KindUnknown if there is no server of
// that name.
func (e *Emulation) KillServer(name string) error {
	cancel := e.stopBackend[name]
	if cancel == nil {
		return &Error{Op: "kill", Kind: KindUnknown, Err: errors.Errorf("there is no server %q", name)}
	}
	cancel()
	return nil
}

// SetFault changes a fault of a backend server, given as name=value; see
// faker.Backend.SetFault. It fails with KindUnknown if there is no server of that
// name.
func (e *Emulation) SetFault(name, change string) error {
	backend := e.Backends[name]
	if backend == nil {
		return &Error{Op: "fault", Kind: KindUnknown, Err: errors.Errorf("there is no server %q", name)}
	}
	return backend.SetFault(change)
}

// SetHosts replaces the platform's list of hosts with a JSON document. It fails
// if the platform can't be reached, but not if the platform rejects the
// document.
func (e *Emulation) SetHosts(ctx context.Context, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.Platform.Address()+"/hosts", strings.NewReader(body))
	if err != nil {
		return &Error{Op: "hosts", Kind: KindStart, Err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &Error{Op: "hosts", Kind: KindStart, Err: err}
	}
	return response.Body.Close()
}

// StopDaemon shuts a daemon down gracefully, waits for its end and returns its
// error, which is nil after a graceful shutdown. Further calls return the same
// error.
func (e *Emulation) StopDaemon(d *Daemon) error {
	select {
	case <-d.stop:
	default:
		close(d.stop)
	}
	err := <-d.done
	d.done <- err
	return err
}

// Stop shuts all daemons down gracefully at the same time, then stops the
// stand-ins and removes the temporary files.
func (e *Emulation) Stop() {
	stopped := make(chan struct{}, len(e.Daemons))
	for _, d := range e.Daemons {
		go func() {
			_ = e.StopDaemon(d)
			stopped <- struct{}{}
		}()
	}
	for range e.Daemons {
		<-stopped
	}
	e.cancel()
	for _, done := range e.finished {
		<-done
	}
	if e.Client != nil {
		e.Client.Close()
	}
	_ = os.RemoveAll(e.dir)
}
