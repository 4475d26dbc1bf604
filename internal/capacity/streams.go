package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Entry sends requests to one entry whose endpoints are stand-ins.
type Entry struct {
	Address, Metrics string
	client           *http.Client
}

// NewEntry returns a caller of an entry.
func NewEntry(address, metrics string) *Entry {
	return &Entry{Address: address, Metrics: metrics, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// stream sends one request and reads the whole response. started is called
// with the first token.
func (e *Entry) stream(ctx context.Context, tokens int, started func()) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, tokens, strings.Repeat("a capacity prompt ", 40))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Auburnstep-Class", "tier-1")
	resp, err := e.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 400))
		return Error.New("status %d: %s", resp.StatusCode, text)
	}
	chunks, whole := 0, false
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); {
		switch line := scan.Text(); {
		case line == "data: [DONE]":
			whole = true
		case strings.HasPrefix(line, "data: "):
			if chunks++; chunks == 1 && started != nil {
				started()
			}
		}
	}
	if !whole || chunks < tokens {
		return Error.New("response of %d chunks is not whole", chunks)
	}
	return nil
}

// Streams sends requests of a number of tokens each, with a number of streams
// at once, and writes the cost per request at the entry.
func (e *Entry) Streams(ctx context.Context, rows Rows, tokens, streams, requests int) error {
	if err := e.parallel(ctx, streams, streams, tokens); err != nil {
		return err
	}
	before, err := daemonUsage(e.Metrics)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := e.parallel(ctx, streams, requests, tokens); err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	after, err := daemonUsage(e.Metrics)
	if err != nil {
		return err
	}
	rows.addUsage("entry, per request by tokens", float64(tokens), after.since(before), float64(requests))
	rows.Add("entry, tokens per second in the run", float64(tokens), float64(tokens*requests)/seconds, "1/s")
	return nil
}

func (e *Entry) parallel(ctx context.Context, streams, requests, tokens int) error {
	var next atomic.Int64
	errs := make(chan error, streams)
	for range streams {
		go func() {
			var err error
			for err == nil && next.Add(1) <= int64(requests) {
				err = e.stream(ctx, tokens, nil)
			}
			errs <- err
		}()
	}
	var first error
	for range streams {
		if err := <-errs; err != nil && first == nil {
			first = Error.Wrap(err)
		}
	}
	return first
}

// InFlight holds n streams and writes the entry's memory while they run. The
// smallest of several samples is close to the heap after a collection.
func (e *Entry) InFlight(ctx context.Context, rows Rows, n int, hold time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	var started, ended sync.WaitGroup
	for range n {
		started.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			_ = e.stream(ctx, 100_000, started.Done)
		}()
	}
	started.Wait()
	begin := time.Now()
	first, err := daemonUsage(e.Metrics)
	least := first
	for err == nil && time.Since(begin) < hold {
		time.Sleep(50 * time.Millisecond)
		var u usage
		u, err = daemonUsage(e.Metrics)
		least.heap, least.stack, least.resident = min(least.heap, u.heap), min(least.stack, u.stack), max(least.resident, u.resident)
	}
	cancel()
	ended.Wait()
	if err != nil {
		return err
	}
	rows.Add("entry by streams in flight: heap", float64(n), least.heap, "B")
	rows.Add("entry by streams in flight: stacks", float64(n), least.stack, "B")
	rows.Add("entry by streams in flight: resident, largest", float64(n), least.resident, "B")
	return nil
}

// Memory writes the memory of a daemon, the smallest heap of several samples.
func Memory(rows Rows, label, metrics string, size float64, window time.Duration) error {
	least, err := daemonUsage(metrics)
	for begin := time.Now(); err == nil && time.Since(begin) < window; time.Sleep(100 * time.Millisecond) {
		var u usage
		u, err = daemonUsage(metrics)
		least.heap, least.resident = min(least.heap, u.heap), max(least.resident, u.resident)
	}
	if err != nil {
		return err
	}
	rows.Add(label+": heap", size, least.heap, "B")
	rows.Add(label+": resident, largest", size, least.resident, "B")
	return nil
}

// Sync measures appending and syncing a file with the system's own calls.
func Sync(rows Rows, dir string, sizes []int) error {
	const appends = 200
	f, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return Error.Wrap(err)
	}
	defer os.Remove(f.Name())
	defer f.Close()
	for _, size := range sizes {
		begin := time.Now()
		for range appends {
			if _, err := f.Write(make([]byte, size)); err != nil {
				return Error.Wrap(err)
			}
			if err := f.Sync(); err != nil {
				return Error.Wrap(err)
			}
		}
		rows.Add("append and fsync of a file", float64(size), float64(time.Since(begin).Microseconds())/appends, "us")
	}
	return nil
}

// Idle writes what a daemon uses without requests.
func Idle(rows Rows, label, metrics string, size float64, window time.Duration) error {
	before, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	begin := time.Now()
	time.Sleep(window)
	after, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	rows.Add(label+": processor share", size, 100*(after.cpu-before.cpu).Seconds()/seconds, "%")
	rows.Add(label+": allocated bytes per second", size, (after.malloc-before.malloc)/seconds, "B/s")
	return nil
}
