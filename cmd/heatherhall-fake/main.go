// Command heatherhall-fake runs one of the fakes that heatherhall is tested
// against, such as a backend server or the platform, as a separate process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/heatherhall/heatherhall/faker"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := faker.Program().Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "heatherhall-fake:", err)
		os.Exit(1)
	}
}
