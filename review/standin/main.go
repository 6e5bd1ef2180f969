// Command review-standin plays the script cases of the review. It starts the
// project's daemons as separate processes against stand-ins of the platform's store,
// the failover API, the instances and the clients, which follow the users' pages.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scene is a small deployment.
type scene struct {
	record  *record
	dir     string
	store   *store
	cluster *cluster
	daemons []*daemon
	// removed is a daemon that is not to come back, if any.
	removed *daemon
	// trouble says that the disruption takes place.
	trouble bool
}

// route is a route of the manifest.
func route(host, kind, service string, priority, timeout int) map[string]any {
	return map[string]any{
		"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "service": service, "timeout_ms": timeout, "slo_ms": 200,
		"priority": priority, "max_staleness_ms": 2500, "attempts": 2,
	}
}

// manifest writes the first manifest.
func (s *scene) manifest(syncReplicas int) {
	s.store.put("op", "config", map[string]any{
		"version": 7, "routes": []any{route("lepu270", "primary", s.cluster.name, 0, 1000), route("fiti832", "read_your_writes", s.cluster.name, 1, 1000)},
		"services": []any{map[string]any{"name": s.cluster.name, "health_path": "/healthz", "max_conns": s.cluster.maxConns, "sync_replicas": syncReplicas}},
		"limits":   map[string]any{"tx_idle_ms": 2000},
	})
}

// start starts a daemon for each zone and waits until all are ready.
func (s *scene) start(zones []string) error {
	if err := s.prepare(zones); err != nil {
		return err
	}
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := awaitReady(s.daemons...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the daemons know each other from now on
	return nil
}

// prepare writes the daemons' settings.
func (s *scene) prepare(zones []string) error {
	// Loopback addresses of its own keep the ports of a run apart from all others.
	network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	seeds := []string{}
	for i, zone := range zones {
		d, err := newDaemon(s.record, s.dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("%s.%d", network, 11+i))
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		seeds = append(seeds, d.peers)
	}
	for _, d := range s.daemons {
		if err := d.configure(s.store.address, s.store.address, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	if s.removed != nil {
		s.removed.kill()
	}
	if s.cluster != nil {
		s.cluster.close()
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
}

// maxRunTime is how long a case may run.
const maxRunTime = 110 * time.Second

// run runs a case until it ends, maxRunTime has passed or a signal ends the program.
func (s *scene) run(play func(*scene) error) error {
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { ended <- play(s) }()
	select {
	case err := <-ended:
		return err
	case <-signals:
		return errors.New("ended by a signal")
	case <-time.After(maxRunTime):
		return errors.New("it took too long")
	}
}

// cases are the script cases by name.
var cases = map[string]func(*scene) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*scene) error, folder string) int {
	fail := func(err error) int {
		_, _ = fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	if _, err := exec.LookPath("target/heatherhall-edge"); err != nil {
		return fail(errors.New("target/heatherhall-edge is not built"))
	}
	r, err := newRecord(folder)
	if err != nil {
		return fail(err)
	}
	s := &scene{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(s.dir) }()
	} else {
		fmt.Println("logs:", s.dir)
	}
	if s.store, err = newStore(); err == nil {
		err = s.run(run)
	}
	s.close()
	problems := r.close()
	if err != nil {
		return fail(err)
	}
	for i, problem := range problems {
		if i == 5 {
			fmt.Printf("and %d more\n", len(problems)-i)
			break
		}
		fmt.Println("BROKEN", problem)
	}
	if len(problems) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
