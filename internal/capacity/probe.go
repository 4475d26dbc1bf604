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

// segmentHeader is the size of the IPv4 and TCP headers of a segment with time
// stamps, without the link layer.
const segmentHeader = 52

// wire counts the traffic of the connections that its Dial opened.
type wire struct {
	in, out atomic.Int64

	mu    sync.Mutex
	conns []*net.TCPConn
}

type countedConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Add(int64(n))
	return n, err
}

// Dial opens a counted connection.
func (w *wire) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.conns = append(w.conns, c.(*net.TCPConn))
	w.mu.Unlock()
	return countedConn{c, w}, nil
}

// segments returns the TCP segments sent and received by open connections.
func (w *wire) segments() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n int64
	for _, c := range w.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n += int64(i.Segs_in) + int64(i.Segs_out)
			}
		})
	}
	return n
}

// usage is what a process has used since its start, and holds now.
type usage struct {
	cpu             time.Duration
	mallocs, malloc float64 // objects and bytes allocated
	heap, stack     float64
	resident        float64
}

// daemonUsage reads the metrics of a daemon.
func daemonUsage(metrics string) (usage, error) {
	resp, err := http.Get("http://" + metrics + "/metrics")
	if err != nil {
		return usage{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	values := make(map[string]float64)
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); {
		name, text, ok := strings.Cut(scan.Text(), " ")
		if v, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[name] = v
		}
	}
	return usage{
		cpu:     time.Duration(values["process_cpu_seconds_total"] * float64(time.Second)),
		mallocs: values["go_memstats_mallocs_total"], malloc: values["go_memstats_alloc_bytes_total"],
		heap: values["go_memstats_heap_alloc_bytes"], stack: values["go_memstats_stack_inuse_bytes"],
		resident: values["process_resident_memory_bytes"],
	}, nil
}

// ownUsage reads the usage of this process.
func ownUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		cpu:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		mallocs: float64(m.Mallocs), malloc: float64(m.TotalAlloc), heap: float64(m.HeapAlloc), stack: float64(m.StackInuse),
	}
}

func (u usage) since(old usage) usage {
	return usage{cpu: u.cpu - old.cpu, mallocs: u.mallocs - old.mallocs, malloc: u.malloc - old.malloc}
}

// addUsage writes the cost per operation.
func (r Rows) addUsage(prefix string, size float64, u usage, operations float64) {
	r.Add(prefix+": processor time", size, float64(u.cpu.Microseconds())/operations, "us")
	r.Add(prefix+": allocations", size, u.mallocs/operations, "")
	r.Add(prefix+": allocated bytes", size, u.malloc/operations, "B")
}

// addWire writes the bytes per operation, with the headers of all segments.
func (r Rows) addWire(prefix string, size float64, in, out, segments int64, operations float64) {
	r.Add(prefix+": bytes sent", size, float64(out)/operations, "B")
	r.Add(prefix+": bytes received", size, float64(in)/operations, "B")
	r.Add(prefix+": bytes with TCP/IP headers", size, (float64(in+out)+float64(segments*segmentHeader))/operations, "B")
}

// settle collects garbage until finalizers have run.
func settle() {
	for range 3 {
		runtime.GC()
		time.Sleep(10 * time.Millisecond)
	}
}
