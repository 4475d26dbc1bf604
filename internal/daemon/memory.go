package daemon

import (
	"path/filepath"
	"runtime/debug"
	"syscall"
)

const (
	// heapPercent is the share of the memory limit that the Go runtime of a routed instance may
	// use. The program itself and bytes that wait in sockets need the rest.
	heapPercent = 60
	// ownHeapPercent is that share for an instance with scheduler groups, whose limit is larger
	// and half of which is for bodies.
	ownHeapPercent = 75
	// maxDefaultMemory bounds the memory limit of a routed instance whose settings name none.
	maxDefaultMemory = 1 << 30
)

// defaultMemory returns the memory limit of a routed instance whose settings name none: the
// memory of the machine, maxDefaultMemory at most.
func defaultMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return maxDefaultMemory
	}
	return int64(min(maxDefaultMemory, uint64(info.Totalram)*uint64(info.Unit)))
}

// diskBytes returns the size of the file system of a directory, 0 if it is not known. The
// directory may not exist yet.
func diskBytes(dir string) int64 {
	for {
		var info syscall.Statfs_t
		err := syscall.Statfs(dir, &info)
		if err == nil {
			return int64(info.Blocks) * int64(info.Bsize)
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return 0
		}
		dir = parent
	}
}

// memoryPlan divides the memory limit of a process, in bytes.
type memoryPlan struct {
	// clients is for requests of clients, connections for the buffers of connections, and heap
	// what the Go runtime may use. The program itself and bytes that wait in sockets need the
	// rest.
	clients, connections, heap int64
}

// routedMemory divides the memory limit of a routed instance. Bodies and buffered responses are
// part of the memory for clients.
func routedMemory(limit int64) memoryPlan {
	return memoryPlan{clients: limit / 8 * 3, connections: limit / 8, heap: limit / 100 * heapPercent}
}

// ownMemory divides the memory limit of an instance with scheduler groups. Its bodies have a pool
// of their own.
func ownMemory(limit, bodies int64) memoryPlan {
	return memoryPlan{clients: (limit - bodies) / 8 * 3, connections: limit / 4, heap: limit / 100 * ownHeapPercent}
}

// limitHeap bounds the memory of the Go runtime. Without a limit the collector lets the heap grow
// to twice of what is in use before it runs.
func (p memoryPlan) limitHeap() { debug.SetMemoryLimit(p.heap) }
