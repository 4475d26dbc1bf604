package event

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/hlc"
)

// RetainedRecords is the number of records that a process retains for the timeline.
// At about 200 bytes each, they take about 2 MB; maxValueBytes bounds what clients make of it.
const RetainedRecords = 8192

// Field is a named value of a record.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F returns a field with the value formatted as by fmt.Sprint.
func F(key string, value any) Field { return Field{Key: key, Value: fmt.Sprint(value)} }

// Keys of the fields by which the timeline can be filtered.
const (
	KeyRequest  = "request"
	KeyCustomer = "customer"
	KeyChange   = "change"
)

// Request returns a field with the ID of the request that an event belongs to.
func Request(id string) Field { return Field{Key: KeyRequest, Value: id} }

// Customer returns a field with the name of the customer that an event belongs to.
func Customer(name string) Field { return Field{Key: KeyCustomer, Value: name} }

// Change returns a field with the ID of the settings change that an event belongs to.
func Change(id string) Field { return Field{Key: KeyChange, Value: id} }

// maxValueBytes bounds the values of fields. Some are sent by clients, such as paths, and all
// retained records hold them.
const maxValueBytes = 512

// Record is one occurrence of an event.
type Record struct {
	At       hlc.Timestamp
	Instance string
	Event    *Event
	Fields   []Field
}

// Get returns the value of the field with the given key, or "".
func (r Record) Get(key string) string {
	for _, f := range r.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Recorder writes records to the log and retains the latest in memory. It is safe
// for concurrent use. Emit on a nil recorder does nothing.
type Recorder struct {
	instance string
	clock    *hlc.Clock
	log      *logrus.Logger

	mu sync.Mutex
	// retained is a circular buffer once it is full; oldest is then the index of
	// its oldest record.
	retained []Record
	oldest   int
}

// NewRecorder returns a recorder that logs events of at least the given level to w,
// as lines of JSON. It retains events of all levels.
func NewRecorder(instance string, clock *hlc.Clock, w io.Writer, level logrus.Level) *Recorder {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Recorder{instance: instance, clock: clock, log: l, retained: make([]Record, 0, RetainedRecords)}
}

// Emit records one occurrence of e.
func (r *Recorder) Emit(e *Event, fields ...Field) {
	if r == nil {
		return
	}
	fields = presentableFields(fields)
	rec := Record{At: r.clock.Now(), Instance: r.instance, Event: e, Fields: fields}
	r.retain(rec)
	if level := logrusLevel(e.Level); r.log.IsLevelEnabled(level) {
		data := logrus.Fields{"event": e.Number, "name": e.Name, "instance": r.instance, "clock": rec.At.String()}
		for _, f := range fields {
			data[f.Key] = f.Value
		}
		r.log.WithFields(data).Log(level, e.Text)
	}
}

// presentableFields returns fields with the values that are too long replaced by their beginning
// and their length, and bytes that are not UTF-8 by U+FFFD: one such value would keep all records
// of the process from being encoded for the time line.
func presentableFields(fields []Field) []Field {
	isPresentable := func(f Field) bool { return len(f.Value) <= maxValueBytes && utf8.ValidString(f.Value) }
	if !slices.ContainsFunc(fields, func(f Field) bool { return !isPresentable(f) }) {
		return fields
	}
	out := slices.Clone(fields)
	for i, f := range out {
		switch {
		case len(f.Value) > maxValueBytes:
			out[i].Value = fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(f.Value[:maxValueBytes], ""), len(f.Value))
		default:
			out[i].Value = strings.ToValidUTF8(f.Value, "\uFFFD")
		}
	}
	return out
}

// Records returns the retained records, oldest first.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.retained) < RetainedRecords {
		return append([]Record(nil), r.retained...)
	}
	return append(append([]Record(nil), r.retained[r.oldest:]...), r.retained[:r.oldest]...)
}

func (r *Recorder) retain(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.retained) < RetainedRecords {
		r.retained = append(r.retained, rec)
		return
	}
	r.retained[r.oldest] = rec
	r.oldest = (r.oldest + 1) % RetainedRecords
}

func logrusLevel(l Level) logrus.Level {
	return [...]logrus.Level{logrus.DebugLevel, logrus.InfoLevel, logrus.WarnLevel, logrus.ErrorLevel}[l]
}
