package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
)

// Config describes a simulated fleet and a run.
type Config struct {
	Seed                 uint64
	Engines              []saddleload.Engine
	Services             int // number of plain services
	Entries              int
	NewChooser           func(seed uint64) fireflysaddle.Chooser
	MaxQueueWait         time.Duration // longest predicted queue time at which an agent admits a request
	LoadReportInterval   time.Duration // between load reports to entries with requests in progress; 0: a target reports its load only with its answers
	LoadReportDelay      time.Duration // added to the link latency of every load report
	CacheEventDelay      time.Duration // added to the link latency of every cache event; 0 switches cache events off
	CacheEventDropPeriod int           // every n-th cache event is lost; 0: none
	CallSilenceTimeout   time.Duration // time without an event from an agent after which an entry fails the attempt
	TargetLostTimeout    time.Duration // time from the loss of a target until control removes it from the member list
	Faults               []Fault
	Warmup               time.Duration // time before the measurements start
	Duration             time.Duration // length of the run, warm-up included
}

// Fault slows an engine down or stops it.
type Fault struct {
	At       time.Duration // time from the start of the run to the fault
	Engine   int           // index in Config.Engines
	Slowdown float64       // divisor of the token rate; 0: the engine and its agent are lost
	Until    time.Duration // time from the start of the run to the end of the fault; 0: the fault does not end
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
