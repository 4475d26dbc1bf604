package settings

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Fields of a node in a declaration file.
const (
	fieldPath   = "path"
	fieldKind   = "kind"
	fieldSet    = "set"
	fieldRemove = "remove"
)

var nodeFields = []string{fieldPath, fieldKind, fieldSet, fieldRemove}

func (l *loader) parseNode(n ast.Node) error {
	fields, err := l.fields(n, "a node")
	if err != nil {
		return err
	}
	d := Declaration{Position: Position{l.file, n.GetToken().Position.Line}}
	var set ast.Node
	for _, f := range fields {
		key, _ := scalarText(f.Key)
		switch key {
		case fieldPath:
			err = l.parsePath(&d, f)
		case fieldKind:
			err = l.parseKind(&d, f.Value)
		case fieldRemove:
			err = l.parseRemove(&d, f.Value)
		case fieldSet:
			set = f.Value
		default:
			err = l.errorAt(f.Key, "unknown field %q, a node has the fields %s%s", key,
				strings.Join(nodeFields, ", "), suggestion(key, nodeFields))
		}
		if err != nil {
			return err
		}
	}
	if err := l.finishNode(&d, n, set); err != nil {
		return err
	}
	l.nodes = append(l.nodes, d)
	return nil
}

func (l *loader) parsePath(d *Declaration, f *ast.MappingValueNode) error {
	text, ok := scalarText(f.Value)
	if !ok {
		return l.errorAt(f.Key, "path must be text such as /services/example")
	}
	if err := CheckPath(text); err != nil {
		return l.errorAt(f.Value, "%v", err)
	}
	d.Path = text
	d.Position.Line = f.Key.GetToken().Position.Line
	return nil
}

func (l *loader) parseKind(d *Declaration, v ast.Node) error {
	text, ok := scalarText(v)
	if !ok || !Kind(text).valid() {
		return l.errorAt(v, "unknown kind %q, allowed are %s%s", text, kindNames(), suggestion(text, kindList()))
	}
	d.Kind = Kind(text)
	return nil
}

func (l *loader) parseRemove(d *Declaration, v ast.Node) error {
	b, ok := v.(*ast.BoolNode)
	if !ok {
		return l.errorAt(v, "remove must be true or false")
	}
	d.Remove = b.Value
	return nil
}

// finishNode checks the fields of a node against each other, sets the default
// kind of the root and reads the values in set, which may be nil.
func (l *loader) finishNode(d *Declaration, n, set ast.Node) error {
	switch {
	case d.Path == "":
		return l.errorAt(n, "a node needs the field path")
	case d.Remove && d.Path == Root:
		return l.errorAt(n, "the root cannot be removed")
	case d.Remove && set != nil:
		return l.errorAt(set, "node %s is removed, so it cannot have values", d.Path)
	case d.Kind == "" && d.Path == Root:
		d.Kind = Group
	case d.Kind == "" && !d.Remove:
		return l.errorAt(n, "node %s needs the field kind: %s", d.Path, kindNames())
	case d.Path == Root && d.Kind != Group:
		return l.errorAt(n, "the root is a group")
	}
	if set == nil || set.Type() == ast.NullType {
		return nil
	}
	fields, err := l.fields(set, "set")
	if err != nil {
		return err
	}
	for _, f := range fields {
		if err := l.parseAssignment(d, f); err != nil {
			return err
		}
	}
	slices.SortFunc(d.Set, func(a, b Assignment) int { return compare(a.Key, b.Key) })
	return nil
}

func (l *loader) parseAssignment(d *Declaration, f *ast.MappingValueNode) error {
	name, _ := scalarText(f.Key)
	k, ok := registry[name]
	if !ok {
		return l.errorAt(f.Key, "unknown key %q%s", name, suggestion(name, keyNames()))
	}
	if !slices.Contains(k.Kinds, d.Kind) {
		return l.errorAt(f.Key, "%s may not be set on a %s, only on a %s", name, d.Kind, joinKinds(k.Kinds))
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
		return l.errorAt(f.Value, "%s: %v", name, err)
	}
	d.Set = append(d.Set, a)
	return nil
}

// text returns the text of a value of key k, with the items of a list joined
// by commas.
func (l *loader) text(k *Key, v ast.Node) (string, error) {
	list, ok := v.(*ast.SequenceNode)
	if !ok || k.Type != TypeNames && k.Type != TypeHashes {
		text, ok := scalarText(v)
		if !ok {
			return "", l.errorAt(v, "%s must be a plain %s", k.Name, k.Type)
		}
		return text, nil
	}
	items := make([]string, 0, len(list.Values))
	for _, item := range list.Values {
		text, ok := scalarText(item)
		if !ok || text == "" || strings.Contains(text, ",") {
			return "", l.errorAt(item, "%s: an item must be plain text without a comma", k.Name)
		}
		items = append(items, text)
	}
	return strings.Join(items, ","), nil
}
