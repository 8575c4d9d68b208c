package saddlestage_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// FuzzHandleFrame checks that no sequence of frames makes the runner panic or keeps
// it from stopping.
func FuzzHandleFrame(f *testing.F) {
	chain := []*saddlewire.Stage{
		{Target: "a", Address: "a", Incarnation: 1, Layers: &saddlewire.Layers{To: 2, Of: 4}},
		{Target: "self", Address: "self", Incarnation: 1, Layers: &saddlewire.Layers{From: 2, To: 4, Of: 4}},
	}
	kinds := []saddlewire.Frame_Kind{
		saddlewire.Frame_STEP, saddlewire.Frame_TOKEN, saddlewire.Frame_FAULT, saddlewire.Frame_CLOSE, saddlewire.Frame_REPLAY,
	}
	for _, kind := range kinds {
		batch := &saddlewire.FrameBatch{Frames: []*saddlewire.Frame{
			{Kind: kind, Request: "r", Attempt: 1, Index: 1, Chain: chain, Count: 1, Activation: make([]byte, 8), BudgetMs: 1000},
			{Kind: kind, Request: "r", Attempt: 1, Position: 1, Count: 1},
		}}
		data, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var batch saddlewire.FrameBatch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		runner, stop := isolatedRunner()
		defer stop()
		for _, frame := range batch.GetFrames() {
			runner.HandleFrame(time.Now(), frame)
		}
	})
}

// isolatedRunner returns a runner that cannot reach any other agent.
func isolatedRunner() (*saddlestage.Runner, func()) {
	engine := saddlestandin.NewLocalEngine(saddlestandin.EngineConfig{ID: "self", LayerFrom: 2, LayerTo: 4, LayerCount: 4, Slots: 4, Journal: &saddlestandin.Journal{}})
	return saddlestage.New(saddlestage.Config{
		Self:               "self",
		Incarnation:        1,
		Engine:             func() fireflysaddle.Engine { return engine },
		Target:             func() fireflysaddle.TargetID { return "self" },
		Accepting:          func() bool { return true },
		ProbeInterval:      probeInterval,
		LinkSilenceTimeout: silenceTimeout,
		ExportInterval:     4,
		BufferBytes:        1 << 16,
		Dial: func(_ context.Context, address string) (*drpcconn.Conn, error) {
			return nil, &fireflysaddle.NotSentError{Address: address, Err: errors.New("no other agent")}
		},
	})
}
