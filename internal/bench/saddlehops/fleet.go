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

// settings describe a chain that is measured.
type settings struct {
	stages      int
	spares      bool // one for each stage
	delay       time.Duration
	tokenTime   time.Duration
	prefillTime time.Duration
	exportEvery fireflysaddle.Position
}

const (
	probe       = time.Second
	silence     = 2 * time.Second
	bufferBytes = 64 << 20
	slots       = 256
	entry       = "entry"
)

// fleet is a chain of agents over an in-memory network.
type fleet struct {
	settings
	net     *saddlestandin.Network
	journal *saddlestandin.Journal
	stages  []*agent
	spares  []*agent
}

// agent is one agent with its engine.
type agent struct {
	saddlewire.DRPCAgentUnimplementedServer
	info   *saddlewire.Stage
	engine *saddlestandin.LocalEngine
	runner *saddlestage.Runner
	stop   func()
	dead   atomic.Bool
}

// newFleet starts the agents; the clean-up ends them.
func newFleet(s settings) (*fleet, func()) {
	f := &fleet{settings: s, net: saddlestandin.NewNetwork(), journal: &saddlestandin.Journal{}}
	for i := range s.stages {
		f.stages = append(f.stages, f.add(fmt.Sprintf("stage-%d", i), uint32(i)))
		if s.spares {
			f.spares = append(f.spares, f.add(fmt.Sprintf("spare-%d", i), uint32(i)))
		}
	}
	all := append(append([]*agent(nil), f.stages...), f.spares...)
	for _, a := range all {
		f.net.SetDelay(entry, a.info.GetAddress(), s.delay)
		for _, b := range all {
			f.net.SetDelay(a.info.GetAddress(), b.info.GetAddress(), s.delay)
		}
	}
	return f, func() {
		for _, a := range all {
			a.stop()
		}
	}
}

func (f *fleet) add(id string, stage uint32) *agent {
	of := uint32(f.settings.stages)
	a := &agent{
		info: &saddlewire.Stage{Target: id, Address: id, Incarnation: 1, Layers: &saddlewire.Layers{From: stage, To: stage + 1, Of: of}},
		engine: saddlestandin.NewLocalEngine(saddlestandin.EngineConfig{
			ID: id, LayerFrom: stage, LayerTo: stage + 1, LayerCount: of, Slots: slots, Journal: f.journal,
			TokenTime: f.tokenTime, PrefillTime: f.prefillTime,
		}),
	}
	runner, stop := saddlestage.New(saddlestage.Config{
		Self:               id,
		Incarnation:        1,
		Engine:             a.current,
		Target:             func() fireflysaddle.TargetID { return fireflysaddle.TargetID(id) },
		Accepting:          func() bool { return !a.dead.Load() },
		ProbeInterval:      probe,
		LinkSilenceTimeout: silence,
		Timeline:           saddletimeline.NewRing(id, 16),
		ExportInterval:     f.exportEvery,
		BufferBytes:        bufferBytes,
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			return f.dial(ctx, id, address)
		},
	})
	a.runner = runner
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = func() {
		cancel()
		f.net.StopHost(id)
		stop()
	}
	f.net.Serve(id, func(c net.Conn) {
		_ = saddlelink.ServeConn(ctx, c, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, a) })
	})
	return a
}

func (f *fleet) dial(ctx context.Context, from, to string) (*drpcconn.Conn, error) {
	c, err := f.net.Dial(ctx, from, to)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: to, Err: err}
	}
	return saddlelink.NewConn(c), nil
}

func (a *agent) current() fireflysaddle.Engine {
	if a.dead.Load() {
		return nil
	}
	return a.engine
}

// Hop takes in the frames of another agent.
func (a *agent) Hop(stream saddlewire.DRPCAgent_HopStream) error { return a.runner.Hop(stream) }

// Ping answers the head of a chain.
func (a *agent) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return a.runner.Ping(in.GetRequest(), in.GetAttempt()), nil
}

func infos(agents []*agent) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.info)
	}
	return out
}
