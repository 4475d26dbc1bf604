package control

import (
	"cmp"

	"auburnstep.example/auburnstep/internal/consensus"
)

// Limits bounds what a member keeps of what operators and callers send. All values are in
// bytes; 0 stands for the default.
type Limits struct {
	// Log bounds the committed entries that no snapshot covers, in memory and on disk. A member
	// that has stored so many without a snapshot accepts no further ones until it has one.
	Log int64
	// Queue bounds the commands that wait to be appended to the log, and the entries that other
	// members have sent and that wait for the consensus loop, each by itself.
	Queue int64
	// Bookings bounds the booking records with their outcomes and tombstones.
	Bookings int64
	// Settings bounds the settings tree.
	Settings int64
}

const (
	// defaultMachineBytes stands for a memory or disk limit that is not known.
	defaultMachineBytes = 1 << 30
	// minLogBytes keeps some commands of usual size between two snapshots on a small machine.
	minLogBytes = 8 << 20
	maxLogBytes = 128 << 20
	// Limits.Log is this part of the memory and of the disk. A disk also holds two snapshots
	// while one is written, and the log holds some entries on top of its limit, which are not
	// committed yet.
	logMemoryParts, logDiskParts = 8, 4
	// bookingMemoryParts, bookingDiskParts and settingsParts are the same for Limits.Bookings and
	// Limits.Settings.
	bookingMemoryParts, bookingDiskParts = 4, 8
	settingsParts                        = 16
	// A snapshot is taken after 1/snapshotLogParts to 1/maxSnapshotLogParts of Limits.Log, and
	// 1/retainedLogParts of it stays in memory for members that are a little behind.
	snapshotLogParts, maxSnapshotLogParts, retainedLogParts = 4, 2, 8
	// entryOverheadBytes is what an entry takes beside its data.
	entryOverheadBytes = 32
)

// LimitsFor returns the limits of a member on a machine with the given memory and disk, in
// bytes; 0 if not known.
func LimitsFor(memory, disk int64) Limits {
	memory, disk = cmp.Or(memory, defaultMachineBytes), cmp.Or(disk, defaultMachineBytes)
	return Limits{
		Log:      max(minLogBytes, min(maxLogBytes, memory/logMemoryParts, disk/logDiskParts)),
		Bookings: min(memory/bookingMemoryParts, disk/bookingDiskParts),
		Settings: min(memory, disk) / settingsParts,
	}
}

func (l Limits) withDefaults() Limits {
	standard := LimitsFor(0, 0)
	l.Log = cmp.Or(l.Log, standard.Log)
	l.Bookings = cmp.Or(l.Bookings, standard.Bookings)
	l.Settings = cmp.Or(l.Settings, standard.Settings)
	// A single command of the maximum size always fits.
	l.Queue = max(cmp.Or(l.Queue, l.Log/snapshotLogParts), maxCommandBytes)
	return l
}

// compaction decides when the consensus loop requests a snapshot. It counts what was written to
// the log, rather than what the log holds: entries that a new leader replaces stay on disk too.
type compaction struct {
	maxEntries         uint64
	minBytes, maxBytes int64

	// snapshot is the index of the latest snapshot and snapshotBytes its size.
	snapshot      uint64
	snapshotBytes int64
	// savedBytes is what was saved since the state in the latest snapshot.
	savedBytes int64
	// requested is set from the request of a snapshot until it is stored; savedAtRequest is then
	// the part of savedBytes that it covers.
	requested      bool
	savedAtRequest int64
}

// newCompaction returns the compaction of a log that was restored.
func newCompaction(o *Options, restored *consensus.Restored) compaction {
	return compaction{
		maxEntries: uint64(o.SnapshotEvery), minBytes: o.Limits.Log / snapshotLogParts, maxBytes: o.Limits.Log / maxSnapshotLogParts,
		snapshot: restored.Snapshot.Index, snapshotBytes: int64(len(restored.Snapshot.Data)), savedBytes: entryBytes(restored.Entries),
	}
}

// isDue reports whether a snapshot of the state after the entry at applied is to be taken. A
// state that is larger than a part of the log is written less often.
func (c *compaction) isDue(applied uint64) bool {
	if c.requested || applied <= c.snapshot {
		return false
	}
	threshold := min(max(c.minBytes, c.snapshotBytes), c.maxBytes)
	return applied-c.snapshot >= c.maxEntries || c.savedBytes >= threshold
}

func (c *compaction) request() { c.requested, c.savedAtRequest = true, c.savedBytes }

// stored records a snapshot of size bytes that this member made on request.
func (c *compaction) stored(index uint64, size int) {
	c.finish()
	c.savedBytes -= c.savedAtRequest
	c.snapshot, c.snapshotBytes = index, int64(size)
}

// finish ends a request, also one whose snapshot was not stored.
func (c *compaction) finish() { c.requested = false }

// installed records a snapshot from the leader, which replaces the log.
func (c *compaction) installed(index uint64, size int) {
	c.snapshot, c.snapshotBytes, c.savedBytes, c.savedAtRequest = index, int64(size), 0, 0
}
