package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
)

// Config describes a simulated fleet. Duration is the length of the run, warm-up
// included.
type Config struct {
	Seed                 uint64
	Engines              []saddleload.Engine
	Services             int // number of plain services
	Entries              int
	NewChooser           func(seed uint64) fireflysaddle.Chooser
	MaxQueueWait         time.Duration // longest predicted queue time at which an agent admits a request
	LoadReportInterval   time.Duration // between load reports to entries with requests in progress; 0: reports come with answers only
	LoadReportDelay      time.Duration // added to the link latency of every load report
	CacheEventDelay      time.Duration // added to the link latency of cache events; 0: no cache events are sent
	CacheEventDropPeriod int           // one of this many cache events is lost; 0: none
	CallSilenceTimeout   time.Duration // time without an event from an agent after which an entry fails the attempt
	TargetLostTimeout    time.Duration // time after which control removes a lost target
	Faults               []Fault
	Warmup               time.Duration // time before the measurements start
	Duration             time.Duration
}

// Fault slows an engine down or stops it. Engine is the index in Config.Engines.
// At and Until count from the start of the run; the fault does not end if Until is 0.
type Fault struct {
	At       time.Duration
	Engine   int
	Slowdown float64 // divisor of the token rate; 0: the engine and its agent are lost
	Until    time.Duration
}

const (
	defaultMaxQueueWait       = 30 * time.Second
	defaultLoadReportInterval = 300 * time.Millisecond
	defaultCallSilenceTimeout = 1500 * time.Millisecond
	defaultTargetLostTimeout  = 2 * time.Second
)

// DefaultConfig returns a fleet without engines whose settings are the defaults
// of the daemons.
func DefaultConfig() Config {
	return Config{
		Entries:            3,
		Services:           3,
		MaxQueueWait:       defaultMaxQueueWait,
		LoadReportInterval: defaultLoadReportInterval,
		CallSilenceTimeout: defaultCallSilenceTimeout,
		TargetLostTimeout:  defaultTargetLostTimeout,
	}
}
