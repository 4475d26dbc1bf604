package settings

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// plainText matches the texts that need no quotes in YAML.
var plainText = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]*$`)

// reserved are the texts that YAML readers take for something else than text.
var reserved = map[string]bool{"null": true, "true": true, "false": true, "yes": true, "no": true, "on": true,
	"off": true, "y": true, "n": true}

// YAML returns declarations of the whole tree. Applied with prune they give the
// same tree. Keys that this version does not know are left out as comments.
func (t *Tree) YAML() []byte {
	var b bytes.Buffer
	const head = "nodes:\n"
	b.WriteString(head)
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
	if b.Len() == len(head) {
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
	if plainText.MatchString(s) && !reserved[s] {
		return s
	}
	return strconv.Quote(s)
}
