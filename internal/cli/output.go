package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func (s *session) json() bool { return s.Output == "json" }

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.Stdout, format, args...) }

// progressf prints progress on stdout, or on stderr if stdout is JSON.
func (s *session) progressf(format string, args ...any) {
	out := s.Stdout
	if s.json() {
		out = s.Stderr
	}
	fmt.Fprintf(out, format, args...)
}

// printJSON writes a value as indented JSON.
func (s *session) printJSON(v any) error {
	enc := json.NewEncoder(s.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// printMessage writes a protobuf message as JSON with the field names of the .proto file.
func (s *session) printMessage(m proto.Message) error {
	raw, err := messageJSON(m)
	if err != nil {
		return err
	}
	return s.printJSON(raw)
}

// messageJSON returns a message as JSON without white space, which protojson varies at
// random on purpose.
func messageJSON(m proto.Message) (json.RawMessage, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := json.Compact(&b, data); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// table prints rows with aligned columns, and an empty cell as "-". A row without cells
// prints an empty line.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, head ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

func formatInt[T ~uint32 | ~uint64 | ~int64 | ~int](n T) string { return fmt.Sprint(n) }
