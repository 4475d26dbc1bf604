package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Settings

This page is generated from the key registry by
` + "`go test ./internal/settings -run TestSettingsPage -update`" + `.

Settings form a tree of nodes. A value set on a node applies to all nodes below it unless a lower node overrides it.
A group holds other nodes. Callers send requests to a service. A class directly below a service is a request class. A
customer holds the hashes of its bearer keys and its limits. A class directly below a customer overrides values of the
service's class with the same name for the requests of that customer: a value is looked up on the customer's class,
then on the class of the service, then on the nodes above that class. Keys of a customer are looked up on the customer
and then on the nodes above it.

The names of services are unique in the whole tree, and so are the names of customers, because requests, records and
metrics refer to them by name. A customer can therefore move between groups and keep its records.

Declarations are YAML documents with a list ` + "`nodes`" + ` of ` + "`{path, kind, set, remove}`" + `. A value of ` +
	"`null`" + ` removes an override.
Durations need a unit (` + "`us`, `ms`, `s`, `m`, `h`" + `), and so do sizes (` + "`B`, `KiB`, `MiB`, `GiB`, `kB`, `MB`, `GB`" +
	`);
a ratio is a number or a percentage. To remove a node, declare it with ` + "`remove: true`" + `; the nodes below it must be
removed earlier or in the same change.

`

// Markdown returns the content of docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, kind := range []Kind{Class, Service, Customer} {
		fmt.Fprintf(&b, "## Keys of a %s\n\n", kind)
		b.WriteString("| key | type | allowed | default | may be set on | meaning |\n|---|---|---|---|---|---|\n")
		for _, k := range Keys() {
			if k.Scope == kind {
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
