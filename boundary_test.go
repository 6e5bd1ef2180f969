package main

import (
	"os/exec"
	"strings"
	"testing"
)

// decisionPackages are the packages that compute the daemon's decisions. They do
// no I/O and read no clock.
var decisionPackages = []string{
	"acknowledger", "balancer", "cataloger", "checker", "decider", "deduplicator", "dispatcher", "elector", "limiter",
	"multiplexer", "placer", "planner", "pooler", "promoter", "rationer", "router", "scheduler", "sequencer", "sessioner", "shedder", "watcher",
}

// forbiddenImports are the packages that give access to I/O, the clock,
// randomness or other goroutines.
var forbiddenImports = map[string]bool{
	"net": true, "net/http": true, "os": true, "time": true, "math/rand": true, "math/rand/v2": true, "sync": true,
}

// TestDecisionsDoNoIO checks that the decision packages import none of the
// forbidden packages directly.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, name := range decisionPackages {
		out, err := exec.Command("go", "list", "-f", `{{join .Imports " "}}`, "./"+name).Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range strings.Fields(string(out)) {
			if forbiddenImports[imported] {
				t.Errorf("%s imports %s", name, imported)
			}
		}
	}
}
