package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// grace is bounds.grace_s of the settings.
const grace = 6 * time.Second

// daemon is a process of the project.
type daemon struct {
	name, zone, ip               string
	front, ready, peers, metrics string
	settings, dir                string
	record                       *record
	process                      *exec.Cmd
	exited                       chan struct{}
}

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func newDaemon(r *record, dir, name, zone, ip string) (*daemon, error) {
	d := &daemon{name: name, zone: zone, ip: ip, dir: dir, record: r}
	for _, address := range []*string{&d.front, &d.ready, &d.peers, &d.metrics} {
		var err error
		if *address, err = freePort(ip); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// configure writes the settings file, as the template of the deploy file fills it in.
func (d *daemon) configure(storeAddress, failover string, seeds []string) error {
	data, err := json.MarshalIndent(map[string]any{
		"host": map[string]any{
			"name": d.name, "domain": d.zone, "address": d.ip, "front": d.front, "ready": d.ready, "peers": d.peers, "metrics": d.metrics,
		},
		"seeds": seeds, "store": storeAddress, "failover": failover, "grace": grace.Milliseconds(), "memory": 414, "log": "info",
	}, "", "  ")
	if err != nil {
		return err
	}
	d.settings = filepath.Join(d.dir, d.name+".json")
	return os.WriteFile(d.settings, data, 0o600)
}

// start runs the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.process = exec.Command("target/heatherhall-edge", "serve")
	d.process.Env = append(os.Environ(), "HEATHERHALL_CONFIG="+d.settings)
	d.process.Stdout, d.process.Stderr = out, out
	if err := d.process.Start(); err != nil {
		return err
	}
	d.record.line("daemon %s starts", d.name)
	process, exited := d.process, make(chan struct{})
	d.exited = exited
	go func() {
		err := process.Wait()
		d.record.line("daemon %s has ended: %v", d.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.record.line("daemon %s gets %v", d.name, s)
	_ = d.process.Process.Signal(s)
}

// isReady asks the readiness address.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	answer, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the daemons are ready.
func awaitReady(daemons ...*daemon) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, d := range daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				return errors.New(d.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// kill ends the process if it runs.
func (d *daemon) kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	select {
	case <-d.exited:
		return
	default:
	}
	_ = d.process.Process.Kill()
	<-d.exited
}
