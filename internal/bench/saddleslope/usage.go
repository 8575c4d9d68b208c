package saddleslope

import (
	"runtime"
	"syscall"
	"time"
)

// processCPUTime returns the user and system time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuNanoseconds returns the processor time of the process during work, in
// nanoseconds. It collects garbage first, so that earlier allocations do not count.
func cpuNanoseconds(work func()) float64 {
	runtime.GC()
	before := processCPUTime()
	work()
	return float64(processCPUTime() - before)
}

// liveBytes returns the size of the live heap and of the stacks.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run frees objects that had finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
