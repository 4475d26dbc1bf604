package cli

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

const pageHeader = `# auburnctl

This page is generated from the command line by ` + "`go test ./internal/cli -run TestCommandPage -update`" + `.

The servers are instances of auburnstep. They are tried in turn, and a call follows the leader's address. Calls are
repeated until ` + "`--timeout`" + ` ends; a command gives up at once where no server accepts a connection or a server refuses
the call. Errors are one line on stderr.

` + "`apply`" + ` reads the present settings, sends the difference with their version and draws a change id. A lost answer is
asked for again under the same id, under which a change takes effect at most once. With ` + "`--wait`" + ` the command returns once
every live entry has the new version; an entry that loses contact counts as live for 3 s, after which it refuses
requests by itself.

A difference above ` + "`--change-bytes`" + ` (4 MiB) is sent as several changes. Such a load is not one atomic change: each change is
valid by itself and comes into force by itself, and if the command ends early (exit code 10) those accepted so far
stay in force. Running ` + "`apply`" + ` again sends what is left. Bring a large first load in before callers are admitted, and raise
` + "`--timeout`" + ` for it.

## Exit codes

| code | meaning |
|---|---|
`

// Markdown returns the text of docs/auburnctl.md: the exit codes and the help of every
// command.
func Markdown() (string, error) {
	var b strings.Builder
	b.WriteString(pageHeader)
	for code, text := range exitCodeTexts {
		fmt.Fprintf(&b, "| %d | %s |\n", code, text)
	}
	var g grammar
	parser, err := newParser(&g, Env{Stdout: io.Discard, Stderr: io.Discard})
	if err != nil {
		return "", err
	}
	for _, leaf := range parser.Model.Leaves(true) {
		help, err := commandHelp(strings.Fields(leaf.Path()))
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n```\n%s```\n", "auburnctl "+leaf.Path(), help)
	}
	return b.String(), nil
}

// commandHelp returns the text that --help prints for a command. The placeholders of
// arguments in the command path are left out.
func commandHelp(command []string) (string, error) {
	var out bytes.Buffer
	args := make([]string, 0, len(command)+1)
	for _, word := range command {
		if !strings.HasPrefix(word, "<") && !strings.HasPrefix(word, "[") {
			args = append(args, word)
		}
	}
	err := run(append(args, "--help"), Env{Stdout: &out, Stderr: io.Discard})
	return out.String(), err
}
