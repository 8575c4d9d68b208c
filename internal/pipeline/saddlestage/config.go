package saddlestage

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Config holds the settings of a runner.
type Config struct {
	Self        string                      // this agent's drpc address
	Incarnation fireflysaddle.Incarnation   // this agent's incarnation
	Engine      func() fireflysaddle.Engine // the engine beside it, nil when there is none
	Target      func() fireflysaddle.TargetID
	Accepting   func() bool // new attempts may begin here
	// Holds reports whether the target beside the agent still holds what a stage
	// was chosen for; nil: always.
	HoldsStage         func(*saddlewire.Stage) bool
	ProbeInterval      time.Duration // a head without a token for so long asks after its stages
	LinkSilenceTimeout time.Duration // a link silent for longer is closed
	Timeline           *saddletimeline.Ring
	// ExportInterval is how many positions a stage runs at least between two
	// exports of its cache, 0: it exports none.
	ExportInterval fireflysaddle.Position
	// BufferBytes bounds what the agent keeps for recovery: activations that
	// it sent and exports of the stages after it.
	BufferBytes int64
	// Dial opens a connection to another agent.
	Dial func(ctx context.Context, address string) (*drpcconn.Conn, error)
}

// The defaults of the settings that bound recovery.
const (
	DefaultExportInterval = fireflysaddle.Position(256)
	DefaultBufferBytes    = int64(64 << 20)
)

const (
	linkQueue    = 4096                   // frames waiting for one link
	pingTimeout  = 500 * time.Millisecond // for an agent to say whether it holds an attempt
	replayBytes  = 8 << 20                // activations in one step of a replay
	linkIdle     = time.Minute            // a link without frames for so long is closed
	frameBatch   = 256                    // frames sent at once
	batchBytes   = 1 << 20                // a batch takes in no more frames above this size
	headQueue    = 64                     // events waiting for one head
	sessionTTL   = 5 * time.Minute        // a session that nobody closed is dropped after its deadline and this
	closedTTL    = time.Minute            // how long a closed attempt cannot begin anew
	exportShare  = 4                      // a stage exports when it ran a share of 1/exportShare since the last time
	maxStalls    = 4                      // looks at a chain without progress before it is given up
	orphanProbes = 10                     // looks for an unreachable head before its sessions are dropped
	// maxActivationBytes bounds what one frame carries; saddlelink takes
	// messages that are larger by a batch.
	maxActivationBytes = 48 << 20
	outcomeBytes       = 64 // what an outcome takes beside its activation
)
