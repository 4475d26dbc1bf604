package cli

import (
	"slices"
	"strings"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/rpc/eventsv1"
)

// status returns the status of the leader, since only the leader lists the live
// entries. A response that marks a member as the leader but has no leader address is
// returned as well, since there is no address to follow.
func (s *session) status() (*controlv1.StatusResponse, *callError) {
	return callLeader(s, controlv1connect.ControlClient.Status, &controlv1.StatusRequest{},
		func(r *controlv1.StatusResponse) (string, bool) {
			return r.GetLeaderAddress(), len(r.GetEntries()) > 0 || r.GetLeaderAddress() == "" && hasLeader(r)
		})
}

func hasLeader(r *controlv1.StatusResponse) bool {
	return slices.ContainsFunc(r.GetMembers(), func(m *controlv1.MemberStatus) bool { return m.GetLeader() })
}

type statusCmd struct{}

// Help returns the text that --help adds to the usage of the command.
func (statusCmd) Help() string {
	return "Examples:\n\n  auburnctl status\n  auburnctl status -o json"
}

// Run prints members, entries and groups.
func (c *statusCmd) Run(s *session) error {
	status, callErr := s.status()
	if callErr != nil {
		return newReadError(callErr)
	}
	if s.json() {
		return s.printMessage(status)
	}
	s.printf("leader %s, term %d, commit %d, applied %d, settings version %d\n\n", status.GetLeaderAddress(), status.GetTerm(),
		status.GetCommit(), status.GetApplied(), status.GetSettingsVersion())
	if err := printMembers(s, status); err != nil {
		return err
	}
	s.printf("\n")
	t := newTable(s.Stdout, "ENTRY", "ADDRESS", "FAILURE DOMAIN", "SETTINGS", "STATE")
	for _, e := range status.GetEntries() {
		state := "serving"
		if e.GetDraining() {
			state = "draining"
		}
		t.row(e.GetInstance(), e.GetAddress(), e.GetFailureDomain(), formatInt(e.GetSettingsVersion()), state)
	}
	if err := t.flush(); err != nil {
		return err
	}
	s.printf("\n")
	return printGroups(s, status)
}

func printMembers(s *session, status *controlv1.StatusResponse) error {
	t := newTable(s.Stdout, "MEMBER", "INSTANCE", "ADDRESS", "ROLE", "MATCH")
	for _, m := range status.GetMembers() {
		role := "learner"
		if m.GetLeader() {
			role = "leader"
		} else if m.GetVoter() {
			role = "voter"
		}
		t.row(formatInt(m.GetId()), m.GetInstance(), m.GetAddress(), role, formatInt(m.GetMatch()))
	}
	return t.flush()
}

func printGroups(s *session, status *controlv1.StatusResponse) error {
	reports := make(map[string]*controlv1.GroupReport, len(status.GetGroups()))
	for _, g := range status.GetGroups() {
		reports[g.GetGroup()] = g
	}
	t := newTable(s.Stdout, "GROUP", "HOLDER", "EPOCH", "ENDPOINTS", "IN FLIGHT", "SLOTS", "WAITING")
	for _, a := range status.GetAssignments() {
		r := reports[a.GetGroup()]
		t.row(a.GetGroup(), a.GetInstance(), formatInt(a.GetEpoch()), formatInt(r.GetEndpoints()), formatInt(r.GetInFlight()),
			formatInt(r.GetSlots()), formatInt(r.GetWaiting()))
	}
	return t.flush()
}

type memberCmd struct {
	List   memberListCmd   `cmd:"" help:"Show the control members."`
	Add    memberAddCmd    `cmd:"" help:"Add a member; it learns first and votes once it has caught up."`
	Remove memberRemoveCmd `cmd:"" help:"Remove a member."`
}

type memberListCmd struct{}

