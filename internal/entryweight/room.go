// Package entryweight decides which entries a caller is told to connect to while entries
// differ in size: how much room an entry has, and which addresses a caller gets. It does no
// I/O and takes the time as an argument.
package entryweight

import (
	"math"
	"time"
)

const (
	// roomOfReference is the room of an entry with the reference figures below. A tenth of
	// the smallest entry in use is still a difference of several units.
	roomOfReference = 1000
	// The reference figures say how much of each resource goes with how much of the others
	// for the same traffic. They are the middle of the sizes in use; only their ratios count.
	referenceCores       = 0.3
	referenceMemory      = 280 << 20
	referenceDescriptors = 6600
	referenceLinkMbps    = 16.0

	// busyTimeConstant is the time over which the utilization of an entry is smoothed. It is
	// longer than the 2 s for which callers keep a list, so that an entry sees the effect of
	// its report before it reports the next one.
	busyTimeConstant = 6 * time.Second
	// Up to idleUtilization the room is whole. It falls linearly to minBusyFactor at full
	// utilization. With these figures a relative change of utilization changes the room by at
	// most 1.33 times as much, which a smoothing over 6 s and a delay of up to 6 s damp.
	idleUtilization = 0.25
	minBusyFactor   = 0.5
	// minReportedChange is the relative change of the room from which on it is reported.
	minReportedChange = 0.1
)

// Capacity holds the resources of an entry from its settings. Figures that are not known
// are 0.
type Capacity struct {
	Cores       float64
	Memory      int64 // bytes
	Descriptors int
	LinkMbps    float64
}

// IdleRoom returns how many callers the entry can serve while it is idle, relative to other
// entries: that of its scarcest resource. It is 0 if Cores is not known.
func (c Capacity) IdleRoom() uint32 {
	if !(c.Cores > 0) { // also not a number
		return 0
	}
	least := c.Cores / referenceCores
	for _, relative := range []float64{
		float64(c.Memory) / referenceMemory, float64(c.Descriptors) / referenceDescriptors, c.LinkMbps / referenceLinkMbps,
	} {
		if relative > 0 {
			least = min(least, relative)
		}
	}
	return uint32(min(math.MaxInt32, max(1, roomOfReference*least)))
}

// Usage holds what an entry uses at a time. CPU counts since the start of the process.
type Usage struct {
	CPU         time.Duration
	Memory      int64 // bytes
	Descriptors int
}

// Meter computes the room of an entry. It is not safe for concurrent use.
type Meter struct {
	capacity    Capacity
	last        Usage
	lastAt      time.Time
	utilization float64
	reported    uint32
}

// NewMeter returns a meter of an idle entry.
func NewMeter(c Capacity) *Meter { return &Meter{capacity: c, reported: c.IdleRoom()} }

// Observe updates the meter. Calls are expected about every second.
func (m *Meter) Observe(now time.Time, u Usage) {
	last, elapsed := m.last, now.Sub(m.lastAt)
	first := m.lastAt.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	m.last, m.lastAt = u, now
	if first {
		return
	}
	current := 0.0
	if m.capacity.Cores > 0 {
		current = float64(u.CPU-last.CPU) / float64(elapsed) / m.capacity.Cores
	}
	if m.capacity.Memory > 0 {
		current = max(current, float64(u.Memory)/float64(m.capacity.Memory))
	}
	if m.capacity.Descriptors > 0 {
		current = max(current, float64(u.Descriptors)/float64(m.capacity.Descriptors))
	}
	current = min(1, max(0, current))
	m.utilization += (current - m.utilization) * (1 - math.Exp(-float64(elapsed)/float64(busyTimeConstant)))
	room := float64(m.capacity.IdleRoom()) * busyFactor(m.utilization)
	if math.Abs(room-float64(m.reported)) > minReportedChange*float64(m.reported) {
		m.reported = uint32(max(1, room))
	}
}

// busyFactor returns the part of the idle room that an entry has at a utilization.
func busyFactor(utilization float64) float64 {
	busy := (utilization - idleUtilization) / (1 - idleUtilization)
	return 1 - (1-minBusyFactor)*min(1, max(0, busy))
}

// Utilization returns the smoothed utilization of the scarcest resource, from 0 to 1.
func (m *Meter) Utilization() float64 { return m.utilization }

// Room returns the idle room and the present room, both 0 if the capacity is not known. The
// present room changes by more than a tenth or not at all.
func (m *Meter) Room() (idle, present uint32) { return m.capacity.IdleRoom(), m.reported }
