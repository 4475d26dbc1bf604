package capacity

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// segmentHeader is the size in bytes of the IPv4 and TCP headers of a segment with the
// timestamps option, without the link layer.
const segmentHeader = 52

// traffic counts the bytes and TCP segments of the connections that its Dial method
// opened.
type traffic struct {
	received, sent atomic.Int64

	mu    sync.Mutex
	conns []*net.TCPConn
}

// countingConn adds the bytes that a connection carries to its traffic counter.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Dial opens a connection whose traffic is counted.
func (t *traffic) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.conns = append(t.conns, conn.(*net.TCPConn))
	t.mu.Unlock()
	return countingConn{conn, t}, nil
}

// segments returns the number of TCP segments that the open connections have sent and
// received.
func (t *traffic) segments() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total int64
	for _, conn := range t.conns {
		raw, err := conn.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				total += int64(info.Segs_in) + int64(info.Segs_out)
			}
		})
	}
	return total
}

// usage is the resource usage of a process. Processor time and allocations are totals
// since its start; heap, stack and resident memory are the current sizes in bytes.
type usage struct {
	cpu                      time.Duration
	allocObjects, allocBytes float64
	heap, stack              float64
	resident                 float64
}

// daemonUsage reads the usage of a daemon from its metrics endpoint. A metric that is
// missing counts as zero.
func daemonUsage(metrics string) (usage, error) {
	resp, err := http.Get("http://" + metrics + "/metrics")
	if err != nil {
		return usage{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	values := make(map[string]float64)
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		name, text, ok := strings.Cut(scanner.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = v
		}
	}
	return usage{
		cpu:          time.Duration(values["process_cpu_seconds_total"] * float64(time.Second)),
		allocObjects: values["go_memstats_mallocs_total"], allocBytes: values["go_memstats_alloc_bytes_total"],
		heap: values["go_memstats_heap_alloc_bytes"], stack: values["go_memstats_stack_inuse_bytes"],
		resident: values["process_resident_memory_bytes"],
	}, nil
}

// ownUsage returns the usage of this process, without its resident memory.
func ownUsage() usage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{
		cpu:          time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		allocObjects: float64(memory.Mallocs), allocBytes: float64(memory.TotalAlloc), heap: float64(memory.HeapAlloc), stack: float64(memory.StackInuse),
	}
}

// sub returns the processor time and allocations between two readings.
func (u usage) sub(earlier usage) usage {
	return usage{cpu: u.cpu - earlier.cpu, allocObjects: u.allocObjects - earlier.allocObjects, allocBytes: u.allocBytes - earlier.allocBytes}
}

// addUsage adds rows with the processor time and allocations per operation.
func (r Rows) addUsage(prefix string, size float64, u usage, operations float64) {
	r.Add(prefix+": processor time", size, float64(u.cpu.Microseconds())/operations, "us")
	r.Add(prefix+": allocations", size, u.allocObjects/operations, "")
	r.Add(prefix+": allocated bytes", size, u.allocBytes/operations, "B")
}

// addTraffic adds rows with the bytes per operation: sent, received, and in total with
// the headers of all segments.
func (r Rows) addTraffic(prefix string, size float64, received, sent, segments int64, operations float64) {
	r.Add(prefix+": bytes sent", size, float64(sent)/operations, "B")
	r.Add(prefix+": bytes received", size, float64(received)/operations, "B")
	r.Add(prefix+": bytes with TCP/IP headers", size, (float64(received+sent)+float64(segments*segmentHeader))/operations, "B")
}

// collectGarbage runs the garbage collector three times, with pauses in which
// finalizers run, so that memory that they release is collected as well.
func collectGarbage() {
	for range 3 {
		runtime.GC()
		time.Sleep(10 * time.Millisecond)
	}
}
