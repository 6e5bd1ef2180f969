package main

import (
	"os/exec"
	"strings"
	"testing"
)

// decisionPackages decide; they do no I/O and read no clock.
var decisionPackages = []string{
	"acknowledger", "cataloger", "decider", "deduplicator", "dispatcher", "elector",
	"multiplexer", "planner", "pooler", "promoter", "router", "scheduler", "sequencer", "sessioner", "watcher",
}

// forbidden are packages through which a decision could reach the world.
var forbidden = map[string]bool{
	"net": true, "net/http": true, "os": true, "time": true, "math/rand": true, "math/rand/v2": true, "sync": true,
}

// TestDecisionsDoNoIO checks the direct imports of the decision packages.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, name := range decisionPackages {
		out, err := exec.Command("go", "list", "-f", `{{join .Imports " "}}`, "./"+name).Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range strings.Fields(string(out)) {
			if forbidden[imported] {
				t.Errorf("%s imports %s", name, imported)
			}
		}
	}
}
