package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names that only the users' platform uses: its calls,
// headers, tables, fields and protocol words.
var platformNames = regexp.MustCompile(`rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|readyz|/failover|X-Lease-Holder|X-Fencing-Token|X-Instance-Id|` +
	`expected_rev|set_keys|delete_keys|has_more|db_role|warmup_left_ms|max_staleness_ms|max_conns|sync_replicas|tx_idle_ms|timeout_ms|slo_ms|` +
	`read_your_writes|bounded_stale|"(STARTUP|INDOUBT|MAXCONN|NOTFOUND|STEPDOWN)|fleetbench`)

// TestPlatformNamesStayInTheAdapter checks that no Go file outside the platform
// package, the adapter to the users' platform, contains one of its names.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (path == "platform" || path == "target" || path == "journal" || path == ".git"):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || path == "platform_test.go":
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if name := platformNames.Find(text); name != nil {
			t.Errorf("%s contains %q, a name of the platform", path, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestOnlyTheCommandUsesTheAdapter checks that only cmd/heatherhall-edge imports
// the platform package, so that the other packages do not depend on it.
func TestOnlyTheCommandUsesTheAdapter(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}: {{join .Imports " "}}`, "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		name, imports, _ := strings.Cut(line, ": ")
		if strings.Contains(imports+" ", "/heatherhall/platform ") && !strings.HasSuffix(name, "cmd/heatherhall-edge") {
			t.Errorf("%s imports the platform adapter", name)
		}
	}
}
