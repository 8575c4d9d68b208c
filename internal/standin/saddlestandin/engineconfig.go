package saddlestandin

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Address            string // loopback IP:port, port 0 chosen by the system
	ID                 string
	Model              string
	Version            string
	LayerFrom          uint32 // layers [From, To) of Of
	LayerTo            uint32
	LayerCount         uint32
	Slots              int
	TokenTime          time.Duration // of one position in a slot, generation
	PrefillTime        time.Duration // of one position of a prompt
	LoadLag            time.Duration // age of the load that is reported
	CacheLimit         int           // tokens in the prefix cache
	LoseEvents         uint64        // every so many cache events one is lost, 0: none
	ChecksFences       bool          // refuses orders with an old fence
	Accelerator        string
	Incarnation        uint64
	LoadTime           time.Duration // of carrying out an order
	WeightStoreAddress string        // address of a weight store, empty: none
	Journal            *Journal
}

// announcement returns what the engine says of itself.
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
