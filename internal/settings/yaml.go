package settings

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// unquotedText matches texts that the loader reads unchanged if they are not
// quoted in YAML, except for reservedWords.
var unquotedText = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]*$`)

// reservedWords are words that YAML parsers read as null or as a boolean unless
// they are quoted.
var reservedWords = map[string]bool{"null": true, "true": true, "false": true, "yes": true, "no": true, "on": true,
	"off": true, "y": true, "n": true}

// YAML returns declarations of the whole tree. Applying them with prune gives the
// same tree. Values that this version does not know are written as comments.
func (t *Tree) YAML() []byte {
	var b bytes.Buffer
	const header = "nodes:\n"
	b.WriteString(header)
	for path, n := range t.nodes.from("") {
		if path == Root && len(n.settings) == 0 {
			continue
		}
		fmt.Fprintf(&b, "  - path: %s\n    kind: %s\n", path, n.kind)
		indent := "    set:\n"
		for _, s := range n.settings {
			if s.Value.typ == 0 {
				fmt.Fprintf(&b, "    # not known to this version: %q\n", s.Key+": "+s.Value.text)
				continue
			}
			fmt.Fprintf(&b, "%s      %s: %s\n", indent, s.Key, yamlText(s.Value))
			indent = ""
		}
	}
	if b.Len() == len(header) {
		return []byte("nodes: []\n")
	}
	return b.Bytes()
}

func yamlText(v Value) string {
	switch v.typ {
	case TypeName:
		return quoteText(v.text)
	case TypeNames, TypeHashes:
		items := v.List()
		for i, item := range items {
			items[i] = quoteText(item)
		}
		return "[" + strings.Join(items, ", ") + "]"
	default:
		return v.text
	}
}

func quoteText(s string) string {
	if unquotedText.MatchString(s) && !reservedWords[s] {
		return s
	}
	return strconv.Quote(s)
}
