package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Settings

This page is generated from the key registry by
` + "`go test ./internal/settings -run TestSettingsPage -update`" + `.

Settings form a tree of nodes. A value set on a node applies to all nodes below it unless a lower node overrides it.
A group holds other nodes; a service is what callers ask for; a class directly below a service is a request class; a
customer holds the hashes of its keys and its limits. A class directly below a customer overrides the values of the
class of that name for the requests of that customer: the value is looked up on the customer's class, then on the class
of the service, then on the nodes above it. Customer keys are looked up from the customer upwards.

Names of services and of customers are unique in the whole tree, because requests, records and metrics refer to them
by name. A customer can therefore move between groups and keep its records.

Declarations are YAML documents with a list ` + "`nodes`" + ` of ` + "`{path, kind, set, remove}`" + `. A value of ` +
	"`null`" + ` removes an override.
Durations need a unit (` + "`us`, `ms`, `s`, `m`, `h`" + `), sizes too (` + "`B`, `KiB`, `MiB`, `GiB`, `kB`, `MB`, `GB`" +
	`); a ratio is a number
or a percentage. A node is removed with ` + "`remove: true`" + `, after or together with the nodes below it.

`

// Markdown returns docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, scope := range []Kind{Class, Service, Customer} {
		fmt.Fprintf(&b, "## Keys of a %s\n\n", scope)
		b.WriteString("| key | type | allowed | default | may be set on | meaning |\n|---|---|---|---|---|---|\n")
		for _, k := range Keys() {
			if k.Scope == scope {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n",
					k.Name, k.Type, k.allowedText(), k.defaultText(), joinKinds(k.Kinds), k.Doc)
			}
		}
		b.WriteString("\n")
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

func (k *Key) allowedText() string {
	switch {
	case k.Min != "":
		return k.min.text + " to " + k.max.text
	case len(k.Allowed) > 0:
		return strings.Join(k.Allowed, ", ")
	case k.MaxItems > 0:
		return fmt.Sprintf("up to %d", k.MaxItems)
	case k.Type == TypeBool:
		return "true, false"
	default:
		return "any"
	}
}

func (k *Key) defaultText() string {
	if !k.HasDefault {
		return "none"
	}
	return "`" + k.def.text + "`"
}
