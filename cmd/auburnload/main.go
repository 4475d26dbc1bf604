// Command auburnload sends reproducible workloads, generated from a seed, and
// checks the responses.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"auburnstep.example/auburnstep/internal/load"
)

// Exit codes. A usage error exits with 2; see main.
const (
	exitRunError     = 1
	exitChecksFailed = 4
)

const description = `Sends reproducible workloads and checks that each response is complete and belongs to its request.

Exit codes: 0 all checks passed, 1 the run could not be carried out, 2 usage error, 4 a response was wrong, or a booking
was duplicated, lost or executed despite a not-run verdict (bench: a response was wrong or failed).

Examples:
  auburnload run --instance 127.0.0.1:8080 --key k1 --profile cerapulita --rate 20 --duration 30s
  auburnload run --instance 127.0.0.1:8080 --key k1 --burst schedule,start=5s,length=10s,factor=8 -o json
  auburnload bench --entry 127.0.0.1:8080 --direct 127.0.0.1:9001 --key k1`

type cli struct {
	Run   runCommand   `cmd:"" help:"Send a workload and print a table by class."`
	Bench benchCommand `cmd:"" help:"Compare chat streams through a daemon with direct ones."`
}

type output struct {
	Format string `short:"o" name:"output" help:"Output format: table or json." enum:"table,json" default:"table"`
}

// write prints the report in the chosen format and returns whether any of its
// checks failed.
func (o output) write(r report) (failed bool, err error) {
	if o.Format == "json" {
		return r.Failed(), load.WriteJSON(os.Stdout, r)
	}
	return r.Failed(), r.WriteTable(os.Stdout)
}

// report is the result of a subcommand.
type report interface {
	Failed() bool
	WriteTable(w io.Writer) error
}

type runCommand struct {
	output
	Instance    []string                 `help:"Addresses of any instances." required:"" env:"AUBURNSTEP_LOAD_INSTANCE"`
	Profile     string                   `help:"Workload: cerapulita or pedra-lisa." enum:"cerapulita,pedra-lisa" default:"cerapulita"`
	Model       string                   `help:"Model of the chat classes; the service of the profile by default."`
	Key         []string                 `help:"Bearer keys of customers." env:"AUBURNSTEP_LOAD_KEY"`
	Seed        uint64                   `help:"Seed of the workload." default:"1"`
	Rate        float64                  `help:"Requests per second of all classes together." default:"20"`
	Duration    time.Duration            `help:"Duration of the arrivals." default:"30s"`
	Burst       []burst                  `help:"Burst of one class: class,start=5s,length=10s,factor=8. Separated by ';'." sep:";"`
	Timeout     time.Duration            `help:"Bound on one request." default:"60s"`
	MaxInFlight int                      `help:"Bound on requests in flight." default:"2048"`
	Ledger      []string                 `help:"Addresses of plain stand-ins whose ledgers are checked."`
	Target      map[string]time.Duration `help:"Target of a class in place of the profile's: class=500ms."`
	TokenScale  float64                  `help:"Factor on the lengths of answers." default:"1"`
}

func (c *runCommand) run(ctx context.Context) (bool, error) {
	o := load.Options{
		Instances: c.Instance, Profile: c.Profile, Model: c.Model, Keys: c.Key, Seed: c.Seed, Rate: c.Rate, Duration: c.Duration,
		Timeout: c.Timeout, MaxInFlight: c.MaxInFlight, Ledgers: c.Ledger, Targets: c.Target, TokenScale: c.TokenScale,
	}
	for _, b := range c.Burst {
		o.Bursts = append(o.Bursts, load.Burst(b))
	}
	r, err := load.Run(ctx, o)
	if err != nil {
		return false, err
	}
	return c.write(r)
}

// burst is the flag value class,start=5s,length=10s,factor=8; factor is 1 unless
// given.
type burst load.Burst

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *burst) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ",")
	*b = burst{Class: parts[0], Factor: 1}
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		var err error
		switch key {
		case "start":
			b.Start, err = time.ParseDuration(value)
		case "length":
			b.Length, err = time.ParseDuration(value)
		case "factor":
			b.Factor, err = strconv.ParseFloat(value, 64)
		default:
			return fmt.Errorf("key %q is not one of start, length, factor", key)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

type benchCommand struct {
	output
	Entry   string        `help:"Address of the daemon." required:""`
	Direct  string        `help:"Address of the stand-in." required:""`
	Key     string        `help:"Bearer key for the daemon." env:"AUBURNSTEP_LOAD_KEY"`
	Class   string        `help:"Request class." default:"crew-chat"`
	Model   string        `help:"Model." default:"auburn-pool"`
	Streams []int         `help:"Numbers of concurrent streams." default:"1,64"`
	Rounds  int           `help:"Pairs of slices; the order of a pair alternates." default:"6"`
	Slice   time.Duration `help:"Length of one slice." default:"1s"`
	Tokens  int           `help:"Tokens of one answer." default:"32"`
}

func (c *benchCommand) run(ctx context.Context) (bool, error) {
	r, err := load.Bench(ctx, load.BenchOptions{
		Entry: c.Entry, Direct: c.Direct, Key: c.Key, Class: c.Class, Model: c.Model,
		Streams: c.Streams, Rounds: c.Rounds, Slice: c.Slice, Tokens: c.Tokens,
	})
	if err != nil {
		return false, err
	}
	return c.write(r)
}

func main() {
	var c cli
	command := kong.Parse(&c, kong.Name("auburnload"), kong.Description(description), kong.Exit(func(code int) {
		if code != 0 { // kong exits only for help (0) or a usage error
			code = 2
		}
		os.Exit(code)
	}))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	run := c.Run.run
	if command.Command() == "bench" {
		run = c.Bench.run
	}
	failed, err := run(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitRunError)
	case failed:
		os.Exit(exitChecksFailed)
	}
}
