// Command auburnstepd is the daemon that every instance runs.
package main

import (
	"os"

	"auburnstep.example/auburnstep/internal/daemon"
	"auburnstep.example/auburnstep/platform"
)

func main() {
	// The platform passes a settings file instead of the daemon's flags.
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		os.Exit(platform.Main(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
