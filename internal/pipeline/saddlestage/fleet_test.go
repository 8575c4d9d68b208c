package saddlestage_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

const (
	layersPerStage = 2
	prompt         = "please word the maintenance form"
	tokens         = 8
	budget         = time.Minute
	probeInterval  = time.Second
	silenceTimeout = time.Second
	linkDelay      = time.Millisecond
	tokenTime      = 5 * time.Millisecond
)

// fleet is a chain of agents and its spares, with their engines, on an in-memory
// network.
type fleet struct {
	replaced  []string // targets that the head reported as replaced
	t         *testing.T
	net       *saddlestandin.Network
	journal   *saddlestandin.Journal
	stages    []*agent
	spares    []*agent
	configure func(*saddlestage.Config)

	mu   sync.Mutex
	lost []string // IDs of lost engines
}

// agent is one agent with its engine.
type agent struct {
	saddlewire.DRPCAgentUnimplementedServer
	fleet        *fleet
	info         *saddlewire.Stage
	engine       *saddlestandin.LocalEngine
	runner       *saddlestage.Runner
	ctx          context.Context
	stopRunner   func() // stops the runner and its connections
	stop         func()
	dead         atomic.Bool
	notAccepting atomic.Bool
	// ignoresNewConns is set for an agent that answers no new connections.
	ignoresNewConns atomic.Bool
	// uninterruptible is set for an engine that completes cancelled steps.
	uninterruptible atomic.Bool
	timeline        *saddletimeline.Ring
	loseStepAt      atomic.Uint32 // position of the incoming step frame that is dropped once; 0 means none
}

// uninterruptibleEngine ignores the cancellation of a step.
type uninterruptibleEngine struct {
	fireflysaddle.Engine
}

// Step runs a step to completion.
func (e uninterruptibleEngine) Step(ctx context.Context, s fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	return e.Engine.Step(context.WithoutCancel(ctx), s)
}

// faultCount returns the number of faults that the agent has reported.
func (a *agent) faultCount() int {
	n := 0
	for _, e := range a.timeline.Events() {
		if e.Name == "stage_fault" {
			n++
		}
	}
	return n
}

func newFleet(t *testing.T, stages int, configure func(*saddlestage.Config)) *fleet {
	t.Helper()
	f := &fleet{t: t, net: saddlestandin.NewNetwork(), journal: &saddlestandin.Journal{}, configure: configure}
	for i := range stages {
		f.stages = append(f.stages, f.add(fmt.Sprintf("stage-%d", i), i, stages))
	}
	return f
}

// addSpare adds a target that holds the same layers as a stage.
func (f *fleet) addSpare(stage int) {
	f.spares = append(f.spares, f.add(fmt.Sprintf("spare-%d-of-%d", len(f.spares), stage), stage, len(f.stages)))
}

func (f *fleet) add(id string, stage, stages int) *agent {
	from, to, layerCount := uint32(stage*layersPerStage), uint32((stage+1)*layersPerStage), uint32(stages*layersPerStage)
	a := &agent{
		fleet: f,
		info: &saddlewire.Stage{
			Target: id, Address: id, Incarnation: 1,
			Layers: &saddlewire.Layers{From: from, To: to, Of: layerCount},
		},
		engine: saddlestandin.NewLocalEngine(saddlestandin.EngineConfig{
			ID: id, LayerFrom: from, LayerTo: to, LayerCount: layerCount, Slots: 64, Journal: f.journal,
			TokenTime: tokenTime, PrefillTime: tokenTime,
		}),
	}
	a.start()
	return a
}

