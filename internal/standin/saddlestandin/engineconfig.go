package saddlestandin

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// EngineConfig configures an Engine or a LocalEngine.
type EngineConfig struct {
	Address              string // loopback IP:port, port 0 chosen by the system
	ID                   string
	Model                string
	Version              string
	LayerFrom            uint32 // half-open range of the layers that the engine holds
	LayerTo              uint32
	LayerCount           uint32
	Slots                int
	TokenTime            time.Duration // per generated position
	PrefillTime          time.Duration // per prompt position
	LoadReportDelay      time.Duration // delay of load reports
	CacheLimit           int           // prefix cache, tokens
	CacheEventDropPeriod uint64        // every n-th cache event is lost, 0: none
	ChecksFences         bool          // refuses orders with a stale fence
	Accelerator          string
	Incarnation          uint64
	LoadTime             time.Duration // per order
	WeightStoreAddress   string        // address of the weight store, empty: none
	Journal              *Journal
}

// announcement returns the announcement of an engine that serves on address.
func (c EngineConfig) announcement(address string) saddleannounce.Announcement {
	rate := 0.0
	if c.TokenTime > 0 {
		rate = float64(time.Second) / float64(c.TokenTime)
	}
	return saddleannounce.Announcement{
		ID:           c.ID,
		Kind:         "engine",
		Group:        c.Model,
		Version:      c.Version,
		LayerFrom:    c.LayerFrom,
		LayerTo:      c.LayerTo,
		LayerCount:   c.LayerCount,
		Slots:        uint32(c.Slots),
		ChecksFences: c.ChecksFences,
		Address:      address,
		Incarnation:  c.Incarnation,
		Accelerator:  c.Accelerator,
		Rate:         rate,
	}
}
