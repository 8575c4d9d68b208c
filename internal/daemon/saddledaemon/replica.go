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

// reopenDelay is the delay before a replica whose store failed is reopened. A shorter
// delay does not help with a full or stalled disk.
const reopenDelay = 300 * time.Millisecond

// leaveTimeout bounds how long a process that stops waits until its group has removed its
// surplus replica. It is longer than an election, and shorter than the time after which
// processes that do not stop are killed.
const leaveTimeout = 3 * time.Second

// groupReplica is a control replica that manages its own membership of the group. Its
// API and its placer keep running while the replica is reopened.
type groupReplica struct {
	settings   saddlesettings.Control
	process    *process
	contacts   []string // addresses of control processes, from the group settings
	subscriber *saddlesubscriber.Subscriber
	server     atomic.Pointer[saddlecontrol.Server] // nil while the replica is not open
	routing    routingCache
}

func runGroupReplica(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	p, err := newProcess(time.Now(), settings.Common, settings.Digest(), fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	contacts := settings.Group.Addresses()
	g := &groupReplica{settings: settings, process: p, contacts: contacts}
	g.subscriber = newControlSubscriber(settings, p, contacts, g.load)
	return p.serve(ctx, g.ready, func(stop <-chan struct{}) error {
		runCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-stop:
				g.leave(runCtx)
				cancel()
			case <-runCtx.Done():
			}
		}()
		return g.run(runCtx)
	})
}

func (g *groupReplica) ready() error {
	s := g.server.Load()
	if s == nil {
		return eris.New("the control replica is not open")
	}
	return s.Ready()
}

// run runs the replica, its API, its placer and its subscriber until the context ends. The API
// ends first, because the calls in progress need the replica.
func (g *groupReplica) run(apiCtx context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(apiCtx))
	defer cancel()
	client, closeClient := platform.NewClient()
	defer func() { _ = closeClient() }()
	placer := saddleplacer.New(saddleplacer.Config{
		Orders:        client,
		View:          g.subscriber.View,
		Routing:       func() *saddlerouting.Routing { return g.routing.fetch(ctx, g.server.Load(), g.process.log) },
		Term:          g.leaseTerm,
		OnLayers:      g.registerTarget,
		OnEngineState: g.setEngineState,
		Log:           g.process.log,
	})
	api := platform.NewControl(g.replica, g.registration, g.process.log)
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.subscriber.Run(ctx) })
	wg.Go(func() { placer.Run(ctx) })
	wg.Go(func() {
		defer cancel()
		if g.settings.API != "" {
			serveWithRetry(apiCtx, g.process.log, g.settings.API, api)
		}
		<-apiCtx.Done()
	})
	g.reopenAfterFailures(ctx)
	wg.Wait()
	return nil
}

// apiServer is an API that serves on an address until the context ends and the calls in progress
// have been answered.
type apiServer interface {
	Serve(ctx context.Context, address string) error
}

// serveWithRetry serves the API until the context ends. It reopens a failed listener after a
// delay, because the previous process may still use the address.
func serveWithRetry(ctx context.Context, log zerolog.Logger, address string, api apiServer) {
	for {
		err := api.Serve(ctx, address)
		if ctx.Err() != nil {
			return
		}
		log.Error().Err(err).Str("address", address).Msg("API listener failed; reopening")
		if !sleep(ctx, reopenDelay) {
			return
		}
	}
}

// reopenAfterFailures runs the replica until the context ends and reopens it after each
// failure of its store. Only stored commands are acknowledged, so reopening is as safe as
// a restart of the process.
func (g *groupReplica) reopenAfterFailures(ctx context.Context) {
	for {
		err := g.openAndRun(ctx)
		if ctx.Err() != nil {
			return
		}
		g.process.log.Error().Err(err).Msg("control replica failed; reopening")
		countReplicaReopens.Add(1)
		if !sleep(ctx, reopenDelay) {
			return
		}
	}
}

