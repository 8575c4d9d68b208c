package saddleslope

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the processor time of this process so far, user and
// system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost returns the processor time, in nanoseconds, that work takes.
func cost(work func()) float64 {
	runtime.GC()
	before := processorTime()
	work()
	return float64(processorTime() - before)
}

// memory returns the bytes of live heap and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
