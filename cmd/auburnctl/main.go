// Command auburnctl is the command-line tool for operators.
package main

import (
	"os"

	"auburnstep.example/auburnstep/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], cli.SystemEnv())) }
