// Command auburnstepd is the daemon that runs on each instance.
package main

import (
	"os"

	"auburnstep.example/auburnstep/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
