package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"auburnstep.example/auburnstep/internal/lint"
	"auburnstep.example/auburnstep/internal/routing"
	"auburnstep.example/auburnstep/internal/settings"
)

// Codes of findings in files and in declarations of settings, beside those of package lint.
const (
	codeSyntax          lint.Code = "syntax"
	codeUnknownField    lint.Code = "unknown-field"
	codeSettingsInvalid lint.Code = "settings-invalid"
)

// checkCmd checks a routing table or declarations of settings before they are sent.
type checkCmd struct {
	File       []string `short:"f" required:"" sep:"none" placeholder:"FILE|DIR" help:"Routing table (.json), or file or directory of declarations. Declarations may be repeated."`
	Prune      bool     `help:"Check declarations as apply --prune sends them."`
	BodyMemory int64    `default:"67108864" placeholder:"BYTES" help:"Memory of an instance for the bodies of all requests together, to compare the limit of a body with. Default: 67108864."`
}

// Help returns the text that --help adds to the usage of the command.
func (checkCmd) Help() string {
	return `Reports errors, because of which the whole table or change would be refused, and warnings: entries that can never match and limits that contradict each other. Each finding has a stable code, a severity, the path of the entry and one sentence. A path in a file that cannot be read as a table or as declarations is FILE or FILE:LINE.

With --server it also prints what differs from the version in force. Without a server nothing is sent, and declarations are checked as the whole of the settings.

The exit code is 0 without findings, 1 with findings, and 2 if the command line is wrong or a file cannot be read. A difference is not a finding.

Examples:

  auburnctl check -f table.json
  auburnctl check -f settings/ -o json
  auburnctl check -f table.json --server 10.0.0.1:7000`
}

// checkOutput is the JSON output of the check command.
type checkOutput struct {
	Findings []lint.Finding `json:"findings"`
	// InForce is the version in force, 0 if there is none or if no server is given.
	InForce uint64   `json:"in_force,omitempty"`
	Diff    []string `json:"diff"`
}

func (o *checkOutput) add(code lint.Code, severity lint.Severity, path, format string, args ...any) {
	o.Findings = append(o.Findings, lint.Finding{Code: code, Severity: severity, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Run checks the files and prints the findings.
func (c *checkCmd) Run(s *session) error {
	out := checkOutput{Findings: []lint.Finding{}, Diff: []string{}}
	var err error
	if len(c.File) == 1 && strings.HasSuffix(c.File[0], ".json") {
		err = c.checkTable(s, c.File[0], &out)
	} else {
		err = c.checkSettings(s, &out)
	}
	if err != nil {
		return err
	}
	lint.Sort(out.Findings)
	if err := out.print(s); err != nil {
		return err
	}
	if n := len(out.Findings); n > 0 {
		return exitErrorf(CodeFailure, "findings: %d", n)
	}
	return nil
}

func (o *checkOutput) print(s *session) error {
	if s.json() {
		return s.printJSON(o)
	}
	if len(o.Findings) > 0 {
		t := newTable(s.Stdout, "SEVERITY", "CODE", "PATH", "FINDING")
		for _, f := range o.Findings {
			t.row(string(f.Severity), string(f.Code), f.Path, f.Message)
		}
		if err := t.flush(); err != nil {
			return err
		}
	}
	if o.InForce > 0 {
		s.printf("differences from version %d, which is in force: %d\n", o.InForce, len(o.Diff))
		printDiff(s, o.Diff)
	}
	return nil
}

func (c *checkCmd) checkTable(s *session, file string, out *checkOutput) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return exitErrorf(CodeUsage, "%w", err)
	}
	var table routing.Table
	if err := json.Unmarshal(document, &table); err != nil {
		out.add(codeSyntax, lint.Error, file, "The file is not a routing table: %v.", err)
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&routing.Table{}); err != nil {
		out.add(codeUnknownField, lint.Warning, file, "The file has a field without a meaning: %v.", err)
	}
	out.Findings = append(out.Findings, lint.Table(&table, lint.Instances{BodyMemory: c.BodyMemory})...)
	if s.client == nil {
		return nil
	}
	inForce, err := s.routingTable()
	if err != nil || inForce == nil {
		return err
	}
	out.InForce = inForce.Version
	changes := lint.Diff(inForce, &table)
	for _, change := range changes {
		out.Diff = append(out.Diff, change.String())
	}
	if len(changes) > 0 && table.Version <= inForce.Version {
		out.add(lint.CodeVersionNotHigher, lint.Warning, "version", "Version %d is not above version %d, which is in force, so that putting the table changes nothing.", table.Version, inForce.Version)
	}
	return nil
}

func (c *checkCmd) checkSettings(s *session, out *checkOutput) error {
	declared, err := settings.Load(c.File...)
	var located *settings.DeclarationError
	var pathErr *fs.PathError
	switch {
	case errors.As(err, &pathErr):
		return exitErrorf(CodeUsage, "%w", err)
	case errors.As(err, &located):
		out.add(codeSyntax, lint.Error, located.Position.String(), "The declaration is wrong: %s.", located.Message)
		return nil
	case err != nil:
		out.add(codeSyntax, lint.Error, strings.Join(c.File, " "), "The declarations are wrong: %s.", err)
		return nil
	}
	tree := settings.New()
	if s.client != nil {
		if out.InForce, tree, err = s.tree(); err != nil {
			return err
		}
	}
	ops := settings.Diff(tree, declared, c.Prune)
	if s.client != nil {
		out.Diff = append(out.Diff, settings.Describe(tree, ops)...)
	}
	next, err := tree.Apply(ops)
	var invalid *settings.InvalidError
	switch {
	case errors.As(err, &invalid):
		for _, p := range invalid.Problems {
			out.add(codeSettingsInvalid, lint.Error, p.Path, "%s.", strings.TrimSpace(p.Key+" "+p.Message))
		}
		return nil
	case err != nil:
		out.add(codeSettingsInvalid, lint.Error, settings.Root, "The settings are invalid: %s.", err)
		return nil
	}
	for n := range next.Nodes {
		if n.Kind() != settings.Customer {
			continue
		}
		if _, _, ok := next.Lookup(n.Path(), settings.KeyHashes); !ok {
			out.add(lint.CodeCustomerWithoutKeys, lint.Warning, n.Path(), "The customer has no key, so that no request can be its own.")
		}
	}
	return nil
}
