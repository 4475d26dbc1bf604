package settings

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Fields of a declared node.
const (
	fieldPath   = "path"
	fieldKind   = "kind"
	fieldSet    = "set"
	fieldRemove = "remove"
)

var nodeFields = []string{fieldPath, fieldKind, fieldSet, fieldRemove}

func (l *loader) node(n ast.Node) error {
	fields, err := l.fields(n, "a node")
	if err != nil {
		return err
	}
	d := Declaration{Position: Position{l.file, n.GetToken().Position.Line}}
	var set ast.Node
	for _, f := range fields {
		key, _ := scalar(f.Key)
		switch key {
		case fieldPath:
			err = l.path(&d, f)
		case fieldKind:
			err = l.kind(&d, f.Value)
		case fieldRemove:
			err = l.remove(&d, f.Value)
		case fieldSet:
			set = f.Value
		default:
			err = l.failAt(f.Key, "unknown field %q, a node has the fields %s%s", key,
				strings.Join(nodeFields, ", "), suggestion(key, nodeFields))
		}
		if err != nil {
			return err
		}
	}
	if err := l.complete(&d, n, set); err != nil {
		return err
	}
	l.nodes = append(l.nodes, d)
	return nil
}

func (l *loader) path(d *Declaration, f *ast.MappingValueNode) error {
	text, ok := scalar(f.Value)
	if !ok {
		return l.failAt(f.Key, "path must be text such as /services/example")
	}
	if err := CheckPath(text); err != nil {
		return l.failAt(f.Value, "%v", err)
	}
	d.Path = text
	d.Position.Line = f.Key.GetToken().Position.Line
	return nil
}

func (l *loader) kind(d *Declaration, v ast.Node) error {
	text, ok := scalar(v)
	if !ok || !Kind(text).valid() {
		return l.failAt(v, "unknown kind %q, allowed are %s%s", text, kindNames(), suggestion(text, kindList()))
	}
	d.Kind = Kind(text)
	return nil
}

func (l *loader) remove(d *Declaration, v ast.Node) error {
	b, ok := v.(*ast.BoolNode)
	if !ok {
		return l.failAt(v, "remove must be true or false")
	}
	d.Remove = b.Value
	return nil
}

// complete checks what concerns several fields of a node and reads its values.
func (l *loader) complete(d *Declaration, n, set ast.Node) error {
	switch {
	case d.Path == "":
		return l.failAt(n, "a node needs the field path")
	case d.Remove && d.Path == Root:
		return l.failAt(n, "the root cannot be removed")
	case d.Remove && set != nil:
		return l.failAt(set, "node %s is removed, so it cannot have values", d.Path)
	case d.Kind == "" && d.Path == Root:
		d.Kind = Group
	case d.Kind == "" && !d.Remove:
		return l.failAt(n, "node %s needs the field kind: %s", d.Path, kindNames())
	case d.Path == Root && d.Kind != Group:
		return l.failAt(n, "the root is a group")
	}
	if set == nil || set.Type() == ast.NullType {
		return nil
	}
	fields, err := l.fields(set, "set")
	if err != nil {
		return err
	}
	for _, f := range fields {
		if err := l.assignment(d, f); err != nil {
			return err
		}
	}
	slices.SortFunc(d.Set, func(a, b Assignment) int { return compare(a.Key, b.Key) })
	return nil
}

func (l *loader) assignment(d *Declaration, f *ast.MappingValueNode) error {
	name, _ := scalar(f.Key)
	k, ok := registry[name]
	if !ok {
		return l.failAt(f.Key, "unknown key %q%s", name, suggestion(name, keyNames()))
	}
	if !slices.Contains(k.Kinds, d.Kind) {
		return l.failAt(f.Key, "%s may not be set on a %s, only on a %s", name, d.Kind, joinKinds(k.Kinds))
	}
	a := Assignment{Key: k.Name, Position: Position{l.file, f.Key.GetToken().Position.Line}}
	if f.Value.Type() == ast.NullType {
		a.Null = true
		d.Set = append(d.Set, a)
		return nil
	}
	text, err := l.text(k, f.Value)
	if err != nil {
		return err
	}
	if a.Value, err = k.Parse(text); err != nil {
		return l.failAt(f.Value, "%s: %v", name, err)
	}
	d.Set = append(d.Set, a)
	return nil
}

// text returns the text of a value; the items of a list are joined by commas.
func (l *loader) text(k *Key, v ast.Node) (string, error) {
	list, ok := v.(*ast.SequenceNode)
	if !ok || k.Type != TypeNames && k.Type != TypeHashes {
		text, ok := scalar(v)
		if !ok {
			return "", l.failAt(v, "%s must be a plain %s", k.Name, k.Type)
		}
		return text, nil
	}
	items := make([]string, 0, len(list.Values))
	for _, item := range list.Values {
		text, ok := scalar(item)
		if !ok || text == "" || strings.Contains(text, ",") {
			return "", l.failAt(item, "%s: an item must be plain text without a comma", k.Name)
		}
		items = append(items, text)
	}
	return strings.Join(items, ","), nil
}
