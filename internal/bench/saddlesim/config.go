package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
)

// Config describes a simulated fleet.
type Config struct {
	Seed       uint64
	Engines    []saddleload.Engine
	Services   int // plain services
	Entries    int
	NewChooser func(seed uint64) fireflysaddle.Chooser
	QueueWait  time.Duration // longest predicted wait that agents accept
	Beat       time.Duration // between load reports on requests in progress, 0: none
	ReportLag  time.Duration // added to the link of every load report
	EventLag   time.Duration // of cache events, 0: entries hear none
	LoseEvents int           // every so many cache events one is lost, 0: none
	Silence    time.Duration // after which an entry takes an attempt for failed
	Lost       time.Duration // after which control takes a target for lost
	Faults     []Fault
	Warm       time.Duration // figures are taken from here on
	Length     time.Duration
}

// Fault changes an engine at a time.
type Fault struct {
	At     time.Duration
	Engine int
	Slow   float64 // divisor of the rate; 0: the engine and its agent are lost
	Until  time.Duration
}

const (
	defaultQueueWait = 30 * time.Second
	defaultBeat      = 300 * time.Millisecond
	defaultSilence   = 1500 * time.Millisecond
	defaultLost      = 2 * time.Second
)

// Default returns a fleet with the settings that processes have.
func Default() Config {
	return Config{
		Entries:   3,
		Services:  3,
		QueueWait: defaultQueueWait,
		Beat:      defaultBeat,
		Silence:   defaultSilence,
		Lost:      defaultLost,
	}
}
