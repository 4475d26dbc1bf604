package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Position is a place in a file of declarations.
type Position struct {
	File string
	Line int
}

// String returns the position as "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// DeclarationError is a fault of a declaration.
type DeclarationError struct {
	Position Position
	Message  string
}

// Error returns the error as "file:line: message".
func (e *DeclarationError) Error() string { return e.Position.String() + ": " + e.Message }

// Declarations is what files declare, by path.
type Declarations struct {
	Nodes []Declaration
}

// Declaration is what a file declares of one node.
type Declaration struct {
	Path string
	// Kind is empty only where Remove is set.
	Kind     Kind
	Remove   bool
	Set      []Assignment // by key
	Position Position
}

// Assignment sets a key or, where Null is set, removes its override.
type Assignment struct {
	Key      string
	Value    Value
	Null     bool
	Position Position
}

// extensions of the files that are read from a directory.
var extensions = []string{".yaml", ".yml"}

// maxFile bounds the size of one file. 33,000 customers with a key and two
// limits each take 6.7 MB.
const maxFile = 64 << 20

// Load reads declarations from files and from the .yaml and .yml files of
// directories, in the order of their names and without hidden ones. A node may be declared once.
func Load(paths ...string) (Declarations, error) {
	var l loader
	for _, path := range paths {
		files, err := filesOf(path)
		if err != nil {
			return Declarations{}, err
		}
		for _, file := range files {
			data, err := readFile(file)
			if err != nil {
				return Declarations{}, err
			}
			if err := l.parse(file, data); err != nil {
				return Declarations{}, err
			}
		}
	}
	return l.result()
}

// Parse reads declarations from the content of one file.
func Parse(file string, data []byte) (Declarations, error) {
	var l loader
	if err := l.parse(file, data); err != nil {
		return Declarations{}, err
	}
	return l.result()
}

func filesOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, e fs.DirEntry, err error) error {
		if err == nil && p != path && strings.HasPrefix(e.Name(), ".") {
			// Version control and editors keep hidden files of their own.
			if e.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		if err == nil && !e.IsDir() && slices.Contains(extensions, filepath.Ext(p)) {
			files = append(files, p)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: the directory has no file that ends in %s", path, strings.Join(extensions, " or "))
	}
	slices.Sort(files)
	return files, err
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("%s: the file has %d bytes, %d are allowed", file, info.Size(), maxFile)
	}
	return os.ReadFile(file)
}

type loader struct {
	file  string
	nodes []Declaration
}

func (l *loader) result() (Declarations, error) {
	slices.SortStableFunc(l.nodes, func(a, b Declaration) int { return compare(a.Path, b.Path) })
	for i := 1; i < len(l.nodes); i++ {
		if a, b := l.nodes[i-1], l.nodes[i]; a.Path == b.Path {
			return Declarations{}, &DeclarationError{b.Position, fmt.Sprintf("node %s is declared already at %s", b.Path, a.Position)}
		}
	}
	return Declarations{Nodes: l.nodes}, nil
}

func (l *loader) fail(tk *token.Token, format string, args ...any) error {
	line := 1
	if tk != nil && tk.Position != nil {
		line = tk.Position.Line
	}
	return &DeclarationError{Position{l.file, line}, fmt.Sprintf(format, args...)}
}

func (l *loader) failAt(n ast.Node, format string, args ...any) error {
	return l.fail(n.GetToken(), format, args...)
}

func (l *loader) parse(file string, data []byte) error {
	l.file = file
	parsed, err := l.parseYAML(data)
	if err != nil {
		return err
	}
	for _, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		if err := l.document(doc.Body); err != nil {
			return err
		}
	}
	return nil
}

// parseYAML turns a panic of the parser into an error, since files may hold anything.
func (l *loader) parseYAML(data []byte) (f *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			f, err = nil, l.fail(nil, "the file is not valid YAML")
		}
	}()
	f, err = parser.ParseBytes(data, 0)
	var located interface {
		GetToken() *token.Token
		GetMessage() string
	}
	if errors.As(err, &located) {
		return nil, l.fail(located.GetToken(), "%s", located.GetMessage())
	}
	if err != nil {
		return nil, l.fail(nil, "%s", strings.SplitN(err.Error(), "\n", 2)[0])
	}
	return f, nil
}

// fields returns the members of a mapping, each with a plain text as its key.
func (l *loader) fields(n ast.Node, what string) ([]*ast.MappingValueNode, error) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		return nil, l.failAt(n, "%s must be a mapping", what)
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		key, ok := scalar(v.Key)
		if !ok {
			return nil, l.failAt(v.Key, "%s: a key must be plain text", what)
		}
		if seen[key] {
			return nil, l.failAt(v.Key, "%s: %q is given twice", what, key)
		}
		seen[key] = true
	}
	return values, nil
}

func (l *loader) items(n ast.Node, what string) ([]ast.Node, error) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		return nil, l.failAt(n, "%s must be a list", what)
	}
	return s.Values, nil
}

// scalar returns the text of a plain value. Anchors, aliases and tags are not
// accepted, since the tree has inheritance of its own.
func scalar(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func (l *loader) document(body ast.Node) error {
	fields, err := l.fields(body, "the document")
	if err != nil {
		return err
	}
	for _, f := range fields {
		key, _ := scalar(f.Key)
		if key != "nodes" {
			return l.failAt(f.Key, "unknown field %q, a document has the field nodes%s", key, suggestion(key, []string{"nodes"}))
		}
		items, err := l.items(f.Value, "nodes")
		if err != nil {
			return err
		}
		for _, item := range items {
			if err := l.node(item); err != nil {
				return err
			}
		}
	}
	return nil
}