// sleep waits for the duration and returns true. It returns false immediately when the
// context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// openAndRun runs the replica under the identity stored in its data folder until the
// replica fails or the context ends. If the replica's data is lost, openAndRun stores a new
// identity for the next run. The old identity must not be used again, because under it the
// replica may have cast votes and acknowledged log entries that are now lost.
func (g *groupReplica) openAndRun(ctx context.Context) error {
	now := time.Now()
	identityConfig := saddleidentity.Config{
		Dir:       g.settings.DataDir,
		Address:   g.settings.Listen,
		Seeds:     g.contacts,
		Bootstrap: g.settings.Group.Bootstrap,
	}
	id, err := saddleidentity.Open(now, identityConfig)
	if err != nil {
		return err
	}
	err = g.runWithIdentity(ctx, now, id)
	var diskLost *saddlereplica.DiskLostError
	if !errors.As(err, &diskLost) {
		return err
	}
	g.process.log.Warn().Err(err).Str("replica", id.ID).Msg("data of the replica lost; rejoining with a new identity")
	_, renewErr := saddleidentity.Renew(time.Now(), identityConfig)
	return errors.Join(err, renewErr)
}

func (g *groupReplica) runWithIdentity(ctx context.Context, now time.Time, id saddleidentity.Identity) error {
	cfg := newControlConfig(g.settings, g.process)
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
		g.server.Store(nil)
		g.closeReplica(ctx, cleanup)
	}()
	g.process.log.Info().Str("replica", id.ID).Bool("join", id.Join).Strs("contacts", g.contacts).Msg("control replica opened")
	g.server.Store(s)
	return s.Run(ctx)
}

// closeReplica calls the cleanup function of a replica until it succeeds or the context ends.
func (g *groupReplica) closeReplica(ctx context.Context, cleanup func() error) {
	for {
		err := cleanup()
		if err == nil {
			return
		}
		g.process.log.Warn().Err(err).Msg("control replica cannot be closed; retrying")
		if !sleep(ctx, reopenDelay) {
			return
		}
	}
}

// leave lets the open replica leave its group if the group does not need it.
func (g *groupReplica) leave(ctx context.Context) {
	s := g.server.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.Leave(ctx); err != nil {
		g.process.log.Warn().Err(err).Msg("surplus replica was not removed before the process stops; the leader removes it as silent")
	}
}

// replica returns the open replica, or a nil interface value while none is open.
func (g *groupReplica) replica() platform.Replica {
	if s := g.server.Load(); s != nil {
		return configuredReplica{Server: s, routing: &g.routing, view: g.subscriber.View, log: g.process.log}
	}
	return nil
}

// load returns the load for the heartbeats of this replica: the registrations that it
// received lately.
func (g *groupReplica) load() *saddlewire.Load {
	s := g.server.Load()
	if s == nil {
		return nil
	}
	return &saddlewire.Load{Heard: s.HeardRegistrations(time.Now())}
}

// setEngineState passes the state of the engines to the replica, which sends it to the
// entries.
func (g *groupReplica) setEngineState(ctx context.Context, state saddlecontrol.EngineState) {
	s := g.server.Load()
	if s == nil {
		return
	}
	if err := s.SetEngineState(ctx, state); err != nil {
		g.process.log.Warn().Err(err).Msg("could not set the state of the engines")
	}
}

// registerTarget registers an engine with the layers that it holds now.
func (g *groupReplica) registerTarget(ctx context.Context, reg *saddlewire.Registration) {
	s := g.server.Load()
	if s == nil {
		return
	}
	if err := s.Register(ctx, reg); err != nil {
		g.process.log.Warn().Err(err).Str("target", reg.GetId()).Msg("could not register the target with its new layers")
	}
}

// leaseTerm returns the term in which the open replica leads with a valid lease, or 0 if
// there is none.
func (g *groupReplica) leaseTerm() uint64 {
	if s := g.server.Load(); s != nil {
		return s.LeaseTerm()
	}
	return 0
}

func (g *groupReplica) registration(id string) *saddlewire.Registration {
	return g.subscriber.View().Registrations[id]
}
