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
	Self        string                      // drpc address of this agent
	Incarnation fireflysaddle.Incarnation   // incarnation of this agent
	Engine      func() fireflysaddle.Engine // local engine, nil if none is available
	Target      func() fireflysaddle.TargetID
	Accepting   func() bool // reports whether new attempts may start here
	// HoldsStage reports whether the local target still holds the layers, group and
	// version for which a stage was chosen; nil means always.
	HoldsStage         func(*saddlewire.Stage) bool
	ProbeInterval      time.Duration // time without a token after which a head probes its stages
	LinkSilenceTimeout time.Duration // time without a batch or heartbeat after which a link is closed
	Timeline           *saddletimeline.Ring
	// ExportInterval is the minimum number of positions between two exports of a
	// stage's KV cache; 0 disables exports.
	ExportInterval fireflysaddle.Position
	// BufferBytes bounds the memory for recovery data: activations that the
	// agent has sent and KV cache exports of the stages that follow it.
	BufferBytes int64
	// Dial opens a connection to another agent.
	Dial func(ctx context.Context, address string) (*drpcconn.Conn, error)
}

// Defaults of the recovery settings.
const (
	DefaultExportInterval = fireflysaddle.Position(256)
	DefaultBufferBytes    = int64(64 << 20)
)

const (
	linkQueueLen       = 4096                   // maximum number of frames queued for one link
	pingTimeout        = 500 * time.Millisecond // time limit of one ping to an agent
	maxReplayStepBytes = 8 << 20                // limit of the activations merged into one step of a replay
	linkIdleTimeout    = time.Minute            // time without frames after which a link is closed
	maxBatchFrames     = 256                    // maximum number of frames added to a batch after its first frame
	batchFlushBytes    = 1 << 20                // a batch that exceeds this size gets no further frames
	headQueueLen       = 64                     // maximum number of tokens and faults queued for one head
	sessionGracePeriod = 5 * time.Minute        // an unclosed session is dropped this long after its deadline
	closedAttemptTTL   = time.Minute            // time for which a closed attempt cannot be opened again
	exportDivisor      = 4                      // an export is due only if at least 1/exportDivisor of all completed positions ran after the last export
	maxStalledChecks   = 4                      // maximum number of consecutive checks without progress before the attempt fails
	maxUnansweredPings = 10                     // consecutive unanswered pings of a head after which a session of its attempt is dropped
	// maxActivationBytes bounds the payload of one frame. The message limit of
	// saddlelink leaves room for the other frames of a batch beside it.
	maxActivationBytes  = 48 << 20
	outputOverheadBytes = 64 // memory of a step output besides its activation
)
