package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/heatherhall/heatherhall/configurer"
	"github.com/heatherhall/heatherhall/planner"
)

const (
	// password is the password of all customers.
	password = "market-day"
	// waitTimeout limits each wait for a condition and most requests.
	waitTimeout = 30 * time.Second
	daemons     = 4
	databases   = 3
	// servers is the number of backend servers of each database.
	servers = 3
)

// hostDomains are the failure domains of the daemons h1 to h4. The servers of a
// database are in the first three.
var hostDomains = []string{"north", "south", "west", "north"}

// lastNetwork numbers the fleets of this process. Each fleet has loopback
// addresses of its own. They also depend on the process ID, to keep concurrent
// test runs apart.
var lastNetwork atomic.Int64

// fleetKey is the key of a script's fleet in testscript.Env.Values.
type fleetKey struct{}

// fleet is a deployment of separate processes: a stand-in for the platform,
// stand-ins for the backend servers of each database, and daemons.
type fleet struct {
	// network is the second byte of the fleet's loopback addresses.
	network int
	dir     string
	environ []string
	// token is the session token that the last statement with -token returned.
	token string
	// lastStopped is the name of the process that last got SIGSTOP.
	lastStopped string

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

func newFleet(env *testscript.Env) *fleet {
	return &fleet{
		network:   32 + (os.Getpid()*7+int(lastNetwork.Add(1)))%192,
		dir:       env.WorkDir,
		environ:   env.Vars,
		processes: map[string]*exec.Cmd{},
	}
}

func fleetFromValues(values map[any]any) *fleet {
	return values[fleetKey{}].(*fleet)
}

func scriptFleet(ts *testscript.TestScript) *fleet {
	return ts.Value(fleetKey{}).(*fleet)
}

// ip returns a loopback address of this fleet. Subnet 1 holds the daemons and
// the platform, 2 and up the servers of each database.
func (f *fleet) ip(subnet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, subnet, number)
}

func (f *fleet) platformAddress() string {
	return f.ip(1, 100) + ":7000"
}

// clientAddress returns the address on which a daemon, h1 to h4, accepts
// clients. Any other name is returned unchanged.
func (f *fleet) clientAddress(host string) string {
	number, err := strconv.Atoi(strings.TrimPrefix(host, "h"))
	if err != nil {
		return host
	}
	return f.ip(1, number) + ":6432"
}

// serverAddress returns the address of a backend server such as db0-1. Any other
// name is returned unchanged.
func (f *fleet) serverAddress(name string) string {
	var database, number int
	if _, err := fmt.Sscanf(name, "db%d-%d", &database, &number); err != nil {
		return name
	}
	return fmt.Sprintf("%s:5432", f.ip(2+database, 11+number))
}