// Run prints the members.
func (c *memberListCmd) Run(s *session) error {
	status, callErr := s.status()
	if callErr != nil {
		return newReadError(callErr)
	}
	if s.json() {
		return s.printMessage(&controlv1.StatusResponse{Members: status.GetMembers()})
	}
	return printMembers(s, status)
}

type memberAddCmd struct {
	ID       uint64 `arg:"" help:"ID of the member, as its log prints it at the first start."`
	Address  string `arg:"" help:"HOST:PORT of the member."`
	Instance string `help:"Name of its instance."`
}

// Help returns the text that --help adds to the usage of the command.
func (memberAddCmd) Help() string {
	return "Example:\n\n  auburnctl member add 7215309 10.1.3.4:7700 --instance nord-c-1"
}

// Run adds a member.
func (c *memberAddCmd) Run(s *session) error {
	return s.changeMember(&controlv1.MemberRequest{Id: c.ID, Address: c.Address, Instance: c.Instance})
}

type memberRemoveCmd struct {
	ID uint64 `arg:"" help:"ID of the member."`
}

// Help returns the text that --help adds to the usage of the command.
func (memberRemoveCmd) Help() string { return "Example:\n\n  auburnctl member remove 7215309" }

// Run removes a member.
func (c *memberRemoveCmd) Run(s *session) error {
	return s.changeMember(&controlv1.MemberRequest{Id: c.ID, Remove: true})
}

// changeMember adds or removes a control member and prints the response.
func (s *session) changeMember(req *controlv1.MemberRequest) error {
	// The leader responds when the change is committed, which may take an election.
	s.callTimeout = s.Timeout
	res, callErr := callLeader(s, controlv1connect.ControlClient.Member, req,
		func(r *controlv1.MemberResponse) (string, bool) { return r.GetLeaderAddress(), r.GetMessage() != "" })
	switch {
	case callErr == nil:
	case callErr.mayHaveRun:
		return exitErrorf(CodeOutcomeUnknown, "the member change may have been applied: %w; check with: auburnctl member list", callErr)
	default:
		return newReadError(callErr)
	}
	if s.json() {
		return s.printMessage(res)
	}
	s.printf("%s\n", res.GetMessage())
	return nil
}

type drainCmd struct {
	Instance string `arg:"" help:"Name of the instance, or its HOST:PORT."`
}

// Help returns the text that --help adds to the usage of the command.
func (drainCmd) Help() string {
	return "The instance leaves the entry list, so that callers go elsewhere, and finishes what it serves.\n\nExample:\n\n  auburnctl drain nord-a-1"
}

// Run drains an instance.
func (c *drainCmd) Run(s *session) error {
	address := c.Instance
	if !strings.Contains(address, ":") {
		var err error
		if address, err = s.peerAddress(c.Instance); err != nil {
			return err
		}
	}
	ctx, cancel := s.callContext()
	defer cancel()
	res, err := s.client.instance(address).Drain(ctx, connect.NewRequest(&eventsv1.DrainRequest{}))
	if err != nil {
		code := CodeUnreachable
		if isRefusal(err) {
			code = CodeFailure
		}
		return exitErrorf(code, "drain %s: %w; a drain can be repeated safely", c.Instance, conciseError(err))
	}
	if s.json() {
		return s.printMessage(res.Msg)
	}
	s.printf("%s is draining, %d requests in flight\n", c.Instance, res.Msg.GetInFlight())
	return nil
}

// peerAddress returns the address at which other instances and auburnctl reach a live
// entry.
func (s *session) peerAddress(instance string) (string, error) {
	status, callErr := s.status()
	if callErr != nil {
		return "", newReadError(callErr)
	}
	names := make([]string, 0, len(status.GetEntries()))
	for _, e := range status.GetEntries() {
		if e.GetInstance() == instance {
			return e.GetPeerAddress(), nil
		}
		names = append(names, e.GetInstance())
	}
	return "", exitErrorf(CodeNotFound, "there is no live entry %s; live entries: %s", instance, strings.Join(names, ", "))
}
