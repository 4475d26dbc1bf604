// Command stand2 runs the cases of the second review. It starts the program of the deploy file as
// separate processes on loopback addresses, and plays the platform, the operator, the endpoints
// and the callers. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(s *stand) (broken bool, err error){}

// deadline bounds a whole run.
const deadline = 118 * time.Second

// stand is one run of a case.
type stand struct {
	binary, dir string
	// trouble is false for the run without the disruption.
	trouble bool
	network string // the first two bytes of all addresses

	mu        sync.Mutex
	record    *os.File
	started   time.Time
	processes []*process
}

// note writes a line to the record.
func (s *stand) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	if binary, err = filepath.Abs(binary); err != nil {
		return 2
	}
	s := &stand{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now()}
	s.network = fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	defer s.stopAll()

	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	r := result{}
	select {
	case r = <-done:
	case <-time.After(deadline):
		r.err = fmt.Errorf("the case took longer than %v", deadline)
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	}
	switch {
	case r.err != nil:
		s.note("the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		s.note("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	s.note("the rule held")
	fmt.Println("held")
	return 0
}
