package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes of auburnstepd.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// commands defines the command line of auburnstepd.
type commands struct {
	Run   runCommand   `cmd:"" default:"withargs" help:"Run the instance."`
	Check checkCommand `cmd:"" help:"Check the flags and environment variables, and exit."`
}

type runCommand struct{ Config }

type checkCommand struct{ Config }

// errHelp is the panic value that ends parsing after the help text was printed.
var errHelp = errors.New("help was printed")

// Main runs auburnstepd with the given arguments and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	helpPrinted := false
	parser, err := kong.New(&c, kong.Name("auburnstepd"), kong.Writers(stdout, stderr),
		kong.Description("Router for language-model traffic with service levels and priorities. "+
			"Each flag can also be set by the environment variable shown with it."),
		kong.Exit(func(int) { helpPrinted = true; panic(errHelp) }))
	if err != nil {
		fmt.Fprintln(stderr, "auburnstepd:", err)
		return ExitFailed
	}
	ctx, err := parse(parser, args)
	switch {
	case helpPrinted:
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, "auburnstepd:", err)
		return ExitUsage
	}
	config := &c.Run.Config
	if ctx.Command() == "check" {
		config = &c.Check.Config
	}
	if err := config.Check(); err != nil {
		fmt.Fprintln(stderr, "auburnstepd:", err)
		return ExitUsage
	}
	if ctx.Command() == "check" {
		fmt.Fprintln(stdout, "the settings are valid")
		return ExitOK
	}
	if err := run(*config, stderr); err != nil {
		fmt.Fprintln(stderr, "auburnstepd:", err)
		return ExitFailed
	}
	return ExitOK
}

// parse parses the command line. It recovers from the panic with errHelp by which
// kong's exit after --help is replaced, and returns nil in that case.
func parse(parser *kong.Kong, args []string) (ctx *kong.Context, err error) {
	defer func() {
		if r := recover(); r != nil && r != errHelp {
			panic(r)
		}
	}()
	return parser.Parse(args)
}

// run runs the instance until a signal stops it.
func run(c Config, log io.Writer) error {
	stop, kill, release := Signals()
	defer release()
	d, err := New(c, log)
	if err != nil {
		return err
	}
	return d.Run(stop, kill)
}

// Signals returns channels that are closed on the first and the second SIGTERM or
// interrupt: the first drains the instance, the second ends it immediately. release
// restores the default handling of the signals.
func Signals() (stop, kill <-chan struct{}, release func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	first, second := make(chan struct{}), make(chan struct{})
	go func() {
		<-signals
		close(first)
		<-signals
		close(second)
	}()
	return first, second, func() { signal.Stop(signals) }
}
