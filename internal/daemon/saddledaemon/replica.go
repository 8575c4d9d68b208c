package saddledaemon

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleidentity"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplacer"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
	"github.com/fireflysaddle/fireflysaddle/platform"
)

// reopenAfter is how long a replica waits after its store failed before it opens
// it again: a full disk or a stalled one is not mended by a faster try.
const reopenAfter = 300 * time.Millisecond

// groupReplica is a control replica that looks after its place in the group. Its
// API and its placer stay up while the replica itself is opened anew.
type groupReplica struct {
	settings  saddlesettings.Control
	process   *process
	contacts  []string
	attendant *saddlesubscriber.Subscriber
	current   atomic.Pointer[saddlecontrol.Server] // nil: not open
	routing   routingCache
}

func runGroupReplica(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	contacts := settings.Group.Addresses()
	g := &groupReplica{settings: settings, process: p, contacts: contacts, attendant: newControlAttendant(settings, p, contacts)}
	return p.serve(ctx, g.ready, func(stop <-chan struct{}) error {
		runCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-stop:
				cancel()
			case <-runCtx.Done():
			}
		}()
		return g.run(runCtx)
	})
}

func (g *groupReplica) ready() error {
	s := g.current.Load()
	if s == nil {
		return eris.New("the replica is not open")
	}
	return s.Ready()
}

// run keeps the replica open and serves beside it until the context ends.
func (g *groupReplica) run(ctx context.Context) error {
	client, closeClient := platform.NewClient()
	defer func() { _ = closeClient() }()
	placer := saddleplacer.New(saddleplacer.Config{
		Orders:        client,
		View:          g.attendant.View,
		Routing:       func() *saddlerouting.Routing { return g.routing.open(ctx, g.current.Load(), g.process.log) },
		Term:          g.leaseTerm,
		OnLoaded:      g.learnt,
		OnEngineState: g.setEngines,
		Log:           g.process.log,
	})
	api := platform.NewControl(g.replica, g.known, g.process.log)
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.attendant.Run(ctx) })
	wg.Go(func() { placer.Run(ctx) })
	if g.settings.API != "" {
		wg.Go(func() { keepServing(ctx, g.process.log, g.settings.API, api) })
	}
	g.keepOpen(ctx)
	wg.Wait()
	return nil
}

// server serves an API on an address until the context ends.
type server interface {
	Serve(ctx context.Context, address string) error
}

// keepServing serves the API; an address that is still taken by the process
// before is waited for.
func keepServing(ctx context.Context, log zerolog.Logger, address string, api server) {
	for {
		err := api.Serve(ctx, address)
		if ctx.Err() != nil {
			return
		}
		log.Error().Err(err).Str("address", address).Msg("the API's listener failed; it is opened again")
		if !pause(ctx, reopenAfter) {
			return
		}
	}
}

// keepOpen opens the replica again after each failure of its store: nothing that
// was not stored was acknowledged, so opening it is as good as a new process.
func (g *groupReplica) keepOpen(ctx context.Context) {
	for {
		err := g.open(ctx)
		if ctx.Err() != nil {
			return
		}
		g.process.log.Error().Err(err).Msg("the replica failed; it is opened again")
		countReopened.Add(1)
		if !pause(ctx, reopenAfter) {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// open runs the replica once, under the identity that its disk holds.
func (g *groupReplica) open(ctx context.Context) error {
	now := time.Now()
	where := saddleidentity.Config{
		Dir:       g.settings.DataDir,
		Address:   g.settings.Listen,
		Seeds:     g.contacts,
		Bootstrap: g.settings.Group.Bootstrap,
	}
	id, err := saddleidentity.Open(now, where)
	if err != nil {
		return err
	}
	err = g.runAs(ctx, now, id)
	var lost *saddlereplica.DiskLostError
	if !errors.As(err, &lost) {
		return err
	}
	g.process.log.Warn().Err(err).Str("replica", id.ID).Msg("the replica takes a new identity")
	_, renewErr := saddleidentity.Renew(time.Now(), where)
	return errors.Join(err, renewErr)
}

func (g *groupReplica) runAs(ctx context.Context, now time.Time, id saddleidentity.Identity) error {
	cfg := controlConfig(g.settings, g.process)
	cfg.Node = id.ID
	cfg.DataDir = saddleidentity.LogDir(g.settings.DataDir)
	cfg.Replicas = id.Members
	cfg.Join = id.Join
	cfg.RegistryFile = saddleidentity.RegistryFile(g.settings.DataDir)
	cfg.Contacts = g.contacts
	cfg.DesiredVoters = g.settings.Group.DesiredVoters()
	cfg.ReplaceAfter = g.settings.Group.ReplaceAfter.Std()
	s, cleanup, err := saddlecontrol.New(now, cfg)
	if err != nil {
		return err
	}
	defer func() {
		g.current.Store(nil)
		_ = cleanup()
	}()
	g.process.log.Info().Str("replica", id.ID).Bool("join", id.Join).Strs("contacts", g.contacts).Msg("the replica is open")
	g.current.Store(s)
	return s.Run(ctx)
}

func (g *groupReplica) replica() platform.Replica {
	if s := g.current.Load(); s != nil {
		return s
	}
	return nil
}

// setEngines has the entries know what was learnt of the engines.
func (g *groupReplica) setEngines(ctx context.Context, state saddlecontrol.EngineState) {
	s := g.current.Load()
	if s == nil {
		return
	}
	if err := s.SetEngineState(ctx, state); err != nil {
		g.process.log.Warn().Err(err).Msg("state of the engines not passed on")
	}
}

// learnt has the replica know what an engine holds.
func (g *groupReplica) learnt(ctx context.Context, reg *saddlewire.Registration) {
	s := g.current.Load()
	if s == nil {
		return
	}
	if err := s.Register(ctx, reg); err != nil {
		g.process.log.Warn().Err(err).Str("target", reg.GetId()).Msg("what was learnt of the target is lost")
	}
}

func (g *groupReplica) leaseTerm() uint64 {
	if s := g.current.Load(); s != nil {
		return s.LeaseTerm()
	}
	return 0
}

func (g *groupReplica) known(id string) *saddlewire.Registration {
	return g.attendant.View().Registrations[id]
}
