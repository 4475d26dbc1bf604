// Package event records numbered events. Each event has a number, a name and
// an entry in docs/events.md. A recorder writes events to the log and retains the
// latest in memory for the timeline.
package event

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Level is the severity of an event.
type Level int

// Levels in increasing severity.
const (
	Debug Level = iota
	Info
	Warn
	Failure
)

// String returns the name used in logs and docs.
func (l Level) String() string { return [...]string{"debug", "info", "warning", "error"}[l] }

// Event is a kind of event, defined once in the catalogue.
type Event struct {
	Number int
	Name   string
	Level  Level
	// Text is the log message. It states what happened, in plain language.
	Text string
}

var (
	catalogueMu sync.Mutex
	catalogue   = make(map[int]*Event)
)

// Define adds an event to the catalogue. Packages call it to initialize package
// variables. Using a number twice is a programming error and panics.
//
// Number ranges: 1000 process, 2000 consensus and storage, 3000 control and
// settings, 4000 scheduler, 4100 model placement, 4200 duties, 5000 entry and endpoints,
// 6000 announcements, 7000 directory, 8000 router, 9000 platform adapter.
func Define(number int, name string, level Level, text string) *Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if e, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event: number %d is used by %s and %s", number, e.Name, name))
	}
	e := &Event{Number: number, Name: name, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Catalogue returns all defined events, sorted by number.
func Catalogue() []*Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	out := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// CatalogueMarkdown renders the catalogue as the table of docs/events.md.
func CatalogueMarkdown() string {
	var b strings.Builder
	b.WriteString("| number | name | level | text |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	return b.String()
}
