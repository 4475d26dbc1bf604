// Package cli implements auburnctl, the operators' command-line tool.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/hlc"
)

// Env holds the output streams, the clock, the ID source and the user of a command. Tests
// replace them.
type Env struct {
	Stdout, Stderr io.Writer
	Now            func() time.Time
	// Sleep returns after the duration or when the context is done.
	Sleep func(context.Context, time.Duration)
	// WithTimeout returns a context that ends after the duration on the clock of Now.
	WithTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)
	NewID       func() string
	// Actor is the default author of a change.
	Actor string
}

// SystemEnv returns an Env with the standard streams, the system clock and random IDs.
// The actor is USER@HOST.
func SystemEnv() Env {
	return Env{Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now, Sleep: sleep, WithTimeout: context.WithTimeout, NewID: uuid.NewString, Actor: systemActor()}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func systemActor() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

// grammar defines the global flags and the commands for the kong parser.
type grammar struct {
	Server  []string      `env:"AUBURNSTEP_SERVER" sep:"," placeholder:"HOST:PORT" help:"Instances to ask, tried in turn, separated by commas. A prefix https:// turns TLS on."`
	Token   string        `env:"AUBURNSTEP_TOKEN" placeholder:"TOKEN" help:"Operators' token. Prefer the variable, since a flag shows in the process list."`
	Output  string        `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
	Timeout time.Duration `default:"10s" help:"Bound on the whole command, with its retries and waits."`
	TLSCA   string        `name:"tls-ca" env:"AUBURNSTEP_TLS_CA" placeholder:"FILE" help:"Certificate authority of the instances."`
	TLSCert string        `name:"tls-cert" env:"AUBURNSTEP_TLS_CERT" placeholder:"FILE" help:"Client certificate."`
	TLSKey  string        `name:"tls-key" env:"AUBURNSTEP_TLS_KEY" placeholder:"FILE" help:"Key of the client certificate."`

	Check     checkCmd     `cmd:"" help:"Check a routing table or declarations of settings before they are sent."`
	Apply     applyCmd     `cmd:"" help:"Apply declarations of settings."`
	Get       getCmd       `cmd:"" help:"Show nodes and the values set on them."`
	Explain   explainCmd   `cmd:"" help:"Show the effective values of a node and where each comes from."`
	Export    exportCmd    `cmd:"" help:"Print all settings as declarations."`
	Result    resultCmd    `cmd:"" help:"Ask what became of a change whose answer was lost."`
	Status    statusCmd    `cmd:"" help:"Show members, entries and scheduler groups."`
	Endpoints endpointsCmd `cmd:"" help:"Show the endpoints of all scheduler groups."`
	Drain     drainCmd     `cmd:"" help:"Take an instance out of the entry list; it goes on serving."`
	Timeline  timelineCmd  `cmd:"" help:"Show the events of all instances in one order."`
	Usage     usageCmd     `cmd:"" help:"Show requests and tokens by customer and class."`
	Routing   routingCmd   `cmd:"" help:"Show or replace the routing table of routed instances."`
	Member    memberCmd    `cmd:"" help:"Show, add or remove control members."`
}

// commandWithoutServer is the command that also works without a server.
const commandWithoutServer = "check"

const description = "auburnctl shows and changes the settings and the members of auburnstep.\n\n" +
	"Examples:\n\n" +
	"  auburnctl apply -f settings/ --dry-run\n" +
	"  auburnctl explain /services/auburn-pool/schedule\n" +
	"  auburnctl timeline --customer torino -o json\n\n"

// session holds the state of one command run.
type session struct {
	Env
	*grammar
	ctx      context.Context
	clock    *hlc.Clock
	deadline time.Time
	// callTimeout bounds each call; the deadline bounds all of them together.
	callTimeout time.Duration
	// client is nil for a command that runs without a server.
	client *client
}

// Run executes a command line, prints an error as one line on stderr, and returns the
// exit code.
func Run(args []string, env Env) int {
	if err := run(args, env); err != nil {
		fmt.Fprintf(env.Stderr, "auburnctl: %s\n", oneLine(err.Error()))
		return exitCode(err)
	}
	return CodeOK
}

// oneLine replaces each run of white space, line breaks included, by one space.
func oneLine(s string) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(s, "\n", " ")), " ")
}

// helpShown is the panic value that replaces os.Exit after kong has printed a help text.
// run recovers it and returns without an error.
type helpShown struct{}

func run(args []string, env Env) (err error) {
	var g grammar
	defer func() {
		switch r := recover().(type) {
		case nil:
		case helpShown:
			err = nil
		default:
			panic(r)
		}
	}()
	parser, err := newParser(&g, env)
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return &exitError{CodeUsage, err}
	}
	s := &session{Env: env, grammar: &g, ctx: context.Background(), clock: hlc.New(env.Now), deadline: env.Now().Add(g.Timeout), callTimeout: callTimeout}
	if len(g.Server) > 0 || command.Command() != commandWithoutServer {
		if err := s.setupClient(); err != nil {
			return &exitError{CodeUsage, err}
		}
	}
	return command.Run(s)
}

func newParser(g *grammar, env Env) (*kong.Kong, error) {
	return kong.New(g, kong.Name("auburnctl"), kong.Description(description+exitCodeHelp()), kong.Writers(env.Stdout, env.Stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
		kong.Exit(func(int) { panic(helpShown{}) }))
}

// setupClient checks the connection flags and creates the client. It opens no connection.
func (s *session) setupClient() error {
	if len(s.Server) == 0 {
		return errors.New("no server is given; use --server HOST:PORT or AUBURNSTEP_SERVER")
	}
	if s.Timeout <= 0 {
		return errors.New("--timeout must be above 0, such as 10s")
	}
	c, err := newClient(s)
	s.client = c
	return err
}
