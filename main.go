// Command heatherhall is a database proxy with session consistency.
package main

import (
	"context"
	"os"

	"github.com/heatherhall/heatherhall/commander"
)

func main() {
	os.Exit(commander.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
