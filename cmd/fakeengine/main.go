// Command fakeengine runs a fake endpoint: a model engine or a plain service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"auburnstep.example/auburnstep/internal/fakeengine"
)

// exitCrash is the exit code when the injected crash fault ends the process.
const exitCrash = 3

func main() {
	var cfg fakeengine.Config
	kong.Parse(&cfg, kong.Name("fakeengine"), kong.Description("Fake endpoint: a model engine or a plain service."))
	cfg.Exit = func() { os.Exit(exitCrash) }
	if err := serve(cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs the endpoint until the first SIGTERM or interrupt, then withdraws it
// and lets running requests finish. A second signal stops it without waiting.
func serve(cfg fakeengine.Config) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	s, err := fakeengine.Start(cfg)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", s.Addr())
	<-ctx.Done()
	cancel()
	second, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return s.Leave(second)
}
