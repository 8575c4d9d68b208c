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
	probe          = time.Second
	silence        = time.Second
	linkDelay      = time.Millisecond
	tokenTime      = 5 * time.Millisecond
)

// fleet is a chain of agents with their engines over an in-memory network.
type fleet struct {
	replaced []string // targets that spares took over from, as the head told
	t        *testing.T
	net      *saddlestandin.Network
	journal  *saddlestandin.Journal
	stages   []*agent
	spares   []*agent
	settle   func(*saddlestage.Config)

	mu   sync.Mutex
	lost []string // engines
}

// agent is one agent with its engine.
type agent struct {
	saddlewire.DRPCAgentUnimplementedServer
	fleet   *fleet
	info    *saddlewire.Stage
	engine  *saddlestandin.LocalEngine
	runner  *saddlestage.Runner
	ctx     context.Context
	end     func() // ends the runner and its connections
	stop    func()
	dead    atomic.Bool
	leaving atomic.Bool
	// stranded is set for an agent that nobody can ask any more.
	stranded atomic.Bool
	// stubborn is set for an engine that ends its steps though they are cancelled.
	stubborn atomic.Bool
	timeline *saddletimeline.Ring
	lose     atomic.Uint32 // position of a step that is lost on its way in, 0: none
}

// stubbornEngine cannot be interrupted in a step.
type stubbornEngine struct {
	fireflysaddle.Engine
}

// Step runs a step to its end.
func (e stubbornEngine) Step(ctx context.Context, s fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	return e.Engine.Step(context.WithoutCancel(ctx), s)
}

// faults counts the faults that the agent reported.
func (a *agent) faults() int {
	n := 0
	for _, e := range a.timeline.Events() {
		if e.Name == "stage_fault" {
			n++
		}
	}
	return n
}

func newFleet(t *testing.T, stages int, settle func(*saddlestage.Config)) *fleet {
	t.Helper()
	f := &fleet{t: t, net: saddlestandin.NewNetwork(), journal: &saddlestandin.Journal{}, settle: settle}
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
	from, to, of := uint32(stage*layersPerStage), uint32((stage+1)*layersPerStage), uint32(stages*layersPerStage)
	a := &agent{
		fleet: f,
		info: &saddlewire.Stage{
			Target: id, Address: id, Incarnation: 1,
			Layers: &saddlewire.Layers{From: from, To: to, Of: of},
		},
		engine: saddlestandin.NewLocalEngine(saddlestandin.EngineConfig{
			ID: id, LayerFrom: from, LayerTo: to, LayerCount: of, Slots: 64, Journal: f.journal,
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
		Engine:             a.current,
		Target:             func() fireflysaddle.TargetID { return fireflysaddle.TargetID(a.info.GetTarget()) },
		Accepting:          func() bool { return !a.dead.Load() && !a.leaving.Load() },
		ProbeInterval:      probe,
		LinkSilenceTimeout: silence,
		Timeline:           a.timeline,
		ExportInterval:     4,
		BufferBytes:        1 << 20,
		Dial:               a.dial,
	}
	if a.fleet.settle != nil {
		a.fleet.settle(&cfg)
	}
	runner, stop := saddlestage.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	a.runner = runner
	a.ctx = ctx
	a.end = func() {
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

func (a *agent) current() fireflysaddle.Engine {
	if a.dead.Load() {
		return nil
	}
	if a.stubborn.Load() {
		return stubbornEngine{Engine: a.engine}
	}
	return a.engine
}

// Hop takes in the frames of another agent.
func (a *agent) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	return a.runner.Hop(&lossyStream{DRPCAgent_HopStream: stream, lose: &a.lose})
}

// lossyStream loses the step at one position, once.
type lossyStream struct {
	saddlewire.DRPCAgent_HopStream
	lose *atomic.Uint32 // 0: none
}

// Recv returns the next batch without the step that is lost.
func (s *lossyStream) Recv() (*saddlewire.FrameBatch, error) {
	batch, err := s.DRPCAgent_HopStream.Recv()
	if err != nil {
		return nil, err
	}
	batch.Frames = slices.DeleteFunc(batch.Frames, func(f *saddlewire.Frame) bool {
		return f.GetKind() == saddlewire.Frame_STEP && f.GetPosition() > 0 && s.lose.CompareAndSwap(f.GetPosition(), 0)
	})
	return batch, nil
}

// Ping answers the head of a chain.
func (a *agent) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return a.runner.Ping(in.GetRequest(), in.GetAttempt()), nil
}

// kill ends the agent and its engine.
func (a *agent) kill() {
	if a.dead.Swap(true) {
		return
	}
	a.fleet.noteLost(a)
	a.engine.Kill()
	a.stop()
}

// killEngine ends the engine only.
func (a *agent) killEngine() {
	if a.dead.Swap(true) {
		return
	}
	a.fleet.noteLost(a)
	a.engine.Kill()
}

// strand leaves the agent at work on the connections it has, while new ones
// to it get no answer.
func (a *agent) strand() {
	a.stranded.Store(true)
	a.fleet.noteLost(a)
	a.fleet.net.Serve(a.info.GetAddress(), func(net.Conn) {})
}

// restart starts the agent anew beside the engine that it had.
func (a *agent) restart() {
	anew := &agent{
		fleet: a.fleet,
		info: &saddlewire.Stage{
			Target: a.info.GetTarget(), Address: a.info.GetAddress(),
			Incarnation: a.info.GetIncarnation() + 1, Layers: a.info.GetLayers(),
		},
		engine: a.engine,
	}
	anew.start()
	a.fleet.spares = append(a.fleet.spares, anew)
	a.end()
}

func (f *fleet) noteLost(a *agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = append(f.lost, a.info.GetTarget())
}

func (f *fleet) all() []*agent {
	return append(append([]*agent(nil), f.stages...), f.spares...)
}

func (f *fleet) close() {
	for _, a := range f.all() {
		a.engine.Kill()
		a.stop()
	}
}

func infos(agents []*agent) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.info)
	}
	return out
}

func (f *fleet) expected() []string {
	return saddlestandin.ExpectedTokens(prompt, uint32(len(f.stages)*layersPerStage), tokens)
}

// virtually runs a test under virtual time, so that its verdict does not hang
// on the machine.
func virtually(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
