package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"heatherhall-edge": main})
}

// TestScripts runs the scripts of the command check.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testscripts", RequireUniqueNames: true})
}
