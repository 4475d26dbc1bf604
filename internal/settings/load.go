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

// Position is a line in a file of declarations.
type Position struct {
	File string
	Line int
}

// String returns the position as "file:line".
func (p Position) String() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// DeclarationError is an error in a declaration.
type DeclarationError struct {
	Position Position
	Message  string
}

// Error returns the error as "file:line: message".
func (e *DeclarationError) Error() string { return e.Position.String() + ": " + e.Message }

// Declarations holds the contents of declaration files.
type Declarations struct {
	Nodes []Declaration // sorted by path, each path once
}

// Declaration is the declared state of one node.
type Declaration struct {
	Path string
	// Kind may be empty only if Remove is set.
	Kind     Kind
	Remove   bool
	Set      []Assignment // sorted by key
	Position Position
}

// Assignment sets a key of a node or, if Null is set, removes the value of the
// key from the node.
type Assignment struct {
	Key      string
	Value    Value
	Null     bool
	Position Position
}

// fileExtensions are the extensions of the files that are read from a directory.
var fileExtensions = []string{".yaml", ".yml"}

// maxFileBytes is the maximum size of one file. For comparison, 33,000 customers
// with one key hash and two limits each take 6.7 MB.
const maxFileBytes = 64 << 20

// Load reads declarations from files and directories. From a directory and its
// subdirectories it reads the .yaml and .yml files in the order of their names
// and skips hidden files and directories. A node may be declared only once.
func Load(paths ...string) (Declarations, error) {
	var l loader
	for _, path := range paths {
		files, err := listFiles(path)
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
	return l.declarations()
}

// Parse reads declarations from the content of one file.
func Parse(file string, data []byte) (Declarations, error) {
	var l loader
	if err := l.parse(file, data); err != nil {
		return Declarations{}, err
	}
	return l.declarations()
}

// listFiles returns the path itself if it is a file, or else the declaration
// files in the directory.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && file != path && strings.HasPrefix(entry.Name(), ".") {
			// Skip the hidden files and directories of version control and editors.
			if entry.IsDir() {
				return fs.SkipDir
			}
			return nil
		}
		if err == nil && !entry.IsDir() && slices.Contains(fileExtensions, filepath.Ext(file)) {
			files = append(files, file)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: the directory has no file that ends in %s", path, strings.Join(fileExtensions, " or "))
	}
	slices.Sort(files)
	return files, err
}

func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: the file size of %d bytes exceeds the limit of %d bytes", file, info.Size(), maxFileBytes)
	}
	return os.ReadFile(file)
}

// loader collects the nodes of all files. file is the name of the file that is
// being read.
type loader struct {
	file  string
	nodes []Declaration
}

// declarations returns the collected nodes, or an error if a node is declared
// twice.
func (l *loader) declarations() (Declarations, error) {
	slices.SortStableFunc(l.nodes, func(a, b Declaration) int { return compare(a.Path, b.Path) })
	for i := 1; i < len(l.nodes); i++ {
		if a, b := l.nodes[i-1], l.nodes[i]; a.Path == b.Path {
			return Declarations{}, &DeclarationError{b.Position, fmt.Sprintf("node %s is already declared at %s", b.Path, a.Position)}
		}
	}
	return Declarations{Nodes: l.nodes}, nil
}

// errorAtToken returns an error at the line of tok, or at line 1 if the line is
// unknown.
func (l *loader) errorAtToken(tok *token.Token, format string, args ...any) error {
	line := 1
	if tok != nil && tok.Position != nil {
		line = tok.Position.Line
	}
	return &DeclarationError{Position{l.file, line}, fmt.Sprintf(format, args...)}
}

func (l *loader) errorAt(n ast.Node, format string, args ...any) error {
	return l.errorAtToken(n.GetToken(), format, args...)
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
		if err := l.parseDocument(doc.Body); err != nil {
			return err
		}
	}
	return nil
}

// parseYAML returns the syntax tree of a file. It turns a panic of the YAML parser
// into an error, because the content of files is untrusted.
func (l *loader) parseYAML(data []byte) (f *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			f, err = nil, l.errorAtToken(nil, "the file is not valid YAML")
		}
	}()
	f, err = parser.ParseBytes(data, 0)
	var located interface {
		GetToken() *token.Token
		GetMessage() string
	}
	if errors.As(err, &located) {
		return nil, l.errorAtToken(located.GetToken(), "%s", located.GetMessage())
	}
	if err != nil {
		return nil, l.errorAtToken(nil, "%s", strings.SplitN(err.Error(), "\n", 2)[0])
	}
	return f, nil
}

// fields returns the fields of a mapping, or an error if a key is not plain text
// or occurs twice. what names the mapping in errors.
func (l *loader) fields(n ast.Node, what string) ([]*ast.MappingValueNode, error) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		return nil, l.errorAt(n, "%s must be a mapping", what)
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		key, ok := scalarText(v.Key)
		if !ok {
			return nil, l.errorAt(v.Key, "%s: a key must be plain text", what)
		}
		if seen[key] {
			return nil, l.errorAt(v.Key, "%s: duplicate key %q", what, key)
		}
		seen[key] = true
	}
	return values, nil
}

func (l *loader) items(n ast.Node, what string) ([]ast.Node, error) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		return nil, l.errorAt(n, "%s must be a list", what)
	}
	return s.Values, nil
}

// scalarText returns the text of a scalar without an anchor, alias or tag. Those
// are not accepted, because inheritance in the tree makes them unnecessary.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func (l *loader) parseDocument(body ast.Node) error {
	fields, err := l.fields(body, "the document")
	if err != nil {
		return err
	}
	for _, f := range fields {
		key, _ := scalarText(f.Key)
		if key != "nodes" {
			return l.errorAt(f.Key, "unknown field %q, a document has only the field nodes%s", key, suggestion(key, []string{"nodes"}))
		}
		items, err := l.items(f.Value, "nodes")
		if err != nil {
			return err
		}
		for _, item := range items {
			if err := l.parseNode(item); err != nil {
				return err
			}
		}
	}
	return nil
}
