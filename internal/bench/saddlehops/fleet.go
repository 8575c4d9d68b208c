package saddlehops

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// chainSettings are the parameters of a chain to be measured.
type chainSettings struct {
	stages         int
	withSpares     bool                   // whether each stage has a spare agent
	linkDelay      time.Duration          // one way
	tokenTime      time.Duration          // time that an engine takes per generated position
	prefillTime    time.Duration          // time that an engine takes per prompt position
	exportInterval fireflysaddle.Position // positions between KV cache exports; 0 disables exports
}

const (
	probeInterval      = time.Second
	linkSilenceTimeout = 2 * time.Second
	bufferBytes        = 64 << 20
	engineSlots        = 256
	entryAddress       = "entry"
)

// fleet is a chain of agents, with optional spares, on an in-memory network.
type fleet struct {
	chainSettings
	network *saddlestandin.Network
	journal *saddlestandin.Journal
	stages  []*agent
	spares  []*agent
}

// agent is one agent with its engine.
type agent struct {
	saddlewire.DRPCAgentUnimplementedServer
	stage      *saddlewire.Stage
	engine     *saddlestandin.LocalEngine
	runner     *saddlestage.Runner
	shutdown   func()
	engineLost atomic.Bool
}

// newFleet starts the agents and returns a function that shuts them down.
func newFleet(s chainSettings) (*fleet, func()) {
	f := &fleet{chainSettings: s, network: saddlestandin.NewNetwork(), journal: &saddlestandin.Journal{}}
	for i := range s.stages {
		f.stages = append(f.stages, f.startAgent(fmt.Sprintf("stage-%d", i), uint32(i)))
		if s.withSpares {
			f.spares = append(f.spares, f.startAgent(fmt.Sprintf("spare-%d", i), uint32(i)))
		}
	}
	all := append(append([]*agent(nil), f.stages...), f.spares...)
	for _, a := range all {
		f.network.SetDelay(entryAddress, a.stage.GetAddress(), s.linkDelay)
		for _, b := range all {
			f.network.SetDelay(a.stage.GetAddress(), b.stage.GetAddress(), s.linkDelay)
		}
	}
	return f, func() {
		for _, a := range all {
			a.shutdown()
		}
	}
}

// startAgent starts an agent and its engine for one stage. Each stage has one layer.
func (f *fleet) startAgent(id string, stageIndex uint32) *agent {
	layerCount := uint32(f.chainSettings.stages)
	a := &agent{
		stage: &saddlewire.Stage{Target: id, Address: id, Incarnation: 1, Layers: &saddlewire.Layers{From: stageIndex, To: stageIndex + 1, Of: layerCount}},
		engine: saddlestandin.NewLocalEngine(saddlestandin.EngineConfig{
			ID: id, LayerFrom: stageIndex, LayerTo: stageIndex + 1, LayerCount: layerCount, Slots: engineSlots, Journal: f.journal,
			TokenTime: f.tokenTime, PrefillTime: f.prefillTime,
		}),
	}
	runner, stop := saddlestage.New(saddlestage.Config{
		Self:               id,
		Incarnation:        1,
		Engine:             a.currentEngine,
		Target:             func() fireflysaddle.TargetID { return fireflysaddle.TargetID(id) },
		Accepting:          func() bool { return !a.engineLost.Load() },
		ProbeInterval:      probeInterval,
		LinkSilenceTimeout: linkSilenceTimeout,
		Timeline:           saddletimeline.NewRing(id, 16),
		ExportInterval:     f.exportInterval,
		BufferBytes:        bufferBytes,
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			return f.dial(ctx, id, address)
		},
	})
	a.runner = runner
	ctx, cancel := context.WithCancel(context.Background())
	a.shutdown = func() {
		cancel()
		f.network.StopHost(id)
		stop()
	}
	f.network.Serve(id, func(c net.Conn) {
		_ = saddlelink.ServeConn(ctx, c, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, a) })
	})
	return a
}

func (f *fleet) dial(ctx context.Context, from, to string) (*drpcconn.Conn, error) {
	c, err := f.network.Dial(ctx, from, to)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: to, Err: err}
	}
	return saddlelink.NewConn(c), nil
}

func (a *agent) currentEngine() fireflysaddle.Engine {
	if a.engineLost.Load() {
		return nil
	}
	return a.engine
}

// Hop handles the frames that another agent sends.
func (a *agent) Hop(stream saddlewire.DRPCAgent_HopStream) error { return a.runner.Hop(stream) }

// Ping answers a probe from another agent: the head of a chain probes its stages,
// and a stage probes its head.
func (a *agent) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return a.runner.Ping(in.GetRequest(), in.GetAttempt()), nil
}

func stageInfos(agents []*agent) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.stage)
	}
	return out
}