// startAll starts all processes and waits until each daemon serves all
// databases.
func (f *fleet) startAll(ts *testscript.TestScript) error {
	ts.Defer(f.killAll)
	if err := f.writeSettings(); err != nil {
		return err
	}
	if err := f.startProcess("platform", "heatherhall-fake", "platform", "--address", f.platformAddress()); err != nil {
		return err
	}
	for d := range databases {
		for i := range servers {
			if err := f.startServer(d, i); err != nil {
				return err
			}
		}
	}
	if err := await("the platform", func() error { return f.putPlatform("/hosts", `{"hosts":[]}`) }); err != nil {
		return err
	}
	if err := ts.Exec("heatherhall", "lists", "apply", "lists.json"); err != nil {
		return err
	}
	for i := range daemons {
		if err := f.startDaemon(i); err != nil {
			return err
		}
	}
	for i := range daemons {
		host := "h" + strconv.Itoa(i+1)
		if err := await(host, func() error { return f.checkServes(host) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) checkServes(host string) error {
	for d := range databases {
		if _, err := f.runSQL([]string{host, "db" + strconv.Itoa(d), "SELECT 1"}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startServer(database, number int) error {
	name := fmt.Sprintf("db%d-%d", database, number)
	args := []string{"backend", "--name", name, "--address", f.serverAddress(name), "--service", "1", "--ship", "1", "--lag", "20"}
	if number > 0 {
		args = append(args, "--primary", f.serverAddress(fmt.Sprintf("db%d-0", database)))
	}
	return f.startProcess(name, "heatherhall-fake", args...)
}

func (f *fleet) startDaemon(number int) error {
	host := "h" + strconv.Itoa(number+1)
	return f.startProcess(host, "heatherhall", "serve", "--settings", host+".json")
}

// await repeats a check until it succeeds or waitTimeout has passed. The error is
// that of the last check, prefixed with the name of what is awaited.
func await(name string, check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return errors.Wrap(err, name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startProcess starts a program whose output is appended to NAME.log in the
// script's directory. The process is killed if the test process dies.
func (f *fleet) startProcess(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	path, err := lookPath(f.environ, program)
	if err != nil {
		return err
	}
	process := exec.Command(path, args...)
	process.Dir = f.dir
	process.Env = f.environ
	process.Stdout = log
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = process
	return nil
}

func lookPath(environ []string, program string) (string, error) {
	for _, variable := range environ {
		value, found := strings.CutPrefix(variable, "PATH=")
		if !found {
			continue
		}
		for _, dir := range filepath.SplitList(value) {
			if path := filepath.Join(dir, program); isFile(path) {
				return path, nil
			}
		}
	}
	return "", errors.Errorf("%s is not on the script's path", program)
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, process := range f.processes {
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
	}
	f.processes = map[string]*exec.Cmd{}
}

// signal sends a signal to a process. After SIGTERM and SIGKILL it waits for the
// process to exit; after SIGTERM an exit code other than 0 is an error.
func (f *fleet) signal(name string, sig os.Signal) error {
	f.mu.Lock()
	process := f.processes[name]
	f.mu.Unlock()
	if process == nil {
		return errors.Errorf("there is no process %s", name)
	}
	if err := process.Process.Signal(sig); err != nil {
		return err
	}
	if sig != syscall.SIGTERM && sig != syscall.SIGKILL {
		return nil
	}
	err := process.Wait()
	f.mu.Lock()
	delete(f.processes, name)
	f.mu.Unlock()
	if sig == syscall.SIGTERM {
		return errors.Wrap(err, name)
	}
	return nil
}

// setFault changes a fault of a backend server, given as NAME=VALUE. It connects
// from an address that the fault cut never names, so that it also works while the
// server is partitioned.
func (f *fleet) setFault(server, change string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "postgres://control_test@"+f.serverAddress(server)+"/postgres?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "SELECT heatherhall_fault('"+change+"')").ReadAll()
	return err
}

// putPlatform sends a PUT request to the platform.
func (f *fleet) putPlatform(path, body string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress()+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

// writeSettings writes the daemons' settings, their secrets and the lists into
// the script's directory. Files that the script provides are kept.
func (f *fleet) writeSettings() error {
	files := map[string]any{"secret": "a secret of all daemons", "token": "a key for signing tokens"}
	var peers []configurer.Peer
	for i := range daemons {
		peers = append(peers, configurer.Peer{Name: "h" + strconv.Itoa(i+1), Domain: hostDomains[i], Address: f.ip(1, i+1) + ":7100"})
	}
	for i, peer := range peers {
		s := configurer.Default()
		s.Host = configurer.Host{
			Name:    peer.Name,
			Domain:  peer.Domain,
			Address: f.ip(1, i+1) + ":6432",
			Peer:    peer.Address,
			Metrics: f.ip(1, i+1) + ":9100",
		}
		s.Platform = f.platformAddress()
		s.Peers = peers
		s.Secret.File = "secret"
		s.Tokens = []configurer.TokenKey{{Name: "k1", Secret: configurer.Secret{File: "token"}}}
		s.Databases = f.databaseSettings()
		files[peer.Name+".json"] = s
	}
	lists, err := testLists()
	if err != nil {
		return err
	}
	files["lists.json"] = lists
	for name, content := range files {
		if err := f.writeFile(name, content); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeFile(name string, content any) error {
	data, isText := content.(string)
	if !isText {
		encoded, err := json.Marshal(content)
		if err != nil {
			return err
		}
		data = string(encoded)
	}
	path := filepath.Join(f.dir, name)
	if isFile(path) {
		return nil
	}
	return os.WriteFile(path, []byte(data), 0o600)
}

func (f *fleet) databaseSettings() []configurer.Database {
	var out []configurer.Database
	for d := range databases {
		database := configurer.Database{Name: "db" + strconv.Itoa(d), Acknowledge: configurer.AcknowledgeMajority}
		for i := range servers {
			name := fmt.Sprintf("db%d-%d", d, i)
			database.Servers = append(database.Servers, configurer.Server{
				Name: name, Domain: hostDomains[i], Address: f.serverAddress(name), Slots: 2, Connections: 16,
			})
		}
		out = append(out, database)
	}
	return out
}

func testLists() (planner.File, error) {
	verifier, err := planner.NewVerifier("coop", password, "salt of the tests")
	if err != nil {
		return planner.File{}, err
	}
	return planner.File{
		Plans: []planner.Plan{{Name: "gold", Databases: []string{"*"}}},
		Customers: []planner.Customer{
			{Name: "coop", Plan: "gold", Verifier: verifier.String()},
			{Name: "parish", Plan: "gold", Verifier: verifier.String()},
		},
	}, nil
}
