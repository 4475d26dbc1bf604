package cli

import (
	"strings"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/settings"
)

// settings returns the current settings of the leader.
func (s *session) settings() (*controlv1.Settings, error) {
	res, callErr := callLeader(s, controlv1connect.ControlClient.Settings, &controlv1.SettingsRequest{},
		func(r *controlv1.SettingsResponse) (string, bool) {
			return r.GetLeaderAddress(), r.GetSettings() != nil
		})
	if callErr != nil {
		return nil, newReadError(callErr)
	}
	return res.GetSettings(), nil
}

// tree returns the current settings of the leader as a tree, with their version.
func (s *session) tree() (uint64, *settings.Tree, error) {
	current, err := s.settings()
	if err != nil {
		return 0, nil, err
	}
	tree, err := settings.FromProto(current)
	return current.GetVersion(), tree, err
}

type getCmd struct {
	Path string `arg:"" optional:"" default:"/" help:"Path of the node to start from."`
}

// Help returns the text that --help adds to the usage of the command.
func (getCmd) Help() string {
	return "Shows the node and all nodes below it, with the values that are set on them.\n\nExamples:\n\n  auburnctl get\n  auburnctl get /customers/parishes -o json"
}

type nodeOutput struct {
	Path string            `json:"path"`
	Kind string            `json:"kind"`
	Set  map[string]string `json:"set"`
}

// Run prints the node and its descendants with the values set on them.
func (c *getCmd) Run(s *session) error {
	_, tree, err := s.tree()
	if err != nil {
		return err
	}
	if _, ok := tree.Node(c.Path); !ok {
		return exitErrorf(CodeNotFound, "there is no node %s; auburnctl get lists all", c.Path)
	}
	prefix := strings.TrimSuffix(c.Path, "/") + "/"
	nodes := []nodeOutput{}
	t := newTable(s.Stdout, "PATH", "KIND", "KEY", "VALUE")
	for n := range tree.Nodes {
		if n.Path() != c.Path && !strings.HasPrefix(n.Path(), prefix) {
			continue
		}
		out := nodeOutput{Path: n.Path(), Kind: string(n.Kind()), Set: map[string]string{}}
		for _, v := range n.Settings() {
			out.Set[v.Key] = v.Value.String()
			t.row(n.Path(), string(n.Kind()), v.Key, v.Value.String())
		}
		if len(out.Set) == 0 {
			t.row(n.Path(), string(n.Kind()), "", "")
		}
		nodes = append(nodes, out)
	}
	if s.json() {
		return s.printJSON(nodes)
	}
	return t.flush()
}

type explainCmd struct {
	Node string `arg:"" help:"Path of the node."`
}

// Help returns the text that --help adds to the usage of the command.
func (explainCmd) Help() string {
	return "Shows each effective value with the node it comes from.\n\nExamples:\n\n  auburnctl explain /services/auburn-pool/schedule\n  auburnctl explain /customers/parishes/torino"
}

type effectiveOutput struct {
	Service string `json:"service,omitempty"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  string `json:"origin"`
}

// Run prints the effective values and their origins.
func (c *explainCmd) Run(s *session) error {
	_, tree, err := s.tree()
	if err != nil {
		return err
	}
	effective, err := tree.Explain(c.Node)
	if err != nil {
		return exitErrorf(CodeNotFound, "there is no node %s; auburnctl get lists all", c.Node)
	}
	if s.json() {
		out := make([]effectiveOutput, 0, len(effective))
		for _, e := range effective {
			out = append(out, effectiveOutput{e.Service, e.Key, e.Value.String(), e.Origin})
		}
		return s.printJSON(out)
	}
	return printEffective(s, effective)
}

func printEffective(s *session, effective []settings.Effective) error {
	head := []string{"KEY", "VALUE", "ORIGIN"}
	perService := len(effective) > 0 && effective[0].Service != ""
	if perService {
		head = append([]string{"SERVICE"}, head...)
	}
	t := newTable(s.Stdout, head...)
	for _, e := range effective {
		row := []string{e.Key, e.Value.String(), e.Origin}
		if perService {
			row = append([]string{e.Service}, row...)
		}
		t.row(row...)
	}
	return t.flush()
}

type exportCmd struct{}

// Help returns the text that --help adds to the usage of the command.
func (exportCmd) Help() string {
	return "Prints declarations in YAML that give the same tree when they are applied with --prune; with -o json the stored form.\n\nExample:\n\n  auburnctl export > settings.yaml"
}

// Run prints all settings as declarations, or in the stored form with JSON output.
func (c *exportCmd) Run(s *session) error {
	current, err := s.settings()
	if err != nil {
		return err
	}
	if s.json() {
		return s.printMessage(current)
	}
	tree, err := settings.FromProto(current)
	if err != nil {
		return err
	}
	s.printf("# Settings at version %d.\n%s", current.GetVersion(), tree.YAML())
	return nil
}

type resultCmd struct {
	ChangeID string `arg:"" name:"change-id" help:"Identity of the change, as printed by apply."`
}

// Help returns the text that --help adds to the usage of the command.
func (resultCmd) Help() string {
	return "The results of the last 10,000 changes are kept.\n\nExample:\n\n  auburnctl result 5b0c8f6e-6f0e-4a86-9a5e-0d6f3c2b1a90"
}

// Run prints the outcome of a change.
func (c *resultCmd) Run(s *session) error {
	res, callErr := callLeader(s, controlv1connect.ControlClient.Result, &controlv1.ResultRequest{ChangeId: c.ChangeID}, changeRedirect)
	if callErr != nil && callErr.code != connect.CodeNotFound {
		return newReadError(callErr)
	}
	result := res.GetResult()
	if callErr != nil {
		return exitErrorf(CodeNotFound, "change %s is not among the last 10,000 results; a change sent within the last seconds may still be accepted", c.ChangeID)
	}
	out := applyOutput{ChangeID: c.ChangeID, Outcome: strings.ToLower(result.GetOutcome().String()), Version: result.GetVersion(),
		Conflicts: conflictOutputs(result.GetConflicts())}
	if s.json() {
		return s.printJSON(out)
	}
	s.printf("%s: version %d, change %s\n", out.Outcome, out.Version, out.ChangeID)
	if result.GetMessage() != "" {
		s.printf("%s\n", result.GetMessage())
	}
	return nil
}
