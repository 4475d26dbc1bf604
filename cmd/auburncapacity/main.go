// Command auburncapacity measures the resource usage of running daemons for
// docs/CAPACITY.md. scripts/capacity.sh starts the daemons and runs its subcommands.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"auburnstep.example/auburnstep/internal/capacity"
)

type cli struct {
	Load     loadCommand     `cmd:"" help:"Bring the settings to a number of customers."`
	Feed     feedCommand     `cmd:"" help:"Poll the control members from a number of instances."`
	Fresh    freshCommand    `cmd:"" help:"Start an instance without settings."`
	Messages messagesCommand `cmd:"" help:"Send the messages of an entry to a scheduler."`
	Bookings bookingsCommand `cmd:"" help:"Begin and finish bookings."`
	Streams  streamsCommand  `cmd:"" help:"Send requests to an entry."`
	InFlight inFlightCommand `cmd:"" help:"Hold streams at an entry."`
	Memory   memoryCommand   `cmd:"" help:"Sample the memory of a daemon."`
	Idle     idleCommand     `cmd:"" help:"Measure a daemon without requests."`
	Storm    stormCommand    `cmd:"" help:"Start many instances without settings at once."`
	Commands commandsCommand `cmd:"" help:"Write the sizes of commands in the replicated log."`
	Sync     syncCommand     `cmd:"" help:"Append to a file and sync it."`
	Name     nameCommand     `cmd:"" help:"Print the name of the instance that is to hold the group."`
	Fit      fitCommand      `cmd:"" help:"Read raw rows and write the table of slopes."`
}

var rows = capacity.Rows{W: os.Stdout}

type controlMembers struct {
	Control []string `help:"Peer addresses of control members." required:""`
}

type loadCommand struct {
	controlMembers
	Present   int `help:"Customers that exist."`
	Customers int `help:"Customers to reach."`
	Groups    int `help:"Scheduler groups of the service." default:"1"`
}

// Run implements the load subcommand.
func (c *loadCommand) Run(ctx context.Context) error {
	return capacity.NewLeaderClient(c.Control).AddCustomers(ctx, rows, c.Present, c.Customers, c.Groups)
}

type feedCommand struct {
	controlMembers
	Instances int           `help:"Instances that poll." required:""`
	Label     string        `help:"Start of the names of the quantities." default:"feed"`
	Size      float64       `help:"Size to note; the number of instances by default."`
	Window    time.Duration `help:"Time to measure." default:"8s"`
	Every     time.Duration `help:"Time between settings changes; none by default."`
}

// Run implements the feed subcommand.
func (c *feedCommand) Run(ctx context.Context) error {
	fleet, err := capacity.StartFleet(ctx, capacity.NewLeaderClient(c.Control), c.Instances)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	// Wait until the groups that an earlier fleet held are assigned to new holders.
	time.Sleep(2500 * time.Millisecond)
	if c.Size == 0 {
		c.Size = float64(c.Instances)
	}
	return fleet.Measure(ctx, rows, c.Label, c.Size, c.Window, c.Every)
}

type freshCommand struct {
	controlMembers
	Size float64 `help:"Number of customers to note." required:""`
}

// Run implements the fresh subcommand.
func (c *freshCommand) Run(ctx context.Context) error {
	return capacity.NewLeaderClient(c.Control).ColdStart(ctx, rows, c.Size)
}

type messagesCommand struct {
	controlMembers
	Held []int `help:"Numbers of grants in use." default:"0,16,64,256"`
}

// Run implements the messages subcommand.
func (c *messagesCommand) Run(ctx context.Context) error {
	group, err := capacity.NewGroupClient(ctx, capacity.NewLeaderClient(c.Control))
	if err != nil {
		return err
	}
	return group.Run(ctx, rows, c.Held)
}

type bookingsCommand struct {
	controlMembers
	Bookings int `help:"Bookings to make." default:"2000"`
	Parallel int `help:"Bookings at once." default:"16"`
}

// Run implements the bookings subcommand.
func (c *bookingsCommand) Run(ctx context.Context) error {
	return capacity.NewLeaderClient(c.Control).Bookings(ctx, rows, c.Bookings, c.Parallel)
}

type entryAddresses struct {
	Entry   string `help:"Address of the entry." required:""`
	Metrics string `help:"Address of its metrics." required:""`
}

type streamsCommand struct {
	entryAddresses
	Tokens   int `help:"Tokens of a response." required:""`
	Streams  int `help:"Streams at once." default:"64"`
	Requests int `help:"Requests to send." default:"512"`
}

// Run implements the streams subcommand.
func (c *streamsCommand) Run(ctx context.Context) error {
	return capacity.NewEntryClient(c.Entry, c.Metrics).Streams(ctx, rows, c.Tokens, c.Streams, c.Requests)
}

type inFlightCommand struct {
	entryAddresses
	Streams int           `help:"Streams to hold." required:""`
	Hold    time.Duration `help:"Time to hold them." default:"4s"`
}

// Run implements the in-flight subcommand.
func (c *inFlightCommand) Run(ctx context.Context) error {
	return capacity.NewEntryClient(c.Entry, c.Metrics).InFlight(ctx, rows, c.Streams, c.Hold)
}

type memoryCommand struct {
	Label   string        `help:"Start of the names of the quantities." required:""`
	Metrics string        `help:"Address of the metrics of the daemon." required:""`
	Size    float64       `help:"Size to note."`
	Window  time.Duration `help:"Time to sample." default:"3s"`
}

// Run implements the memory subcommand.
func (c *memoryCommand) Run() error {
	return capacity.Memory(rows, c.Label, c.Metrics, c.Size, c.Window)
}

type idleCommand struct{ memoryCommand }

// Run implements the idle subcommand.
func (c *idleCommand) Run() error {
	return capacity.Idle(rows, c.Label, c.Metrics, c.Size, c.Window)
}

type stormCommand struct {
	controlMembers
	Instances int           `help:"Instances to start." required:""`
	Bound     time.Duration `help:"Time to wait for whole views." default:"30s"`
}

// Run implements the storm subcommand.
func (c *stormCommand) Run(ctx context.Context) error {
	return capacity.NewLeaderClient(c.Control).SimultaneousStart(ctx, rows, c.Instances, c.Bound)
}

type commandsCommand struct{}

// Run implements the commands subcommand.
func (c *commandsCommand) Run() error { return capacity.CommandSizes(rows) }

type syncCommand struct {
	Dir   string `help:"Folder of the file." required:""`
	Sizes []int  `help:"Bytes to append at once." default:"512,4096,65536"`
}

// Run implements the sync subcommand.
func (c *syncCommand) Run() error { return capacity.Sync(rows, c.Dir, c.Sizes) }

type nameCommand struct{}

// Run implements the name subcommand.
func (c *nameCommand) Run() error {
	fmt.Println(capacity.GroupHolderName())
	return nil
}

type fitCommand struct {
	File string `arg:"" help:"File of raw rows."`
}

// Run implements the fit subcommand.
func (c *fitCommand) Run() error {
	file, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer file.Close()
	all, err := capacity.ParseRows(file)
	if err != nil {
		return err
	}
	capacity.WriteTable(os.Stdout, all, capacity.Targets())
	return nil
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	command := kong.Parse(&cli{}, kong.Name("auburncapacity"), kong.BindTo(ctx, (*context.Context)(nil)))
	command.FatalIfErrorf(command.Run())
}
