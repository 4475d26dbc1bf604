// Command stand runs one case of the review: it starts the daemon as separate processes on
// loopback addresses, with stand-ins for the platform, the operator, the replicas and the
// callers, and judges what these have seen.
//
//	stand CASE FOLDER
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 110 * time.Second
)

// errBroken is the result of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*stand) error{}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// say adds a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	fmt.Println(strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
	r.add(format, args...)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	rec := &record{file: f, start: time.Now()}
	s, err := newStand(rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	s.trouble = os.Getenv("TROUBLE") != "0"
	result := make(chan error, 1)
	go func() { result <- cases[name](s) }()
	select {
	case err = <-result:
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		rec.say("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.say("%v", err)
		return exitBroken
	}
	rec.say("the case could not run: %v", err)
	return exitNotRun
}
