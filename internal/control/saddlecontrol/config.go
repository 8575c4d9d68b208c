package saddlecontrol

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Config holds the settings of a control replica.
type Config struct {
	Node          string
	Incarnation   uint64
	Centre        string
	Listen        string
	Admin         string
	Data          string
	Replicas      map[string]string // drpc address by node
	Heartbeat     time.Duration
	Election      time.Duration
	Lost          time.Duration // silence after which a node is taken for lost
	SnapshotEvery int           // log entries between snapshots
	Log           zerolog.Logger
	Timeline      *saddletimeline.Ring
}
