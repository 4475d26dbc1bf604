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

// EntryClient sends requests to one entry whose endpoints are fake engines.
type EntryClient struct {
	Address, Metrics string
	client           *http.Client
}

// NewEntryClient returns a client of the entry with the given addresses of its API and
// its metrics.
func NewEntryClient(address, metrics string) *EntryClient {
	return &EntryClient{Address: address, Metrics: metrics, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// stream sends one streaming request and reads the response to its end. It calls
// started, if not nil, when the first token arrives.
func (e *EntryClient) stream(ctx context.Context, tokens int, started func()) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, tokens, strings.Repeat("a capacity prompt ", 40))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+CustomerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Auburnstep-Class", "tier-1")
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 400))
		return Error.New("status %d: %s", resp.StatusCode, text)
	}
	chunks, complete := 0, false
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		switch line := scanner.Text(); {
		case line == "data: [DONE]":
			complete = true
		case strings.HasPrefix(line, "data: "):
			if chunks++; chunks == 1 && started != nil {
				started()
			}
		}
	}
	if !complete || chunks < tokens {
		return Error.New("incomplete response: received %d chunks", chunks)
	}
	return nil
}

// Streams sends requests for responses of the given number of tokens over the given
// number of concurrent streams, and adds rows with the cost per request at the entry.
// A warm-up of one request per stream comes first and is not measured.
func (e *EntryClient) Streams(ctx context.Context, rows Rows, tokens, streams, requests int) error {
	if err := e.sendAll(ctx, streams, streams, tokens); err != nil {
		return err
	}
	before, err := daemonUsage(e.Metrics)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := e.sendAll(ctx, streams, requests, tokens); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	after, err := daemonUsage(e.Metrics)
	if err != nil {
		return err
	}
	rows.addUsage("entry, per request by tokens", float64(tokens), after.sub(before), float64(requests))
	rows.Add("entry, tokens per second in the run", float64(tokens), float64(tokens*requests)/seconds, "1/s")
	return nil
}

// sendAll sends the requests over concurrent streams and returns the first error. A
// stream stops at its first error.
func (e *EntryClient) sendAll(ctx context.Context, streams, requests, tokens int) error {
	var sent atomic.Int64
	errs := make(chan error, streams)
	for range streams {
		go func() {
			var err error
			for err == nil && sent.Add(1) <= int64(requests) {
				err = e.stream(ctx, tokens, nil)
			}
			errs <- err
		}()
	}
	var firstErr error
	for range streams {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = Error.Wrap(err)
		}
	}
	return firstErr
}

// InFlight holds n streams open and adds rows with the memory of the entry while they
// run. It takes the smallest heap of several samples, which is close to the heap size
// right after a garbage collection.
func (e *EntryClient) InFlight(ctx context.Context, rows Rows, n int, hold time.Duration) error {
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
	samplingStart := time.Now()
	firstSample, err := daemonUsage(e.Metrics)
	extremes := firstSample
	for err == nil && time.Since(samplingStart) < hold {
		time.Sleep(50 * time.Millisecond)
		var sample usage
		sample, err = daemonUsage(e.Metrics)
		extremes.heap, extremes.stack, extremes.resident = min(extremes.heap, sample.heap), min(extremes.stack, sample.stack), max(extremes.resident, sample.resident)
	}
	cancel()
	ended.Wait()
	if err != nil {
		return err
	}
	rows.Add("entry by streams in flight: heap", float64(n), extremes.heap, "B")
	rows.Add("entry by streams in flight: stacks", float64(n), extremes.stack, "B")
	rows.Add("entry by streams in flight: resident, largest", float64(n), extremes.resident, "B")
	return nil
}

// Memory adds rows with the memory of a daemon: the smallest heap and the largest
// resident memory of several samples.
func Memory(rows Rows, label, metrics string, size float64, window time.Duration) error {
	extremes, err := daemonUsage(metrics)
	for start := time.Now(); err == nil && time.Since(start) < window; time.Sleep(100 * time.Millisecond) {
		var sample usage
		sample, err = daemonUsage(metrics)
		extremes.heap, extremes.resident = min(extremes.heap, sample.heap), max(extremes.resident, sample.resident)
	}
	if err != nil {
		return err
	}
	rows.Add(label+": heap", size, extremes.heap, "B")
	rows.Add(label+": resident, largest", size, extremes.resident, "B")
	return nil
}

// Sync adds rows with the time to append a number of bytes to a file and sync it, with
// plain write and fsync calls instead of the write-ahead log.
func Sync(rows Rows, dir string, sizes []int) error {
	const appends = 200
	f, err := os.Create(filepath.Join(dir, "sync"))
	if err != nil {
		return Error.Wrap(err)
	}
	defer os.Remove(f.Name())
	defer f.Close()
	for _, size := range sizes {
		start := time.Now()
		for range appends {
			if _, err := f.Write(make([]byte, size)); err != nil {
				return Error.Wrap(err)
			}
			if err := f.Sync(); err != nil {
				return Error.Wrap(err)
			}
		}
		rows.Add("append and fsync of a file", float64(size), float64(time.Since(start).Microseconds())/appends, "us")
	}
	return nil
}

// Idle adds rows with the processor time and allocations of a daemon that receives no
// requests.
func Idle(rows Rows, label, metrics string, size float64, window time.Duration) error {
	before, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(window)
	after, err := daemonUsage(metrics)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	rows.Add(label+": processor share", size, 100*(after.cpu-before.cpu).Seconds()/seconds, "%")
	rows.Add(label+": allocated bytes per second", size, (after.allocBytes-before.allocBytes)/seconds, "B/s")
	return nil
}
