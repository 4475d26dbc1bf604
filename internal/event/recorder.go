package event

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/hlc"
)

// DefaultKeep is the number of events a process keeps for the time line. At
// about 200 bytes an event this bounds the memory to some 2 MB.
const DefaultKeep = 8192

// Field is one named value of a record.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F returns a field with the value in its default format.
func F(key string, value any) Field { return Field{Key: key, Value: fmt.Sprint(value)} }

// Keys of the fields by which the time line is filtered.
const (
	KeyRequest  = "request"
	KeyCustomer = "customer"
	KeyChange   = "change"
)

// Request names the request an event belongs to.
func Request(id string) Field { return Field{Key: KeyRequest, Value: id} }

// Customer names the customer an event belongs to.
func Customer(name string) Field { return Field{Key: KeyCustomer, Value: name} }

// Change names the settings change an event belongs to.
func Change(id string) Field { return Field{Key: KeyChange, Value: id} }

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

// Recorder writes records to the log and keeps the latest. It is safe for
// concurrent use, and a nil recorder drops everything.
type Recorder struct {
	instance string
	clock    *hlc.Clock
	log      *logrus.Logger

	mu   sync.Mutex
	kept []Record
	next int
}

// NewRecorder returns a recorder that logs JSON lines to w.
func NewRecorder(instance string, clock *hlc.Clock, w io.Writer, level logrus.Level) *Recorder {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Recorder{instance: instance, clock: clock, log: l, kept: make([]Record, 0, DefaultKeep)}
}

// Emit records one occurrence of e.
func (r *Recorder) Emit(e *Event, fields ...Field) {
	if r == nil {
		return
	}
	rec := Record{At: r.clock.Now(), Instance: r.instance, Event: e, Fields: fields}
	r.keep(rec)
	if level := logrusLevel(e.Level); r.log.IsLevelEnabled(level) {
		data := logrus.Fields{"event": e.Number, "name": e.Name, "instance": r.instance, "clock": rec.At.String()}
		for _, f := range fields {
			data[f.Key] = f.Value
		}
		r.log.WithFields(data).Log(level, e.Text)
	}
}

// Records returns the kept records, oldest first.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) < DefaultKeep {
		return append([]Record(nil), r.kept...)
	}
	return append(append([]Record(nil), r.kept[r.next:]...), r.kept[:r.next]...)
}

func (r *Recorder) keep(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) < DefaultKeep {
		r.kept = append(r.kept, rec)
		return
	}
	r.kept[r.next] = rec
	r.next = (r.next + 1) % DefaultKeep
}

func logrusLevel(l Level) logrus.Level {
	return [...]logrus.Level{logrus.DebugLevel, logrus.InfoLevel, logrus.WarnLevel, logrus.ErrorLevel}[l]
}
