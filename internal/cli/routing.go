package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
)

// routingCmd shows and replaces the routing table of routed instances.
type routingCmd struct {
	Get routingGetCmd `cmd:"" help:"Show the routing table in force."`
	Put routingPutCmd `cmd:"" help:"Replace the routing table by one of a higher version."`
}

type routingGetCmd struct{}

// Help returns the text that --help adds to the usage of the command.
func (routingGetCmd) Help() string {
	return "Shows the table as the leader knows it. With -o json it is the file that put takes.\n\nExamples:\n\n  auburnctl routing get\n  auburnctl routing get -o json > table.json"
}

// routingTable returns the routing table that is in force, or nil if there is none.
func (s *session) routingTable() (*routing.Table, error) {
	res, callErr := callLeader(s, controlv1connect.ControlClient.Routing, &controlv1.RoutingRequest{},
		func(r *controlv1.RoutingResponse) (string, bool) {
			return r.GetLeaderAddress(), r.GetLeaderAddress() == ""
		})
	if callErr != nil {
		return nil, newReadError(callErr)
	}
	if res.GetTable() == nil {
		return nil, nil
	}
	return routing.Decode(res.GetTable().GetDocument())
}

// Run prints the routing table that is in force.
func (c *routingGetCmd) Run(s *session) error {
	table, err := s.routingTable()
	if err != nil {
		return err
	}
	if table == nil {
		return exitErrorf(CodeNotFound, "no routing table has been accepted yet")
	}
	if s.json() {
		return s.printJSON(table)
	}
	fmt.Fprintf(s.Stdout, "version %d, %d customers\n", table.Version, len(table.Customers))
	t := newTable(s.Stdout, "ROUTE", "HOST", "PREFIX", "KIND", "PRIORITY", "TARGET MS", "TIMEOUT MS", "ATTEMPTS", "SERVICES")
	for _, r := range table.Routes {
		services := ""
		for _, target := range r.Targets {
			services += target.Service + ":" + strconv.Itoa(target.Weight) + " "
		}
		t.row(r.Name, r.Host, r.Prefix, string(r.Kind), strconv.Itoa(r.Priority), strconv.FormatInt(r.ObjectiveMs, 10),
			strconv.FormatInt(r.TimeoutMs, 10), strconv.Itoa(r.Attempts), services)
	}
	return t.flush()
}

type routingPutCmd struct {
	File string `short:"f" required:"" placeholder:"FILE" help:"JSON file with the whole table."`
}

// Help returns the text that --help adds to the usage of the command.
func (routingPutCmd) Help() string {
	return "The table with the highest version is in force. One that is not higher changes nothing, so that a put whose answer was lost can be repeated.\n\nExamples:\n\n  auburnctl routing put -f table.json"
}

// Run validates the table and sends it to the leader.
func (c *routingPutCmd) Run(s *session) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return exitErrorf(CodeUsage, "%w", err)
	}
	var table routing.Table
	if err := json.Unmarshal(document, &table); err != nil {
		return exitErrorf(CodeInvalid, "%s: %w", c.File, err)
	}
	if err := table.Validate(); err != nil {
		return exitErrorf(CodeInvalid, "%s: %w", c.File, err)
	}
	res, callErr := callLeader(s, controlv1connect.ControlClient.PutRouting,
		&controlv1.PutRoutingRequest{Table: &controlv1.RoutingTable{Version: table.Version, Document: document}},
		func(r *controlv1.PutRoutingResponse) (string, bool) {
			return r.GetLeaderAddress(), r.GetLeaderAddress() == ""
		})
	switch {
	case callErr != nil && callErr.mayHaveRun && !callErr.permanent:
		return exitErrorf(CodeOutcomeUnknown, "the response was lost; repeat the command: %w", callErr)
	case callErr != nil:
		return newReadError(callErr)
	case res.GetVersion() > table.Version:
		return exitErrorf(CodeConflict, "version %d is in force, which is higher than %d; nothing was changed", res.GetVersion(), table.Version)
	}
	fmt.Fprintf(s.Stdout, "version %d is in force\n", res.GetVersion())
	return nil
}
