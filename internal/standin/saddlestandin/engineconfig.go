package saddlestandin

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// EngineConfig configures an Engine or a LocalEngine.
type EngineConfig struct {
	Address              string // loopback IP:port; with port 0 the system chooses the port
	ID                   string
	Model                string
	Version              string
	LayerFrom            uint32        // first layer that the engine holds
	LayerTo              uint32        // the layer after the last one that the engine holds
	LayerCount           uint32        // number of layers of the whole model
	Slots                int           // maximum number of concurrent requests
	TokenTime            time.Duration // compute time per generated position
	PrefillTime          time.Duration // compute time per prompt position
	LoadReportDelay      time.Duration // how old the load in a load report is
	CacheLimit           int           // capacity of the prefix cache in tokens
	CacheEventDropPeriod uint64        // every n-th cache event is dropped; 0: none
	ChecksFences         bool          // the engine refuses orders with a stale fence
	Accelerator          string
	Incarnation          uint64
	LoadTime             time.Duration // time to execute an order after its weights have been fetched
	WeightStoreAddress   string        // empty: no weight store
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