func (a *agent) start() {
	a.timeline = saddletimeline.NewRing(a.info.GetTarget(), 1024)
	cfg := saddlestage.Config{
		Self:               a.info.GetAddress(),
		Incarnation:        fireflysaddle.Incarnation(a.info.GetIncarnation()),
		Engine:             a.currentEngine,
		Target:             func() fireflysaddle.TargetID { return fireflysaddle.TargetID(a.info.GetTarget()) },
		Accepting:          func() bool { return !a.dead.Load() && !a.notAccepting.Load() },
		ProbeInterval:      probeInterval,
		LinkSilenceTimeout: silenceTimeout,
		Timeline:           a.timeline,
		ExportInterval:     4,
		BufferBytes:        1 << 20,
		Dial:               a.dial,
	}
	if a.fleet.configure != nil {
		a.fleet.configure(&cfg)
	}
	runner, stop := saddlestage.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	a.runner = runner
	a.ctx = ctx
	a.stopRunner = func() {
		cancel()
		stop()
	}
	a.stop = func() {
		cancel()
		a.fleet.net.StopHost(a.info.GetAddress())
		stop()
	}
	a.fleet.net.Serve(a.info.GetAddress(), func(c net.Conn) {
		_ = saddlelink.ServeConn(ctx, c, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, a) })
	})
}

func (a *agent) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c, err := a.fleet.net.Dial(ctx, a.info.GetAddress(), address)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: address, Err: err}
	}
	return saddlelink.NewConn(c), nil
}

func (a *agent) currentEngine() fireflysaddle.Engine {
	if a.dead.Load() {
		return nil
	}
	if a.uninterruptible.Load() {
		return uninterruptibleEngine{Engine: a.engine}
	}
	return a.engine
}

// Hop receives the frames of another agent.
func (a *agent) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	return a.runner.Hop(&lossyStream{DRPCAgent_HopStream: stream, loseStepAt: &a.loseStepAt})
}

// lossyStream drops the step frame of one position once.
type lossyStream struct {
	saddlewire.DRPCAgent_HopStream
	loseStepAt *atomic.Uint32 // position of the step frame to drop; 0 means none
}

// Recv returns the next batch without the step frame to drop.
func (s *lossyStream) Recv() (*saddlewire.FrameBatch, error) {
	batch, err := s.DRPCAgent_HopStream.Recv()
	if err != nil {
		return nil, err
	}
	batch.Frames = slices.DeleteFunc(batch.Frames, func(f *saddlewire.Frame) bool {
		return f.GetKind() == saddlewire.Frame_STEP && f.GetPosition() > 0 && s.loseStepAt.CompareAndSwap(f.GetPosition(), 0)
	})
	return batch, nil
}

// Ping returns the state of an attempt.
func (a *agent) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return a.runner.Ping(in.GetRequest(), in.GetAttempt()), nil
}

// kill stops the agent and its engine.
func (a *agent) kill() {
	if a.dead.Swap(true) {
		return
	}
	a.fleet.recordLost(a)
	a.engine.Kill()
	a.stop()
}

// killEngine stops only the engine.
func (a *agent) killEngine() {
	if a.dead.Swap(true) {
		return
	}
	a.fleet.recordLost(a)
	a.engine.Kill()
}

// ignoreNewConns keeps the existing connections of the agent working, while new
// connections to it get no answer.
func (a *agent) ignoreNewConns() {
	a.ignoresNewConns.Store(true)
	a.fleet.recordLost(a)
	a.fleet.net.Serve(a.info.GetAddress(), func(net.Conn) {})
}

// restart restarts the agent with a new incarnation and the same engine.
func (a *agent) restart() {
	restarted := &agent{
		fleet: a.fleet,
		info: &saddlewire.Stage{
			Target: a.info.GetTarget(), Address: a.info.GetAddress(),
			Incarnation: a.info.GetIncarnation() + 1, Layers: a.info.GetLayers(),
		},
		engine: a.engine,
	}
	restarted.start()
	a.fleet.spares = append(a.fleet.spares, restarted)
	a.stopRunner()
}

func (f *fleet) recordLost(a *agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = append(f.lost, a.info.GetTarget())
}

func (f *fleet) allAgents() []*agent {
	return append(append([]*agent(nil), f.stages...), f.spares...)
}

func (f *fleet) close() {
	for _, a := range f.allAgents() {
		a.engine.Kill()
		a.stop()
	}
}

func stageInfos(agents []*agent) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.info)
	}
	return out
}

func (f *fleet) expectedTokens() []string {
	return saddlestandin.ExpectedTokens(prompt, uint32(len(f.stages)*layersPerStage), tokens)
}

// inVirtualTime runs a test in virtual time, so that its result does not depend
// on the speed of the machine.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
